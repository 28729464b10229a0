//! Framing of HTTP messages over real sockets.

use dotterelhoist_gateway::http::{BodyReader, Connection, Error, Framing};
use dotterelhoist_gateway::memory::{Budget, Reservation, MAX_FREE_BYTES};
use futures_lite::AsyncWriteExt;
use rstest::rstest;
use smol::net::{TcpListener, TcpStream};

/// Memory for a body of any length.
fn unlimited() -> Reservation {
    Budget::open(usize::MAX).reserve()
}

/// A connection on which the other side has sent `bytes`. If `open` is set, the other end is
/// returned too and keeps the connection open; otherwise it is closed after the bytes.
async fn connection_with(bytes: &[u8], open: bool) -> (Connection, Option<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let mut sender = TcpStream::connect(address).await.expect("the listener accepts connections");
    let (stream, _) = listener.accept().await.expect("a connection was made");
    sender.write_all(bytes).await.expect("the bytes fit into the socket buffer");
    let kept = if open { Some(sender) } else { None };
    (Connection::open(stream), kept)
}

#[rstest]
#[case::two_lengths("Content-Length: 3\r\nContent-Length: 4\r\n")]
#[case::length_and_chunks("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n")]
#[case::list_of_lengths("Content-Length: 3, 3\r\n")]
#[case::signed_length("Content-Length: +3\r\n")]
#[case::other_encoding("Transfer-Encoding: gzip, chunked\r\n")]
#[case::two_encodings("Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n")]
fn request_with_ambiguous_framing_is_malformed(#[case] headers: &str) {
    smol::block_on(async {
        let bytes = format!("POST /x HTTP/1.1\r\nHost: h\r\n{headers}\r\nabc");
        let (mut connection, _open) = connection_with(bytes.as_bytes(), true).await;
        let head = connection.read_request_head(8192).await;
        assert!(matches!(head, Err(Error::Malformed(_))), "{head:?}");
    });
}

#[test]
fn request_target_is_kept_as_sent() {
    smol::block_on(async {
        let bytes = b"GET /a/../b%2f//c?x=%41&y HTTP/1.1\r\nHost: h\r\n\r\n";
        let (mut connection, _open) = connection_with(bytes, true).await;
        let head = connection.read_request_head(8192).await.expect("the head is well formed");
        assert_eq!(&*head.target, "/a/../b%2f//c?x=%41&y");
    });
}

#[test]
fn requests_pipelined_are_read_one_after_the_other() {
    smol::block_on(async {
        let first = "POST /1 HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc";
        let second = "GET /2 HTTP/1.1\r\n\r\n";
        let (mut connection, _open) =
            connection_with(format!("{first}{second}").as_bytes(), true).await;
        let head = connection.read_request_head(8192).await.expect("the first is well formed");
        let body = connection
            .read_body(head.framing, 100, &mut unlimited())
            .await
            .expect("its body is complete");
        assert_eq!((&*head.target, &*body), ("/1", b"abc".as_slice()));
        let head = connection.read_request_head(8192).await.expect("the second is well formed");
        assert_eq!(&*head.target, "/2");
    });
}

#[test]
fn head_too_long_is_an_error_of_its_own() {
    smol::block_on(async {
        let bytes = format!("GET / HTTP/1.1\r\nX: {}\r\n\r\n", "y".repeat(9000));
        let (mut connection, _open) = connection_with(bytes.as_bytes(), true).await;
        let head = connection.read_request_head(1000).await;
        assert!(matches!(head, Err(Error::HeadTooLong)), "{head:?}");
    });
}

