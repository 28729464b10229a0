//! How responses end: whole, or inside an event.

use rstest::rstest;

use super::callers::{BodyEnd, Received};
use super::cuts::{Cut, Framing};
use super::deployment::Deployment;
use super::engine;
use super::scripts::{Next, Script, ID};
use super::RECOVERY_TIMEOUT;

/// Text of the events with these numbers.
fn events(numbers: std::ops::RangeInclusive<u64>) -> String {
    numbers.map(engine::event).collect()
}

/// The first engine sends a part of an event and ends the body: another one must continue the stream.
#[rstest]
#[case::connection_in_a_line(Framing::Connection, 2, "id: 3\ndata: pi")]
#[case::connection_before_the_empty_line(Framing::Connection, 2, "id: 3\ndata: piece\n")]
#[case::connection_in_the_first_event(Framing::Connection, 0, "id: 1\nda")]
#[case::chunks(Framing::Chunks, 2, "id: 3\ndata: pi")]
#[case::length(Framing::Length, 2, "id: 3\ndata: pi")]
fn stream_that_its_engine_ends_inside_an_event_is_continued_by_another(
    #[case] framing: Framing,
    #[case] last_event: u64,
    #[case] rest: &'static str,
) {
    let deployment = Deployment::start();
    deployment.wait_for_two_groups();
    deployment.cuts.plan("s0", [Cut { framing, last_event, rest }]);
    let received = deployment.receive("s0").expect("a response");
    assert_eq!((received.status, received.body), (200, events(1..=5)));
    assert_ne!(received.end, BodyEnd::Cut);
    assert_eq!(deployment.run_count("s0"), 2);
}

/// All attempts that the route allows end inside an event: the caller must see that the stream is cut.
#[rstest]
#[case::connections(Framing::Connection, Framing::Connection)]
#[case::connection_after_chunks(Framing::Chunks, Framing::Connection)]
#[case::chunks_after_connection(Framing::Connection, Framing::Chunks)]
#[case::lengths(Framing::Length, Framing::Length)]
fn stream_that_all_engines_end_inside_an_event_does_not_look_complete(
    #[case] first: Framing,
    #[case] second: Framing,
) {
    let deployment = Deployment::start();
    deployment.wait_for_two_groups();
    let cuts = [(first, 2), (second, 3)];
    let cuts = cuts.map(|(framing, last_event)| Cut { framing, last_event, rest: "id: 9\nda" });
    deployment.cuts.plan("s0", cuts);
    let received = deployment.receive("s0").expect("a response");
    assert_eq!(received, Received { status: 200, body: events(1..=3), end: BodyEnd::Cut });
}

/// All engines end the stream inside its first event: there is no answer, so none may begin.
#[test]
fn stream_that_all_engines_end_inside_its_first_event_is_refused() {
    let deployment = Deployment::start();
    deployment.wait_for_two_groups();
    let cut = Cut { framing: Framing::Connection, last_event: 0, rest: "id: 1\nda" };
    deployment.cuts.plan("s0", [cut; 2]);
    let received = deployment.receive("s0").expect("a response");
    assert_eq!((received.status, received.end), (502, BodyEnd::Framed), "{}", received.body);
}

#[rstest]
#[case::connection(Framing::Connection)]
#[case::chunks(Framing::Chunks)]
#[case::length(Framing::Length)]
fn stream_that_ends_after_its_last_event_is_whole(#[case] framing: Framing) {
    let deployment = Deployment::start();
    deployment.cuts.plan("s0", [Cut { framing, last_event: 5, rest: "" }]);
    let received = deployment.receive("s0").expect("a response");
    assert_eq!((received.status, received.body), (200, events(1..=5)));
    assert_ne!(received.end, BodyEnd::Cut);
    assert_eq!(deployment.run_count("s0"), 1);
}

/// An endpoint of a route without streams ends a body of events inside one: it has broken off.
#[rstest]
#[case::connection(Framing::Connection, "id: 3\ndata: pi", 502)]
#[case::chunks(Framing::Chunks, "id: 3\ndata: piece\n", 502)]
#[case::length(Framing::Length, "id: 3\n", 502)]
#[case::whole(Framing::Connection, "", 200)]
fn booking_whose_body_ends_inside_an_event_is_refused(
    #[case] framing: Framing,
    #[case] rest: &'static str,
    #[case] status: u16,
) {
    let deployment = Deployment::start();
    deployment.cuts.plan("a1", [Cut { framing, last_event: 2, rest }]);
    let reply = deployment.book("a1").expect("a complete response");
    assert_eq!(reply.status, status, "{}", reply.body);
    deployment.check_run_counts();
}

/// The engine sends data without an id, which a resumed stream would repeat, before it breaks off.
#[test]
fn stream_is_cut_rather_than_resumed_after_data_without_an_id() {
    let deployment = Deployment::start();
    deployment.wait_for_two_groups();
    let rest = "data: x\n\nid: 3\nda";
    deployment.cuts.plan("s0", [Cut { framing: Framing::Chunks, last_event: 2, rest }]);
    let received = deployment.receive("s0").expect("a response");
    let body = events(1..=2) + "data: x\n\n";
    assert_eq!(received, Received { status: 200, body, end: BodyEnd::Cut });
    assert_eq!(deployment.run_count("s0"), 1);
}

