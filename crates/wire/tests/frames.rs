//! Frames of a peer that has not said who it is.

use dotterelhoist_core::message::Frame;
use dotterelhoist_wire::{Connection, MAX_FIRST_FRAME_BYTES};
use rstest::rstest;
use smol::io::{AsyncWriteExt, Cursor};
use smol::net::{TcpListener, TcpStream};

/// Header of a frame with a payload of this many bytes.
fn header(payload_bytes: usize) -> [u8; 4] {
    u32::try_from(payload_bytes).expect("the length fits into the header").to_be_bytes()
}

#[rstest]
#[case::within_the_limit(MAX_FIRST_FRAME_BYTES, true)]
#[case::beyond_the_limit(MAX_FIRST_FRAME_BYTES + 1, false)]
fn first_frame_of_a_peer_is_awaited_up_to_its_limit(
    #[case] payload_bytes: usize,
    #[case] awaited: bool,
) {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let mut peer = TcpStream::connect(address).await.expect("the listener accepts");
        let (stream, _) = listener.accept().await.expect("a connection was made");
        peer.write_all(&header(payload_bytes)).await.expect("the bytes fit into the buffer");
        stream.peek(&mut [0]).await.expect("the header arrives");
        let mut connection: Connection<TcpStream> = Connection::accept(stream);
        let received = smol::future::poll_once(connection.receive()).await;
        assert_eq!(received.is_none(), awaited, "{received:?}");
    });
}

#[test]
fn frames_after_the_first_may_be_longer() {
    let long = Frame { sent: 1, echo: 2, body: None };
    let empty = header(0);
    let payload = dotterelhoist_wire::encode(&long);
    let padding = MAX_FIRST_FRAME_BYTES / payload.len() + 1;
    let payload = payload.repeat(padding);
    let bytes = [&empty[..], &header(payload.len()), &payload].concat();
    smol::block_on(async {
        let mut connection: Connection<_> = Connection::accept(Cursor::new(bytes));
        assert!(matches!(connection.receive().await, Ok(Some(_))));
        assert!(matches!(connection.receive().await, Ok(Some(frame)) if frame == long));
    });
}