#[rstest]
#[case::length("Content-Length: 5\r\n\r\nhello", false, Some("hello"))]
#[case::chunks(
    "Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\n\r\n",
    true,
    Some("hello")
)]
#[case::until_close("\r\nhello", false, Some("hello"))]
#[case::length_cut("Content-Length: 9\r\n\r\nhello", false, None)]
#[case::chunk_size_cut("Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0", false, None)]
#[case::last_chunk_cut("Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n", false, None)]
#[case::chunks_cut("Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", false, None)]
#[case::chunk_too_long("Transfer-Encoding: chunked\r\n\r\n2\r\nhello\r\n0\r\n\r\n", true, None)]
#[case::chunk_without_size("Transfer-Encoding: chunked\r\n\r\nxyz\r\n", true, None)]
fn response_body_is_complete_or_an_error(
    #[case] rest: &str,
    #[case] open: bool,
    #[case] expected: Option<&str>,
) {
    smol::block_on(async {
        let bytes = format!("HTTP/1.1 200 OK\r\n{rest}");
        let (mut connection, _open) = connection_with(bytes.as_bytes(), open).await;
        let head =
            connection.read_response_head("GET", 8192).await.expect("the head is well formed");
        let body = connection.read_body(head.framing, 100, &mut unlimited()).await;
        match expected {
            Some(expected) => {
                assert_eq!(&*body.expect("the body is complete"), expected.as_bytes())
            }
            None => assert!(body.is_err()),
        }
    });
}

#[test]
fn response_whose_connection_is_reset_is_not_complete() {
    smol::block_on(async {
        let bytes = b"HTTP/1.1 200 OK\r\n\r\nhello";
        let (mut connection, sender) = connection_with(bytes, true).await;
        let head = connection.read_response_head("GET", 8192).await.expect("a valid head");
        let sender = sender.expect("the connection is open");
        rustix::net::sockopt::set_socket_linger(&sender, Some(std::time::Duration::ZERO))
            .expect("the option is supported");
        drop(sender);
        let body = connection.read_body(head.framing, 100, &mut unlimited()).await;
        assert!(matches!(body, Err(Error::Broken(_))), "{body:?}");
    });
}

#[test]
fn response_interim_is_skipped() {
    smol::block_on(async {
        let bytes = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n";
        let (mut connection, _open) = connection_with(bytes, true).await;
        let head =
            connection.read_response_head("POST", 8192).await.expect("the head is well formed");
        assert_eq!((head.status, head.framing), (204, Framing::Length(0)));
    });
}

/// Guards against MIXED and requests that wait in vain: what is no status was an answer, or an interim response.
#[rstest]
fn response_with_a_status_that_is_none_is_malformed(
    #[values("000", "001", "099", "101", "600", "700", "999", "20", "2000", "+20", "abc", "2.0")]
    status: &str,
    #[values("", "HTTP/1.1 100 Continue\r\n\r\n")] before: &str,
    #[values("", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")] after: &str,
) {
    smol::block_on(async {
        let bytes = format!("{before}HTTP/1.1 {status} Odd\r\nContent-Length: 0\r\n\r\n{after}");
        let (mut connection, _) = connection_with(bytes.as_bytes(), false).await;
        let head = connection.read_response_head("POST", 8192).await;
        assert!(matches!(head, Err(Error::Malformed(_))), "{head:?}");
    });
}

#[rstest]
fn response_interim_of_any_code_is_skipped(#[values(100, 102, 103, 150, 199)] interim: u16) {
    smol::block_on(async {
        let bytes =
            format!("HTTP/1.1 {interim} Wait\r\n\r\nHTTP/1.1 599 Odd\r\nContent-Length: 0\r\n\r\n");
        let (mut connection, _open) = connection_with(bytes.as_bytes(), true).await;
        let head = connection.read_response_head("POST", 8192).await.expect("a final response");
        assert_eq!(head.status, 599);
    });
}

/// Bytes of a response that a peer sends as long as it is read, followed by a close.
const FLOOD_BYTES: usize = 1 << 20;

/// Reads the response to a request from a peer that sends `start` and then `part` again and again.
async fn read_flood(start: &str, part: &str) -> Result<bytes::Bytes, Error> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let flood = start.to_owned() + &part.repeat(FLOOD_BYTES / part.len());
    let send = smol::spawn(async move {
        let (mut sender, _) = listener.accept().await.expect("a connection is made");
        sender.write_all(flood.as_bytes()).await.ok();
    });
    let stream = TcpStream::connect(address).await.expect("the listener accepts connections");
    let mut connection = Connection::open(stream);
    let head = connection.read_response_head("POST", 8192).await?;
    let body = connection.read_body(head.framing, FLOOD_BYTES * 2, &mut unlimited()).await;
    drop(connection);
    send.await;
    body
}

