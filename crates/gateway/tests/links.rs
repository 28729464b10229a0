//! Connections between daemons on real sockets.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use dotterelhoist_fleet::message::{Body, Frame, Hello, Reply};
use dotterelhoist_fleet::patch::Patch;
use dotterelhoist_gateway::links::{Event, Links};
use dotterelhoist_gateway::metrics::Meter;
use smol::io::AsyncWriteExt;
use smol::net::TcpListener;
use smol::Timer;

/// Parts in which the peer sends one frame, and the pause after each. Together the pauses are longer
/// than any timeout of a connection on which nothing arrives.
const PARTS: usize = 100;
const PAUSE: Duration = Duration::from_millis(35);

/// A slow network must not cut off a large message again and again.
#[test]
fn link_that_receives_a_large_frame_slowly_stays_open() {
    let executor = Rc::new(smol::LocalExecutor::new());
    let events: Rc<RefCell<Vec<String>>> = Rc::default();
    let (done, ended) = smol::channel::bounded(1);
    let recorded = events.clone();
    let handler = Rc::new(move |event: Event| match event {
        Event::OutgoingOpened(_) => recorded.borrow_mut().push("opened".to_owned()),
        Event::OutgoingClosed(_) => {
            recorded.borrow_mut().push("closed".to_owned());
            done.try_send(()).ok();
        }
        Event::Received(_, Body::Reply(reply)) => {
            recorded.borrow_mut().push(format!("reply {}", reply.ticket));
            done.try_send(()).ok();
        }
        _ => {}
    });
    smol::block_on(executor.clone().run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
        let port = listener.local_addr().expect("the listener has an address").port();
        let hello = Hello { daemon: "127.0.0.2".to_owned(), ..Hello::default() };
        let links = Links::open(hello, port, handler, Meter::open("test"), executor.clone());
        links.dial(&"127.0.0.1".into());
        let (mut stream, _) = listener.accept().await.expect("the link connects");
        let document = Patch { difference: vec![b'x'; 1 << 16].into(), ..Patch::default() };
        let reply = Reply { ticket: 7, answered: true, document: Some(document) };
        let payload = dotterelhoist_wire::encode(&Frame { body: Some(Body::Reply(reply)) });
        let mut bytes = (payload.len() as u32).to_be_bytes().to_vec();
        bytes.extend_from_slice(&payload);
        for part in bytes.chunks(bytes.len().div_ceil(PARTS)) {
            if stream.write_all(part).await.is_err() {
                break;
            }
            Timer::after(PAUSE).await;
        }
        ended.recv().await.ok();
    }));
    assert_eq!(*events.borrow(), ["opened", "reply 7"]);
}
