//! Responses that a stand-in sends without end.

use dotterelhoist_gateway::http::Connection;

/// Bytes that a stand-in sends at once, about.
const PART_BYTES: usize = 32 << 10;

/// What a stand-in sends without end.
#[derive(Clone, Copy, Debug, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Flood {
    /// A line of an event, in a body that ends with the connection.
    Event,
    /// A line of an event, in chunks.
    ChunkedEvent,
    /// Events that the caller has.
    KnownEvents,
    /// Interim responses.
    Interim,
    /// Trailer fields after the last chunk.
    Trailers,
    /// Chunks of one byte with extensions.
    ChunkExtensions,
    /// A header field.
    Head,
    /// The body of a response that declines the request.
    Declined,
}

impl Flood {
    /// Head of the response, as far as it ends.
    fn head(self, common_headers: &str) -> String {
        let head = |status: &str, headers: &str| {
            format!("HTTP/1.1 {status}\r\n{common_headers}\r\n{headers}\r\n")
        };
        let stream = "Content-Type: text/event-stream\r\n";
        let chunks = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
        match self {
            Flood::Event => head("200 OK", stream) + "id: 1\ndata: ",
            Flood::ChunkedEvent => head("200 OK", chunks),
            Flood::KnownEvents => head("200 OK", stream) + "id: 1\n\n",
            Flood::Interim => String::new(),
            Flood::Trailers => head("200 OK", chunks) + "0\r\n",
            Flood::ChunkExtensions => head("200 OK", chunks),
            Flood::Head => format!("HTTP/1.1 200 OK\r\n{common_headers}\r\nX: "),
            Flood::Declined => head("503 Service Unavailable", "Dotterelhoist-Not-Run: 1\r\n"),
        }
    }

    /// What follows the head again and again.
    fn part(self) -> &'static str {
        match self {
            Flood::Event | Flood::Head | Flood::Declined => "x",
            Flood::ChunkedEvent => "10\r\nxxxxxxxxxxxxxxxx\r\n",
            Flood::KnownEvents => "id: 1\n\n",
            Flood::Interim => "HTTP/1.1 102 Processing\r\n\r\n",
            Flood::Trailers => "X: y\r\n",
            Flood::ChunkExtensions => "1;x=yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n:\r\n",
        }
    }
}

/// Sends a response without end, until the other side closes the connection.
pub async fn send(connection: &mut Connection, common_headers: &str, flood: Flood) -> Option<()> {
    connection.write(flood.head(common_headers).as_bytes()).await.ok()?;
    let part = flood.part();
    let parts = part.repeat(PART_BYTES / part.len());
    loop {
        connection.write(parts.as_bytes()).await.ok()?;
        smol::future::yield_now().await;
    }
}
