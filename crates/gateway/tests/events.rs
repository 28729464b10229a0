//! Splitting of event streams.

use dotterelhoist_gateway::events::{ends_inside_event, Error, Splitter, MAX_EVENT_BYTES};
use rstest::rstest;

/// Bytes and ids of the events of a stream that arrives in parts of `part_bytes`, and whether it ends
/// inside an event.
fn split(stream: &str, part_bytes: usize, continues: bool) -> (Vec<(String, Option<u64>)>, bool) {
    let mut splitter = Splitter::open(continues);
    let mut events = Vec::new();
    for part in stream.as_bytes().chunks(part_bytes) {
        splitter.push(part);
        while let Some(event) = splitter.next().expect("no event is too long") {
            events.push((String::from_utf8_lossy(&event.bytes).into_owned(), event.id));
        }
    }
    (events, splitter.is_inside_event())
}

#[rstest]
#[case::lf("id: 1\ndata: x\n\nid: 2\n\n", &[Some(1), Some(2)], false)]
#[case::crlf("id: 1\r\ndata: x\r\n\r\nid: 2\r\n\r\n", &[Some(1), Some(2)], false)]
#[case::cr("id: 1\rdata: x\r\rid: 2\r\r", &[Some(1), Some(2)], false)]
#[case::mixed("id: 1\r\ndata: x\n\r\nid: 2\r\n\n", &[Some(1), Some(2)], false)]
#[case::byte_order_mark("\u{feff}id: 1\n\nid: 2\n\n", &[Some(1), Some(2)], false)]
#[case::id_without_space("id:7\n\n", &[Some(7)], false)]
#[case::id_empty("id:\ndata: x\n\n", &[None], false)]
#[case::id_without_colon("id\ndata: x\n\n", &[None], false)]
#[case::id_not_a_number("id: a\n\n", &[None], false)]
#[case::id_of_another_field("idx: 3\n\n", &[None], false)]
#[case::last_of_two_ids("id: 3\nid: 4\n\n", &[Some(4)], false)]
#[case::comment(": ping\n\nid: 1\n\n", &[None, Some(1)], false)]
#[case::comment_at_the_end("id: 1\n\n: bye\n", &[Some(1)], false)]
#[case::inside_a_comment("id: 1\n\n: by", &[Some(1)], true)]
#[case::inside_a_line("id: 1\n\nid: 2\nda", &[Some(1)], true)]
#[case::before_the_empty_line("id: 1\n\nid: 2\ndata: x\n", &[Some(1)], true)]
#[case::before_the_empty_line_cr("id: 1\r\rid: 2\r", &[Some(1)], true)]
#[case::nothing("", &[], false)]
fn stream_is_split_alike_in_parts_of_any_length(
    #[case] stream: &str,
    #[case] ids: &[Option<u64>],
    #[case] inside: bool,
) {
    for part_bytes in 1..=stream.len().max(1) {
        let (events, is_inside) = split(stream, part_bytes, false);
        let split_ids: Vec<Option<u64>> = events.iter().map(|(_, id)| *id).collect();
        assert_eq!((split_ids.as_slice(), is_inside), (ids, inside), "parts of {part_bytes}");
        let bytes: String = events.into_iter().map(|(bytes, _)| bytes).collect();
        assert!(stream.starts_with(&bytes), "{bytes:?}");
    }
}

#[test]
fn event_that_ends_with_cr_is_not_held_until_the_next_byte() {
    let mut splitter = Splitter::open(false);
    splitter.push(b"id: 1\r\r");
    assert_eq!(splitter.next().map(|event| event.map(|event| event.id)), Ok(Some(Some(1))));
    splitter.push(b"\n");
    assert_eq!(splitter.next(), Ok(None));
    assert!(!splitter.is_inside_event());
    assert_eq!(&*splitter.take_rest(), b"\n");
}

#[test]
fn byte_order_mark_is_removed_only_where_a_stream_continues_another() {
    let stream = "\u{feff}id: 3\n\n";
    assert_eq!(split(stream, 1, true).0, [("id: 3\n\n".to_owned(), Some(3))]);
    assert_eq!(split(stream, 1, false).0, [(stream.to_owned(), Some(3))]);
}

#[rstest]
#[case::one_line(b"data: ")]
#[case::many_lines(b"data: x\n")]
#[case::comments(b": x\n")]
fn event_without_end_is_an_error_once_it_is_too_long(#[case] part: &[u8]) {
    let mut splitter = Splitter::open(false);
    let parts = (0..MAX_EVENT_BYTES).map(|_| {
        splitter.push(part);
        splitter.next()
    });
    let end = parts.take_while(|next| *next == Ok(None)).count();
    assert!(end * part.len() <= MAX_EVENT_BYTES, "{end} parts");
    assert_eq!(splitter.next(), Err(Error::EventTooLong));
}

#[rstest]
#[case::complete("\n\ndata: x\n\n", false)]
#[case::cut_in_it("", true)]
#[case::cut_after_it("\n\ndata: x\n", true)]
fn body_with_a_long_event_has_broken_off_only_inside_an_event(
    #[case] rest: &str,
    #[case] inside: bool,
) {
    let body = format!("data: {}{rest}", "x".repeat(2 * MAX_EVENT_BYTES));
    assert_eq!(ends_inside_event(body.as_bytes()), inside);
}
