//! Frames between the processes of dotterelhoist.
//!
//! A frame is a `prost` message behind a length of four bytes. [`Connection`] runs over any
//! `futures` stream, so it needs no runtime of its own. A frame that is too long or does not decode
//! ends the connection: the other side is then not speaking this protocol.

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

/// Longest frame in bytes; a snapshot must fit into one.
pub const MAX_FRAME_BYTES: usize = 256 << 20;
/// Bytes in front of each frame.
pub const HEADER_BYTES: usize = 4;

/// Why a connection ended.
#[derive(Debug, Display)]
pub enum Error {
    /// connection failed: {0}
    Io(io::Error),
    /// the other side sent something that is not a frame: {0}
    Decode(prost::DecodeError),
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Error {
        Error::Io(error)
    }
}

/// A connection that carries frames in both directions.
#[derive(Debug)]
pub struct Connection<Stream, Item = Frame> {
    framed: Framed<Compat<Stream>, LengthDelimitedCodec>,
    item: PhantomData<Item>,
}

impl<Stream, Item> Connection<Stream, Item>
where
    Stream: AsyncRead + AsyncWrite + Unpin,
    Item: Message + Default,
{
    /// Puts frames on a stream.
    pub fn open(stream: Stream) -> Connection<Stream, Item> {
        let mut codec = LengthDelimitedCodec::new();
        codec.set_max_frame_length(MAX_FRAME_BYTES);
        Connection { framed: Framed::new(stream.compat(), codec), item: PhantomData }
    }

    /// Puts a frame into the send buffer.
    ///
    /// # Errors
    ///
    /// Returns the stream's error; the connection is then of no further use.
    pub async fn feed(&mut self, frame: &Item) -> Result<(), Error> {
        Ok(self.framed.feed(encode(frame)).await?)
    }

    /// Sends what is in the send buffer.
    ///
    /// # Errors
    ///
    /// Returns the stream's error; the connection is then of no further use.
    pub async fn flush(&mut self) -> Result<(), Error> {
        Ok(SinkExt::<Bytes>::flush(&mut self.framed).await?)
    }

    /// Receives the next frame; none once the other side has closed the connection.
    ///
    /// # Errors
    ///
    /// Returns the stream's error, or what is wrong with the frame.
    pub async fn receive(&mut self) -> Result<Option<Item>, Error> {
        match self.framed.next().await {
            None => Ok(None),
            Some(bytes) => decode(&bytes?).map(Some),
        }
    }
}

/// Encodes a frame without its length.
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

/// Decodes a frame without its length.
///
/// # Errors
///
/// Returns what is wrong with the bytes.
pub fn decode<Item>(bytes: &BytesMut) -> Result<Item, Error>
where
    Item: Message + Default,
{
    Item::decode(bytes.as_ref()).map_err(Error::Decode)
}