/// The engine sends a comment before it breaks off: nothing would be repeated.
#[test]
fn stream_is_resumed_after_a_comment_without_an_id() {
    let deployment = Deployment::start();
    deployment.wait_for_two_groups();
    let rest = ": ping\n\nid: 3\nda";
    deployment.cuts.plan("s0", [Cut { framing: Framing::Chunks, last_event: 2, rest }]);
    let received = deployment.receive("s0").expect("a response");
    let body = events(1..=2) + ": ping\n\n" + &events(3..=5);
    assert_eq!(received, Received { status: 200, body, end: BodyEnd::Framed });
}

/// The first engine falls silent, and the second attempt beside it takes over and ends inside an
/// event: a third one must continue the stream.
#[test]
fn stream_whose_second_attempt_ends_inside_an_event_is_continued_by_a_third() {
    let deployment = Deployment::start();
    deployment.put(100);
    deployment.wait_for_groups(3);
    deployment.silence.abandon("s0");
    let cut = Cut { framing: Framing::Connection, last_event: 3, rest: "id: 4\nda" };
    deployment.cuts.plan_second("s0", cut);
    let received = deployment.receive("s0").expect("a response");
    assert_eq!(received, Received { status: 200, body: events(1..=5), end: BodyEnd::Framed });
    assert_eq!(deployment.run_count("s0"), 3);
}

/// How the body of a response is framed, and the bytes that follow the other headers.
const FRAMINGS: [(&str, &str, &str); 3] = [
    ("Content-Length: {n}\r\n\r\n", "", "length"),
    ("Transfer-Encoding: chunked\r\n\r\n{h}\r\n", "\r\n0\r\n\r\n", "chunks"),
    ("Connection: close\r\n\r\n", "", "connection"),
];

/// A signed response to the request [`ID`], with more header lines and a body that is not empty.
fn response(status: u16, headers: &str, framing: (&str, &str, &str), body: &str) -> String {
    let (before, after, _) = framing;
    let before = before.replace("{n}", &body.len().to_string());
    let before = before.replace("{h}", &format!("{:x}", body.len()));
    format!(
        "HTTP/1.1 {status} Answer\r\nDotterelhoist-Request-Id: {ID}\r\n\
         Dotterelhoist-Response-Seal: s\r\n{headers}{before}{body}{after}"
    )
}

const EVENTS: &str = "Content-Type: text/event-stream\r\n";

/// Guards against ORDER and MIXED: what does not continue a stream that has begun was written into it, or ended
/// it as if it were complete.
#[rstest]
fn stream_that_breaks_off_is_continued_only_by_what_follows_it(
    #[values(200, 204, 206, 400, 404, 429, 500, 503)] status: u16,
    #[values(0, 1, 2)] framing: usize,
) {
    let deployment = Deployment::start();
    deployment.wait_for_two_groups();
    let framing = FRAMINGS[framing];
    let third = engine::event(3);
    let mut seconds = vec![
        response(status, "Content-Type: text/plain\r\n", framing, "out of memory\n"),
        response(status, "", framing, "error"),
        response(
            status,
            "Content-Encoding: gzip\r\nContent-Type: text/event-stream\r\n",
            framing,
            "x",
        ),
        response(status, EVENTS, framing, "data: out of memory\n\n"),
        response(status, EVENTS, framing, "id: x\ndata: out of memory\n\n"),
    ];
    if status != 200 {
        seconds.push(response(status, EVENTS, framing, &third));
    }
    if framing.2 == "connection" {
        seconds.push(response(status, EVENTS, framing, ""));
    }
    for (number, second) in seconds.into_iter().enumerate() {
        let received = deployment.poll(RECOVERY_TIMEOUT, |deployment| {
            let id = format!("{}0", deployment.unique_label());
            let begun = response(200, EVENTS, FRAMINGS[2], &events(1..=2));
            let next = if framing.2 == "connection" { Next::Close } else { Next::Request };
            let scripts = [Script::run(begun, Next::Reset), Script::run(second.clone(), next)];
            deployment.scripts.plan(&id, scripts);
            let received = deployment.receive(&id).expect("a response");
            // A token of the retry budget, or a sound endpoint, may be lacking at first.
            (deployment.run_count(&id) == 2).then_some(received)
        });
        let received = received.expect("a second attempt");
        let cut = Received { status: 200, body: events(1..=2), end: BodyEnd::Cut };
        assert_eq!(received, cut, "{number}: {second}");
    }
}

