//! Documents in transfer: compressed, as the difference to an older one if the receiver has it.
//!
//! Successive documents are large and differ little. With the older one as the compressor's
//! dictionary, a change of one route takes some hundred bytes instead of the whole document.

use bytes::Bytes;
use displaydoc::Display;
use prost::Message;
use zstd::bulk::{Compressor, Decompressor};
use zstd::zstd_safe::CParameter;

/// Compression level; lower ones do not find the differences between two long documents.
const LEVEL: i32 = 3;
/// Longest document in bytes that a patch may describe.
const MAX_DOCUMENT_BYTES: u64 = 64 << 20;
/// Binary logarithm of the shortest window of the compressor, in bytes.
const WINDOW_LOG_MIN: u32 = 19;
/// Binary logarithm of the longest window of the compressor, in bytes.
const WINDOW_LOG_MAX: u32 = 27;

/// Difference between the binary logarithms of the compressor's window and of its index, which
/// otherwise covers only the last megabyte of the older document.
const INDEX_LOG_DIFFERENCE: u32 = 3;

/// A document as the operator sent it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Original {
    /// Version of the document; 0 stands for the empty document before the first.
    pub version: u64,
    /// The document, byte for byte.
    pub body: Bytes,
}

/// A document, described by its difference to another one.
#[derive(Clone, PartialEq, Message)]
pub struct Patch {
    /// Version of the document.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Version of the document that it is the difference to; 0 if it is complete by itself.
    #[prost(uint64, tag = "2")]
    pub base: u64,
    /// Length of the document in bytes.
    #[prost(uint64, tag = "3")]
    pub length: u64,
    /// The compressed difference.
    #[prost(bytes = "bytes", tag = "4")]
    pub difference: Bytes,
}

/// Why a patch could not be made or applied.
#[derive(Debug, Display)]
pub enum Error {
    /// the difference to version {base} can't be applied to version {version}
    WrongBase {
        /// Version that the patch is the difference to.
        base: u64,
        /// Version that it was to be applied to.
        version: u64,
    },
    /// {length} bytes are more than a document may have
    TooLong {
        /// Length that the patch states.
        length: u64,
    },
    /// the difference can't be compressed or decompressed: {0}
    Codec(std::io::Error),
}

impl std::error::Error for Error {}

impl Patch {
    /// Describes a document by its difference to `base`.
    ///
    /// # Errors
    ///
    /// Returns the error of the compression library.
    ///
    /// ```
    /// use dotterelhoist_fleet::patch::{Original, Patch};
    ///
    /// let document = Original { version: 7, body: "routes".into() };
    /// let patch = Patch::between(&Original::default(), &document)?;
    /// assert_eq!(patch.apply(&Original::default())?, document);
    /// # Ok::<(), dotterelhoist_fleet::patch::Error>(())
    /// ```
    pub fn between(base: &Original, document: &Original) -> Result<Patch, Error> {
        let mut compressor =
            Compressor::with_dictionary(LEVEL, &base.body).map_err(Error::Codec)?;
        let window = window_log(base.body.len() + document.body.len());
        let parameters = [
            CParameter::WindowLog(window),
            CParameter::HashLog(window - INDEX_LOG_DIFFERENCE),
            CParameter::ChainLog(window - INDEX_LOG_DIFFERENCE),
        ];
        for parameter in parameters {
            compressor.set_parameter(parameter).map_err(Error::Codec)?;
        }
        let difference = compressor.compress(&document.body).map_err(Error::Codec)?;
        Ok(Patch {
            version: document.version,
            base: base.version,
            length: document.body.len() as u64,
            difference: difference.into(),
        })
    }

    /// The document that this patch describes, given the one that it is the difference to. A patch
    /// that is complete by itself ignores `base`.
    ///
    /// # Errors
    ///
    /// Returns an error if `base` is another document, or the patch is damaged.
    pub fn apply(&self, base: &Original) -> Result<Original, Error> {
        if self.base != 0 && self.base != base.version {
            return Err(Error::WrongBase { base: self.base, version: base.version });
        }
        if self.length > MAX_DOCUMENT_BYTES {
            return Err(Error::TooLong { length: self.length });
        }
        let dictionary: &[u8] = if self.base == 0 { &[] } else { &base.body };
        let mut decompressor = Decompressor::with_dictionary(dictionary).map_err(Error::Codec)?;
        let body = decompressor.decompress(&self.difference, self.length as usize);
        let body = body.map_err(Error::Codec)?.into();
        Ok(Original { version: self.version, body })
    }
}

/// Binary logarithm of the window within which the compressor finds repetitions in `bytes` bytes.
fn window_log(bytes: usize) -> u32 {
    bytes.next_power_of_two().trailing_zeros().clamp(WINDOW_LOG_MIN, WINDOW_LOG_MAX)
}
