//! Cost of each kind of control work, at several sizes each.

use std::time::Instant as Wall;

use dotterelhoist_core::clock::Instant;
use dotterelhoist_core::control::command::{
    Body as CommandBody, Change, Claim, Command, UsageBatch, UsageLine,
};
use dotterelhoist_core::control::StateMachine;
use dotterelhoist_core::event::Event;
use dotterelhoist_core::message::{
    AgedAnnouncement, Announcement, Announcements, Body, FetchReply, Frame, Order, Phase, Ping,
    Refresh, RouteEntries,
};
use dotterelhoist_core::object::Kind;
use dotterelhoist_core::replica::message::Entry as LogEntry;
use dotterelhoist_core::request::End;
use dotterelhoist_core::route::Standing;
use dotterelhoist_core::view::View;
use prost::Message;

use crate::solo::{entry, request, Solo};

/// Repetitions of each measurement; the median is printed.
const ROUNDS: usize = 9;
/// Bytes in front of each frame.
const FRAME_HEADER: usize = 4;

/// Prints all slopes.
pub fn measure() {
    memory();
    announcements();
    beats();
    beat_production();
    changes();
    links();
    placement();
    requests();
    claims();
    lines();
}

fn median(mut measured: Vec<f64>) -> f64 {
    measured.sort_by(f64::total_cmp);
    measured[measured.len() / 2]
}

/// Median of the microseconds that one call takes for each of `count` items.
fn micros(count: usize, mut work: impl FnMut()) -> f64 {
    let mut measured = Vec::new();
    for _ in 0..ROUNDS {
        let began = Wall::now();
        work();
        measured.push(began.elapsed().as_secs_f64() * 1e6 / count as f64);
    }
    median(measured)
}

fn resident_kb() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = statm.split_whitespace().nth(1).and_then(|p| p.parse().ok()).unwrap_or(0.0);
    pages * 4.0
}

fn frame_bytes(body: Body) -> usize {
    let frame = Frame { sent: 4_000_000_000, echo: 4_000_000_000, body: Some(body) };
    frame.encoded_len() + FRAME_HEADER
}

fn announcement(number: usize, sequence: u64) -> Announcement {
    let group = number / 8;
    Announcement {
        vm: format!("gulf-a-rack-{:03}-vm-{number:05}", number / 32),
        address: format!("10.1.{}.{}:8000", number / 250 % 250, number % 250),
        zone: "z".to_owned(),
        fabric_domain: format!("domain-{}", number / 64),
        accelerators: 8,
        labels: [("pool".to_owned(), "assist".to_owned())].into(),
        incarnation: 1_796_330_859_491,
        sequence,
        group: format!("assist/z/{group}"),
        generation: 40 + group as u64,
        rank: (number % 8) as u32,
        members: 8,
        phase: Phase::Ready as i32,
        model: "assist-1".to_owned(),
        slots: 64,
        load: 17,
        fences: true,
        step_ms: 21,
        ..Announcement::default()
    }
}

/// Takes in one round of announcements, each decoded from its frame.
fn announce_all(solo: &mut Solo, count: usize, sequence: u64) {
    for number in 0..count {
        let heard =
            AgedAnnouncement { announcement: Some(announcement(number, sequence)), age_ms: 120 };
        let list = Announcements { announcements: vec![heard] };
        solo.receive(Body::Announcements(list));
    }
}

fn announcements() {
    let one =
        AgedAnnouncement { announcement: Some(announcement(1, 1_796_330_859_491)), age_ms: 120 };
    let bytes = frame_bytes(Body::Announcements(Announcements { announcements: vec![one] }));
    println!("announcement at a host: {bytes} B in a frame of its own");
    println!("  {:>9} {:>12}", "endpoints", "us each");
    for count in [200, 1240, 6200] {
        let mut solo = Solo::new(true, 1);
        announce_all(&mut solo, count, 1);
        let frames: Vec<Vec<u8>> = (0..count)
            .map(|number| {
                let heard =
                    AgedAnnouncement { announcement: Some(announcement(number, 9)), age_ms: 120 };
                Announcements { announcements: vec![heard] }.encode_to_vec()
            })
            .collect();
        let cost = micros(count, || {
            for bytes in &frames {
                let list = Announcements::decode(bytes.as_slice()).expect("a list");
                solo.receive(Body::Announcements(list));
            }
        });
        println!("  {count:9} {cost:12.2}");
    }
}

