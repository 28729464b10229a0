//! Framing of the messages that dotterelhoist's processes exchange.
//!
//! A frame is a `prost` message preceded by its length in four bytes, big-endian. [`Connection`]
//! works on any stream that implements `AsyncRead` and `AsyncWrite` of the `futures` crates, and
//! does not depend on an async runtime. A frame that is longer than [`MAX_FRAME_BYTES`] or does not
//! decode is an error after which the connection must be closed, because the peer does not speak
//! this protocol.

use std::io;
use std::marker::PhantomData;

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use dotterelhoist_core::message::Frame;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use smol::io::{AsyncRead, AsyncWrite};
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};

pub mod stream;

/// Longest frame that is sent or accepted; a longer one is an error. A snapshot must fit into one
/// frame.
pub const MAX_FRAME_BYTES: usize = 256 << 20;
/// Longest first frame of a peer that has not said who it is.
pub const MAX_FIRST_FRAME_BYTES: usize = 64 << 10;
/// Length of the header in front of each frame, which holds the length of the frame.
pub const HEADER_BYTES: usize = 4;

/// Why a frame could not be sent or received.
#[derive(Debug, Display)]
pub enum Error {
    /// connection failed: {0}
    Io(io::Error),
    /// the peer sent a frame that does not decode: {0}
    Decode(prost::DecodeError),
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Error {
        Error::Io(error)
    }
}

/// A connection that sends and receives frames whose payload is an `Item`.
#[derive(Debug)]
pub struct Connection<Inner, Item = Frame> {
    framed: Framed<Compat<stream::Stream<Inner>>, LengthDelimitedCodec>,
    item: PhantomData<Item>,
}

impl<Inner, Item> Connection<Inner, Item>
where
    Inner: AsyncRead + AsyncWrite + Unpin,
    Item: Message + Default,
{
    /// Wraps a stream that is already connected.
    pub fn open(inner: Inner) -> Connection<Inner, Item> {
        let mut codec = LengthDelimitedCodec::new();
        codec.set_max_frame_length(MAX_FRAME_BYTES);
        Connection {
            framed: Framed::new(stream::Stream::open(inner).compat(), codec),
            item: PhantomData,
        }
    }

    /// Like [`open`](Connection::open), for the stream of a peer that has not said who it is: its
    /// first frame may have [`MAX_FIRST_FRAME_BYTES`].
    pub fn accept(inner: Inner) -> Connection<Inner, Item> {
        let mut connection = Connection::open(inner);
        connection.framed.codec_mut().set_max_frame_length(MAX_FIRST_FRAME_BYTES);
        connection
    }

    /// Adds a frame to the send buffer. It is sent by the next [`flush`](Connection::flush) at the
    /// latest.
    ///
    /// # Errors
    ///
    /// Returns the error of the stream, or that the frame is too long; the connection can't be used
    /// afterwards.
    pub async fn feed(&mut self, frame: &Item) -> Result<(), Error> {
        Ok(self.framed.feed(encode(frame)).await?)
    }

    /// Sends everything in the send buffer.
    ///
    /// # Errors
    ///
    /// Returns the error of the stream; the connection can't be used afterwards.
    pub async fn flush(&mut self) -> Result<(), Error> {
        Ok(SinkExt::<Bytes>::flush(&mut self.framed).await?)
    }

    /// Bytes that have arrived of a frame that is not complete yet.
    pub fn unfinished_bytes(&self) -> usize {
        self.framed.read_buffer().len()
    }

    /// Receives the next frame; `None` once the peer has closed the connection.
    ///
    /// # Errors
    ///
    /// Returns the error of the stream, or that the frame is too long or does not decode.
    pub async fn receive(&mut self) -> Result<Option<Item>, Error> {
        match self.framed.next().await {
            None => Ok(None),
            Some(bytes) => {
                let item = decode(&bytes?)?;
                self.framed.codec_mut().set_max_frame_length(MAX_FRAME_BYTES);
                Ok(Some(item))
            }
        }
    }
}

/// Encodes a frame without the length header.
///
/// ```
/// use dotterelhoist_core::message::Frame;
///
/// let frame = Frame { sent: 7, echo: 3, body: None };
/// let bytes = dotterelhoist_wire::encode(&frame);
/// let decoded: Frame = dotterelhoist_wire::decode(&bytes.into()).unwrap();
/// assert_eq!(decoded, frame);
/// ```
pub fn encode<Item>(frame: &Item) -> Bytes
where
    Item: Message,
{
    frame.encode_to_vec().into()
}

/// Decodes a frame without the length header.
///
/// # Errors
///
/// Returns an error if the bytes are not an encoded `Item`.
pub fn decode<Item>(bytes: &BytesMut) -> Result<Item, Error>
where
    Item: Message + Default,
{
    Item::decode(bytes.as_ref()).map_err(Error::Decode)
}