#[rstest]
#[case::interim("", "HTTP/1.1 102 Processing\r\n\r\n", "InterimTooLong")]
#[case::head("HTTP/1.1 200 OK\r\nX: ", "x", "HeadTooLong")]
#[case::trailers(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
    "X: y\r\n",
    "TrailerTooLong"
)]
#[case::extensions(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "1;x=yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\nz\r\n",
    "ChunksTooLong"
)]
#[case::extension("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x", "Malformed")]
#[case::zeros("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0", "Malformed")]
fn bytes_without_end_are_an_error_of_their_own(
    #[case] start: &str,
    #[case] part: &str,
    #[case] expected: &str,
) {
    let result = smol::block_on(read_flood(start, part));
    let error = format!("{:?}", result.expect_err("the response has no end"));
    assert!(error.starts_with(expected), "{error}");
}

/// Other bodies hold all memory or none: a large body must fail or be read, a small one be read.
#[rstest]
#[case::large_without_memory(MAX_FREE_BYTES + 500, 1000, false)]
#[case::large_with_memory(MAX_FREE_BYTES + 500, 0, true)]
#[case::small_without_memory(MAX_FREE_BYTES, 1000, true)]
fn body_is_read_as_far_as_others_leave_memory(
    #[case] length: usize,
    #[case] held_by_others: usize,
    #[case] is_read: bool,
) {
    smol::block_on(async {
        let budget = Budget::open(1000);
        let mut other = budget.reserve();
        assert!(other.resize(MAX_FREE_BYTES + held_by_others));
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        let bytes = head + &"x".repeat(length);
        let (mut connection, _open) = connection_with(bytes.as_bytes(), true).await;
        let head = connection.read_response_head("GET", 8192).await.expect("a valid head");
        let mut reservation = budget.reserve();
        let body = connection.read_body(head.framing, length, &mut reservation).await;
        assert_eq!(body.is_ok(), is_read, "{:?}", body.err());
    });
}

#[test]
fn body_in_chunks_of_one_byte_is_complete() {
    let start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let chunks = "1\r\nx\r\n".repeat(200_000);
    smol::block_on(async {
        let body = read_flood(&format!("{start}{chunks}0\r\n\r\n"), "x").await;
        assert_eq!(body.expect("the body is complete").len(), 200_000);
    });
}

#[test]
fn connection_with_unrequested_bytes_is_not_reusable() {
    smol::block_on(async {
        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n";
        let (mut connection, _open) = connection_with(answer, true).await;
        let head =
            connection.read_response_head("GET", 8192).await.expect("the head is well formed");
        let mut body = BodyReader::new(head.framing);
        while connection.read_part(&mut body).await.expect("the body is complete").is_some() {}
        assert!(!connection.is_reusable());
    });
}

#[test]
fn connection_closed_by_the_other_side_is_not_reusable() {
    smol::block_on(async {
        let (mut connection, _) = connection_with(b"", false).await;
        assert_eq!(connection.fill().await.expect("the connection was closed without an error"), 0);
        assert!(!connection.is_reusable());
    });
}

/// Guards against MIXED: no part of a response is taken for a whole one, wherever it stops.
#[rstest]
#[case::length("HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 4\r\n\r\ndone")]
#[case::chunks("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n")]
#[case::trailer(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nA: b\r\n\r\n"
)]
#[case::empty("HTTP/1.1 503 Shed\r\nA: b\r\nContent-Length: 0\r\n\r\n")]
#[case::none("HTTP/1.1 204 No Content\r\nA: b\r\n\r\n")]
#[case::interim(
    "HTTP/1.1 103 Hints\r\nA: b\r\n\r\nHTTP/1.1 500 Failed\r\nContent-Length: 1\r\n\r\nx"
)]
#[case::line_feeds("HTTP/1.1 200 OK\nA: b\nContent-Length: 4\n\ndone")]
fn response_that_stops_at_any_byte_is_an_error(#[case] whole: &str) {
    for length in 0..=whole.len() {
        let read = smol::block_on(async {
            let (mut connection, _) = connection_with(&whole.as_bytes()[..length], false).await;
            let head = connection.read_response_head("POST", 1 << 10).await?;
            connection.read_body(head.framing, 1 << 10, &mut unlimited()).await
        });
        assert_eq!(read.is_ok(), length == whole.len(), "{:?}: {read:?}", &whole[..length]);
    }
}