fn beat(count: usize) -> Refresh {
    Refresh {
        handles: (0..count).map(|_| 1).collect(),
        ages: (0..count).map(|number| 15 + number as u32 % 30).collect(),
        loads: (0..count).map(|number| number as u32 % 64).collect(),
    }
}

/// A daemon with this many routes.
fn routed(count: usize) -> Solo {
    let mut solo = Solo::new(false, 1);
    for start in (0..count).step_by(256) {
        let entries = (start..count.min(start + 256)).map(entry).collect();
        solo.receive(Body::RouteEntries(RouteEntries { entries }));
    }
    solo
}

fn beats() {
    println!(
        "beat at a daemon, each entry once (an entry itself has {} B)",
        entry(7).encoded_len()
    );
    println!("  {:>7} {:>12} {:>12}", "entries", "us each", "B each");
    for count in [100, 775, 6200] {
        let mut solo = routed(count);
        let bytes = beat(count).encode_to_vec();
        let size = frame_bytes(Body::Refresh(beat(count))) as f64 / count as f64;
        let cost = micros(count, || {
            solo.now += 500;
            let beat = Refresh::decode(bytes.as_slice()).expect("a beat");
            solo.receive(Body::Refresh(beat));
        });
        println!("  {count:7} {cost:12.3} {size:12.2}");
    }
}

/// Beats that a host makes for its links.
fn beat_production() {
    println!("beats made by a host with 155 groups");
    println!("  {:>7} {:>16}", "links", "us for each link");
    for links in [10, 75, 200] {
        let mut solo = Solo::new(true, links);
        let mut sequence = 10;
        announce_all(&mut solo, 1240, sequence);
        let cost = micros(links, || {
            solo.now += 500;
            sequence += 1;
            announce_all(&mut solo, 1240, sequence);
            solo.apply(Event::Tick { draw: 7 });
        });
        let without = micros(links, || {
            solo.now += 1;
            sequence += 1;
            announce_all(&mut solo, 1240, sequence);
            solo.apply(Event::Tick { draw: 7 });
        });
        println!("  {links:7} {:16.2}", cost - without);
    }
}

fn group_body(number: usize) -> String {
    format!(
        r#"{{"labels":{{"app":"assist-{}"}},"model":"m-{number}","members":8,"replicas":10,"selector":"pool=assist,zone in (a,b,c)"}}"#,
        number % 20
    )
}

fn change_entry(index: u64, number: usize) -> LogEntry {
    let change = Change {
        operation: format!("{:016x}-{number}", 0x9e37_79b9_7f4a_7c15u64.wrapping_mul(index)),
        kind: Kind::ServingGroup as u32,
        name: format!("group-{number}"),
        expected: None,
        body: Some(group_body(number)),
    };
    let command = Command::new(CommandBody::Change(change)).encode_to_vec();
    LogEntry { term: 3, index, command, voters: Vec::new() }
}

fn changes() {
    let entry = change_entry(70_000, 17);
    let feed = FetchReply {
        log: "configuration".to_owned(),
        entries: vec![entry],
        applied: 70_000,
        up_to_date: true,
        state_machine: None,
    };
    let empty = FetchReply { entries: Vec::new(), ..feed.clone() };
    println!(
        "change of the configuration: {} B to a daemon that follows; {} B for an answer without one",
        frame_bytes(Body::FetchReply(feed)),
        frame_bytes(Body::FetchReply(empty))
    );
    println!("  {:>7} {:>14} {:>18}", "objects", "us a change", "snapshot B each");
    for count in [100, 1000, 10_000] {
        let mut machine = StateMachine::default();
        let mut index = 0;
        let mut apply = |machine: &mut StateMachine, number: usize| {
            index += 1;
            let entry = change_entry(index, number);
            let command = Command::decode(entry.command.as_slice()).expect("a command");
            machine.apply(index, command);
        };
        for number in 0..count {
            apply(&mut machine, number);
        }
        let mut view = View::default();
        view.update(&machine.configuration);
        let cost = micros(1, || {
            apply(&mut machine, count / 2);
            view.update(&machine.configuration);
        });
        let snapshot = machine.encode().len() as f64 / count as f64;
        println!("  {count:7} {cost:14.1} {snapshot:18.1}");
    }
}