/// What truly follows continues the stream, also if only its end is left.
#[rstest]
#[case::events(0, "id: 2\ndata: piece\n\nid: 3\ndata: piece\n\n", 3)]
#[case::events_in_chunks(1, "id: 3\ndata: piece\n\n", 3)]
#[case::events_until_the_end_of_the_connection(2, "id: 3\ndata: piece\n\n", 3)]
#[case::nothing_more(0, "", 2)]
#[case::only_a_comment(1, ": over\n\n", 2)]
fn stream_that_breaks_off_is_continued_by_what_follows_it(
    #[case] framing: usize,
    #[case] body: &str,
    #[case] last: u64,
) {
    let deployment = Deployment::start();
    deployment.wait_for_two_groups();
    let begun = response(200, EVENTS, FRAMINGS[2], &events(1..=2));
    let second = response(200, EVENTS, FRAMINGS[framing], body);
    let next = if framing == 2 { Next::Close } else { Next::Request };
    deployment.scripts.plan("s0", [Script::run(begun, Next::Reset), Script::run(second, next)]);
    let received = deployment.receive("s0").expect("a response");
    let ids = super::deployment::event_ids(&received.body);
    assert_eq!((received.status, ids), (200, (1..=last).collect()));
    assert_ne!(received.end, BodyEnd::Cut);
}

/// Guards against MIXED: the error of a second attempt, beside a stream whose endpoint is silent, was written into it.
#[rstest]
fn error_of_a_second_attempt_beside_a_silent_stream_is_not_written_into_it(
    #[values(200, 404, 500, 503)] status: u16,
) {
    let deployment = Deployment::start();
    deployment.wait_for_two_groups();
    let begun = response(200, EVENTS, ("Transfer-Encoding: chunked\r\n\r\n", "", ""), "");
    let begun = format!("{begun}{:x}\r\n{}\r\n", events(1..=2).len(), events(1..=2));
    let second = response(status, "Content-Type: text/plain\r\n", FRAMINGS[0], "out of memory");
    deployment
        .scripts
        .plan("s0", [Script::run(begun, Next::Silence), Script::run(second, Next::Request)]);
    let received = deployment.receive("s0").expect("a response");
    assert_eq!(received, Received { status: 200, body: events(1..=2), end: BodyEnd::Cut });
    assert_eq!(deployment.run_count("s0"), 2);
}

/// Responses of which an endpoint may send a part only.
fn whole_responses() -> Vec<String> {
    vec![
        response(200, "Content-Type: text/plain\r\n", FRAMINGS[0], "done"),
        response(200, "X-Note: a: b\r\n", FRAMINGS[1], "done"),
        response(500, "", FRAMINGS[0], "failed"),
        format!("HTTP/1.1 503 Shed\r\nDotterelhoist-Request-Id: {ID}\r\nDotterelhoist-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"),
    ]
}

/// Guards against MIXED and REFUSED: an endpoint that stopped within its answer left one that looked complete.
#[rstest]
fn booking_whose_answer_stops_early_is_not_answered(
    #[values(0, 1, 2, 3)] number: usize,
    #[values(Next::Close, Next::Reset)] next: Next,
) {
    let deployment = Deployment::start();
    let whole = &whole_responses()[number];
    let lengths = (0..whole.len()).step_by(19).chain(whole.len() - 3..whole.len());
    for length in lengths {
        let status = deployment.poll(RECOVERY_TIMEOUT, |deployment| {
            let label = deployment.unique_label();
            if length % 2 == 0 {
                deployment.book(&format!("{label}e1"));
            }
            let id = format!("{label}1");
            deployment.scripts.plan(&id, [Script::run(&whole[..length], next)]);
            let reply = deployment.book(&id).expect("a complete response");
            (deployment.run_count(&id) == 1).then_some((reply.status, reply.sealed))
        });
        assert_eq!(status, Some((502, false)), "{:?} then {next:?}", &whole[..length]);
    }
}

/// The same for streams, which another endpoint may serve.
#[rstest]
fn stream_whose_answer_stops_within_its_head_is_served_by_another(
    #[values(Next::Close, Next::Reset)] next: Next,
    #[values(0, 1, 2)] framing: usize,
    #[values(1, 2, 60, 1000)] missing: usize,
) {
    let deployment = Deployment::start();
    deployment.wait_for_two_groups();
    let whole = response(200, EVENTS, FRAMINGS[framing], &events(1..=5));
    let head = whole.find("\r\n\r\n").expect("the end of the head") + 4;
    let part = &whole[..head.saturating_sub(missing)];
    deployment.scripts.plan("s0", [Script::run(part, next)]);
    let received = deployment.receive("s0").expect("a response");
    assert_eq!((received.status, received.body), (200, events(1..=5)), "{part:?}");
    assert_ne!(received.end, BodyEnd::Cut);
    assert_eq!(deployment.run_count("s0"), 2);
}

/// An endpoint that falls silent within its head has not answered by the deadline.
#[rstest]
fn booking_whose_answer_falls_silent_within_its_head_times_out(#[values(0, 9, 120)] length: usize) {
    let deployment = Deployment::start();
    let whole = &whole_responses()[0];
    deployment.scripts.plan("s1", [Script::run(&whole[..length], Next::Silence)]);
    let reply = deployment.book("s1").expect("a complete response");
    assert_eq!((reply.status, reply.sealed), (504, false));
}