fn links() {
    let ping = Body::Ping(Ping { revision: 70_000, ready: true });
    println!("ping on a link: {} B, four a second each way", frame_bytes(ping));
    println!("  {:>7} {:>20}", "links", "us a tick, all links");
    for links in [2, 75, 200] {
        let mut solo = Solo::new(false, links);
        let cost = micros(20, || {
            for _ in 0..20 {
                solo.now += 50;
                solo.apply(Event::Tick { draw: 7 });
            }
        });
        println!("  {links:7} {cost:20.2}");
    }
}

/// A host that leads and has formed this many groups, all of which serve.
fn placed(groups: usize) -> Solo {
    let mut solo = Solo::new(true, 1);
    let body = format!(r#"{{"model":"assist-1","members":8,"replicas":{groups}}}"#);
    solo.change(Kind::ServingGroup, "assist", body);
    let mut said: Vec<Announcement> = (0..groups * 8)
        .map(|number| Announcement {
            group: String::new(),
            generation: 0,
            members: 0,
            phase: Phase::Free as i32,
            ..announcement(number, 1)
        })
        .collect();
    for sequence in 2..24 {
        for announcement in &mut said {
            announcement.sequence = sequence;
            let heard = AgedAnnouncement { announcement: Some(announcement.clone()), age_ms: 10 };
            solo.receive(Body::Announcements(Announcements { announcements: vec![heard] }));
        }
        solo.run(250);
        for order in std::mem::take(&mut solo.orders) {
            obey(&mut said, &order);
        }
    }
    let serving =
        solo.state.routes().routes().filter(|(_, route)| {
            route.standing(Instant::from_millis(solo.now)) == Standing::Accepting
        });
    assert_eq!(serving.count(), groups);
    solo
}

/// Takes an order at once.
fn obey(said: &mut [Announcement], order: &Order) {
    let Some(announcement) = said.iter_mut().find(|said| said.vm == order.vm) else { return };
    announcement.group.clone_from(&order.group);
    announcement.generation = order.generation;
    announcement.rank = order.rank;
    announcement.members = order.members.len() as u32;
    announcement.phase = Phase::Ready as i32;
}

fn placement() {
    println!("one look of the placement leader at its zone");
    println!("  {:>7} {:>14}", "groups", "us a look");
    for groups in [20, 155, 775] {
        let mut solo = placed(groups);
        let cost = micros(1, || {
            solo.now += 200;
            solo.apply(Event::Tick { draw: 7 });
        });
        println!("  {groups:7} {cost:14.1}");
    }
}

fn requests() {
    println!("one request in the reducer, from arrival to its end");
    println!("  {:>7} {:>14}", "routes", "us a request");
    for count in [100, 775, 6200] {
        let mut solo = routed(count);
        solo.change(
            Kind::ServingGroup,
            "assist",
            r#"{"model":"m","members":8,"replicas":0}"#.to_owned(),
        );
        solo.change(Kind::Service, "assist", r#"{"groups":""}"#.to_owned());
        let key = format!(r#"{{"key-sha256":"{}"}}"#, "0".repeat(64));
        solo.change(Kind::Workspace, "w", key);
        let mut id = 0;
        let cost = micros(200, || {
            for _ in 0..200 {
                id += 1;
                solo.apply(Event::RequestArrived(Box::new(request(id))));
                let body = Vec::new();
                let end =
                    End::Answered { status: 200, content_type: String::new(), body, tokens: 200 };
                solo.apply(Event::AttemptEnded { request: id, end });
            }
        });
        println!("  {count:7} {cost:14.2}");
    }
}

fn claims() {
    println!("claims in one log");
    println!("  {:>8} {:>12} {:>18}", "claims", "us each", "snapshot B each");
    for count in [1000, 10_000, 100_000] {
        let mut machine = StateMachine::default();
        for number in 0..count {
            machine.apply(1, Command::new(CommandBody::Claim(claim(number))));
        }
        let mut next = count;
        let cost = micros(1000, || {
            for _ in 0..1000 {
                next += 1;
                machine.apply(1, Command::new(CommandBody::Claim(claim(next))));
            }
        });
        let snapshot = machine.encode().len() as f64 / (count + ROUNDS * 1000) as f64;
        println!("  {count:8} {cost:12.2} {snapshot:18.1}");
    }
}

fn claim(number: usize) -> Claim {
    Claim {
        workspace: "captains".to_owned(),
        key: format!("tent-desk\u{1}booking-{number:016x}"),
        digest: number as u64,
        request: format!("gulf-a-1.1a23daab773.{number:x}"),
        permission_ms: 30_000,
    }
}

fn line(number: usize) -> UsageLine {
    UsageLine {
        request: format!("gulf-a-1.1a23daab773.{number:x}"),
        workspace: "captains".to_owned(),
        service: "iftar-assist".to_owned(),
        received: 1_796_330_859,
        sends: 1,
        tokens: 203,
        run: 0,
        told: "served".to_owned(),
        vm: "gulf-a-rack-007-vm-00231".to_owned(),
        repeats: String::new(),
    }
}

fn bill(batch: usize, count: usize) -> UsageBatch {
    UsageBatch {
        daemon: "gulf-a-1.1a23daab773".to_owned(),
        number: batch as u64,
        lines: (0..count).map(|number| line(batch * count + number)).collect(),
    }
}

fn lines() {
    println!("usage lines");
    println!("  {:>9} {:>10} {:>12}", "in batch", "B each", "us each");
    for count in [10, 100, 1000] {
        let size = Command::new(CommandBody::UsageBatch(bill(1, count))).encoded_len() as f64
            / count as f64;
        let mut machine = StateMachine::default();
        let mut batch = 0;
        let cost = micros(count * 20, || {
            for _ in 0..20 {
                batch += 1;
                machine.apply(1, Command::new(CommandBody::UsageBatch(bill(batch, count))));
            }
        });
        println!("  {count:9} {size:10.1} {cost:12.2}");
    }
}

/// Memory of each kind of state, by the growth of the process while all of it is kept.
fn memory() {
    println!("memory: growth of the process in KB for each item, everything kept");
    println!("  {:24} {:>9} {:>9} {:>9}", "", "1x", "2x", "4x");
    grow("endpoint at a host", 1550, |count| {
        let mut solo = Solo::new(true, 1);
        announce_all(&mut solo, count, 1);
        solo
    });
    grow("route at a daemon", 1550, routed);
    grow("object", 2500, |count| {
        let mut machine = StateMachine::default();
        for number in 0..count {
            let entry = change_entry(number as u64 + 1, number);
            let command = Command::decode(entry.command.as_slice()).expect("a command");
            machine.apply(entry.index, command);
        }
        let mut view = View::default();
        view.update(&machine.configuration);
        (machine, view)
    });
    grow("claim", 25_000, |count| {
        let mut machine = StateMachine::default();
        for number in 0..count {
            machine.apply(1, Command::new(CommandBody::Claim(claim(number))));
        }
        machine
    });
    grow("usage line", 25_000, |count| {
        let mut machine = StateMachine::default();
        for batch in 0..count / 500 {
            machine.apply(1, Command::new(CommandBody::UsageBatch(bill(batch, 500))));
        }
        machine
    });
    grow("link", 200, |count| Solo::new(false, count));
}

/// Builds an item list of one, two and four times a size and prints the growth for each item.
fn grow<Kept>(name: &str, size: usize, build: impl Fn(usize) -> Kept) {
    let mut kept = Vec::new();
    let mut columns = String::new();
    for times in [1, 2, 4] {
        let before = resident_kb();
        kept.push(build(size * times));
        let each = (resident_kb() - before) / (size * times) as f64;
        columns += &format!(" {each:9.2}");
    }
    println!("  {name:24}{columns}");
    std::mem::forget(kept);
}
