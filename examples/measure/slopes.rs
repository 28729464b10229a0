//! Processor time, bytes and memory of each kind of control work at several numbers of items, which
//! shows how the cost grows with their number.

use std::time::Instant as WallClock;

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

use crate::simulated::{request, route_entry, Daemon};

/// Number of repetitions of each measurement; their median is printed.
const REPETITIONS: usize = 9;
/// Number of bytes of the length field in front of each frame.
const FRAME_HEADER_BYTES: usize = 4;

/// Prints all measurements.
pub fn measure() {
    measure_memory();
    measure_announcements();
    measure_refreshes();
    measure_refresh_creation();
    measure_changes();
    measure_links();
    measure_placement();
    measure_requests();
    measure_claims();
    measure_usage_lines();
}

fn median(mut samples: Vec<f64>) -> f64 {
    samples.sort_by(f64::total_cmp);
    samples[samples.len() / 2]
}

/// Median of the microseconds that a call of `work` takes, divided by the `count` items that it
/// handles.
pub(crate) fn micros_per_item(count: usize, mut work: impl FnMut()) -> f64 {
    let mut samples = Vec::new();
    for _ in 0..REPETITIONS {
        let started = WallClock::now();
        work();
        samples.push(started.elapsed().as_secs_f64() * 1e6 / count as f64);
    }
    median(samples)
}

/// Resident memory of this process in KiB, with pages of 4 KiB.
fn resident_kb() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = statm.split_whitespace().nth(1).and_then(|p| p.parse().ok()).unwrap_or(0.0);
    pages * 4.0
}

/// Size of a message on a link, including its frame.
fn frame_bytes(body: Body) -> usize {
    let frame = Frame { sent: 4_000_000_000, echo: 4_000_000_000, body: Some(body) };
    frame.encoded_len() + FRAME_HEADER_BYTES
}

/// An announcement of the endpoint with this number, a ready member of a group of 8.
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

/// Delivers one announcement from each of `count` endpoints, each in a message of its own.
fn announce_all(daemon: &mut Daemon, count: usize, sequence: u64) {
    for number in 0..count {
        let aged =
            AgedAnnouncement { announcement: Some(announcement(number, sequence)), age_ms: 120 };
        let list = Announcements { announcements: vec![aged] };
        daemon.receive(Body::Announcements(list));
    }
}

/// Cost of an announcement at a host, by the number of endpoints.
fn measure_announcements() {
    let aged =
        AgedAnnouncement { announcement: Some(announcement(1, 1_796_330_859_491)), age_ms: 120 };
    let bytes = frame_bytes(Body::Announcements(Announcements { announcements: vec![aged] }));
    println!("announcement received by a host: {bytes} B in a frame of its own");
    println!("  {:>9} {:>12}", "endpoints", "us each");
    for count in [200, 1240, 6200] {
        let mut daemon = Daemon::new(true, 1);
        announce_all(&mut daemon, count, 1);
        let frames: Vec<Vec<u8>> = (0..count)
            .map(|number| {
                let aged =
                    AgedAnnouncement { announcement: Some(announcement(number, 9)), age_ms: 120 };
                Announcements { announcements: vec![aged] }.encode_to_vec()
            })
            .collect();
        let cost = micros_per_item(count, || {
            for bytes in &frames {
                let list = Announcements::decode(bytes.as_slice()).expect("a list");
                daemon.receive(Body::Announcements(list));
            }
        });
        println!("  {count:9} {cost:12.2}");
    }
}

/// A refresh, which updates ages and loads only, of the first `count` routes. Their handles are
/// consecutive numbers from 1, so each is delta-encoded as 1.
fn refresh(count: usize) -> Refresh {
    Refresh {
        handles: (0..count).map(|_| 1).collect(),
        ages: (0..count).map(|number| 15 + number as u32 % 30).collect(),
        loads: (0..count).map(|number| number as u32 % 64).collect(),
    }
}

/// A diskless daemon that has received this many routes.
fn daemon_with_routes(count: usize) -> Daemon {
    let mut daemon = Daemon::new(false, 1);
    for start in (0..count).step_by(256) {
        let entries = (start..count.min(start + 256)).map(route_entry).collect();
        daemon.receive(Body::RouteEntries(RouteEntries { entries }));
    }
    daemon
}

/// Cost of a refresh at a daemon, by the number of its entries.
fn measure_refreshes() {
    println!(
        "refresh received by a daemon, per entry (a whole route entry has {} B)",
        route_entry(7).encoded_len()
    );
    println!("  {:>7} {:>12} {:>12}", "entries", "us each", "B each");
    for count in [100, 775, 6200] {
        let mut daemon = daemon_with_routes(count);
        let bytes = refresh(count).encode_to_vec();
        let size = frame_bytes(Body::Refresh(refresh(count))) as f64 / count as f64;
        let cost = micros_per_item(count, || {
            daemon.now_ms += 500;
            let refresh = Refresh::decode(bytes.as_slice()).expect("a refresh");
            daemon.receive(Body::Refresh(refresh));
        });
        println!("  {count:7} {cost:12.3} {size:12.2}");
    }
}

/// Cost of creating the refreshes that a host sends on its links: the time of a tick that creates
/// them minus that of a tick that does not.
fn measure_refresh_creation() {
    println!("refreshes created by a host with 155 groups");
    println!("  {:>7} {:>16}", "links", "us for each link");
    for links in [10, 75, 200] {
        let mut daemon = Daemon::new(true, links);
        let mut sequence = 10;
        announce_all(&mut daemon, 1240, sequence);
        let with_refreshes = micros_per_item(links, || {
            daemon.now_ms += 500;
            sequence += 1;
            announce_all(&mut daemon, 1240, sequence);
            daemon.apply(Event::Tick { random: 7 });
        });
        let without_refreshes = micros_per_item(links, || {
            daemon.now_ms += 1;
            sequence += 1;
            announce_all(&mut daemon, 1240, sequence);
            daemon.apply(Event::Tick { random: 7 });
        });
        println!("  {links:7} {:16.2}", with_refreshes - without_refreshes);
    }
}

/// Body of the serving group object with this number.
fn group_body(number: usize) -> String {
    format!(
        r#"{{"labels":{{"app":"assist-{}"}},"model":"m-{number}","members":8,"replicas":10,"selector":"pool=assist,zone in (a,b,c)"}}"#,
        number % 20
    )
}

/// Log entry with a change of the serving group object with this number.
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

/// Cost of a configuration change, by the number of objects.
fn measure_changes() {
    let entry = change_entry(70_000, 17);
    let with_change = FetchReply {
        log: "configuration".to_owned(),
        entries: vec![entry],
        applied: 70_000,
        up_to_date: true,
        state_machine: None,
    };
    let without_change = FetchReply { entries: Vec::new(), ..with_change.clone() };
    println!(
        "configuration change: {} B in the fetch reply to a daemon; {} B for a reply without one",
        frame_bytes(Body::FetchReply(with_change)),
        frame_bytes(Body::FetchReply(without_change))
    );
    println!("  {:>7} {:>14} {:>18}", "objects", "us a change", "snapshot B each");
    for count in [100, 1000, 10_000] {
        let mut state_machine = StateMachine::default();
        let mut index = 0;
        let mut apply = |state_machine: &mut StateMachine, number: usize| {
            index += 1;
            let entry = change_entry(index, number);
            let command = Command::decode(entry.command.as_slice()).expect("a command");
            state_machine.apply(index, command);
        };
        for number in 0..count {
            apply(&mut state_machine, number);
        }
        let mut view = View::default();
        view.update(&state_machine.configuration);
        let cost = micros_per_item(1, || {
            apply(&mut state_machine, count / 2);
            view.update(&state_machine.configuration);
        });
        let snapshot = state_machine.encode().len() as f64 / count as f64;
        println!("  {count:7} {cost:14.1} {snapshot:18.1}");
    }
}

/// Cost of a tick, by the number of links.
fn measure_links() {
    let ping = Body::Ping(Ping { revision: 70_000, ready: true, finishing: false });
    println!("ping on a link: {} B, four per second in each direction", frame_bytes(ping));
    println!("  {:>7} {:>20}", "links", "us a tick, all links");
    for links in [2, 75, 200] {
        let mut daemon = Daemon::new(false, links);
        let cost = micros_per_item(20, || {
            for _ in 0..20 {
                daemon.now_ms += 50;
                daemon.apply(Event::Tick { random: 7 });
            }
        });
        println!("  {links:7} {cost:20.2}");
    }
}

/// A host that leads the placement log and has formed this many groups, all of which serve.
fn host_with_groups(groups: usize) -> Daemon {
    let mut daemon = Daemon::new(true, 1);
    let body = format!(r#"{{"model":"assist-1","members":8,"replicas":{groups}}}"#);
    daemon.change(Kind::ServingGroup, "assist", body);
    let mut announcements: Vec<Announcement> = (0..groups * 8)
        .map(|number| Announcement {
            group: String::new(),
            generation: 0,
            members: 0,
            phase: Phase::Free as i32,
            ..announcement(number, 1)
        })
        .collect();
    for sequence in 2..24 {
        for announcement in &mut announcements {
            announcement.sequence = sequence;
            let aged = AgedAnnouncement { announcement: Some(announcement.clone()), age_ms: 10 };
            daemon.receive(Body::Announcements(Announcements { announcements: vec![aged] }));
        }
        daemon.advance(250);
        for order in std::mem::take(&mut daemon.orders) {
            apply_order(&mut announcements, &order);
        }
    }
    let serving = daemon.state.routes().routes().filter(|(_, route)| {
        route.standing(Instant::from_millis(daemon.now_ms)) == Standing::Accepting
    });
    assert_eq!(serving.count(), groups);
    daemon
}

/// Applies an order to the announcement of its VM, as an engine does that loads its model in no
/// time.
fn apply_order(announcements: &mut [Announcement], order: &Order) {
    let Some(announcement) = announcements.iter_mut().find(|known| known.vm == order.vm) else {
        return;
    };
    announcement.group.clone_from(&order.group);
    announcement.generation = order.generation;
    announcement.rank = order.rank;
    announcement.members = order.members.len() as u32;
    announcement.phase = Phase::Ready as i32;
}

/// Cost of a decision of the placement leader, by the number of groups.
fn measure_placement() {
    println!("one placement decision of the leader for its zone");
    println!("  {:>7} {:>14}", "groups", "us a decision");
    for groups in [20, 155, 775] {
        let mut daemon = host_with_groups(groups);
        let cost = micros_per_item(1, || {
            daemon.now_ms += 200;
            daemon.apply(Event::Tick { random: 7 });
        });
        println!("  {groups:7} {cost:14.1}");
    }
}

/// Cost of a request in the decision code, by the number of routes.
fn measure_requests() {
    println!("one request in the decision code, from its arrival to its end");
    println!("  {:>7} {:>14}", "routes", "us a request");
    for count in [100, 775, 6200] {
        let mut daemon = daemon_with_routes(count);
        daemon.change(
            Kind::ServingGroup,
            "assist",
            r#"{"model":"m","members":8,"replicas":0}"#.to_owned(),
        );
        daemon.change(Kind::Service, "assist", r#"{"groups":""}"#.to_owned());
        let key = format!(r#"{{"key-sha256":"{}"}}"#, "0".repeat(64));
        daemon.change(Kind::Workspace, "w", key);
        let mut id = 0;
        let cost = micros_per_item(200, || {
            for _ in 0..200 {
                id += 1;
                daemon.apply(Event::RequestArrived(Box::new(request(id))));
                let body = Vec::new();
                let end =
                    End::Answered { status: 200, content_type: String::new(), body, tokens: 200 };
                daemon.apply(Event::AttemptEnded { request: id, end });
            }
        });
        println!("  {count:7} {cost:14.2}");
    }
}

/// Cost and size of a claim, by the number of claims in the log.
fn measure_claims() {
    println!("claims in one log");
    println!("  {:>8} {:>12} {:>18}", "claims", "us each", "snapshot B each");
    for count in [1000, 10_000, 100_000] {
        let mut state_machine = StateMachine::default();
        for number in 0..count {
            state_machine.apply(1, Command::new(CommandBody::Claim(claim(number))));
        }
        let mut next = count;
        let cost = micros_per_item(1000, || {
            for _ in 0..1000 {
                next += 1;
                state_machine.apply(1, Command::new(CommandBody::Claim(claim(next))));
            }
        });
        let snapshot = state_machine.encode().len() as f64 / (count + REPETITIONS * 1000) as f64;
        println!("  {count:8} {cost:12.2} {snapshot:18.1}");
    }
}

/// A claim of the booking with this number.
fn claim(number: usize) -> Claim {
    Claim {
        workspace: "captains".to_owned(),
        key: format!("tent-desk\u{1}booking-{number:016x}"),
        digest: number as u64,
        request: format!("gulf-a-1.1a23daab773.{number:x}"),
        permission_ms: 30_000,
    }
}

/// The usage line of the request with this number.
fn usage_line(number: usize) -> UsageLine {
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

/// The batch of `count` usage lines with this number.
fn usage_batch(number: usize, count: usize) -> UsageBatch {
    UsageBatch {
        daemon: "gulf-a-1.1a23daab773".to_owned(),
        number: number as u64,
        lines: (0..count).map(|index| usage_line(number * count + index)).collect(),
    }
}

/// Cost and size of a usage line, by the number of lines in a batch.
fn measure_usage_lines() {
    println!("usage lines");
    println!("  {:>9} {:>10} {:>12}", "in batch", "B each", "us each");
    for count in [10, 100, 1000] {
        let size = Command::new(CommandBody::UsageBatch(usage_batch(1, count))).encoded_len()
            as f64
            / count as f64;
        let mut state_machine = StateMachine::default();
        let mut batch = 0;
        let cost = micros_per_item(count * 20, || {
            for _ in 0..20 {
                batch += 1;
                state_machine
                    .apply(1, Command::new(CommandBody::UsageBatch(usage_batch(batch, count))));
            }
        });
        println!("  {count:9} {size:10.1} {cost:12.2}");
    }
}

/// Memory of each kind of state, measured as the growth of the process; nothing is freed meanwhile,
/// as memory that is used again would not show as growth.
fn measure_memory() {
    println!("memory: growth of the process in KB for each item, everything kept");
    println!("  {:24} {:>9} {:>9} {:>9}", "", "1x", "2x", "4x");
    print_growth("endpoint at a host", 1550, |count| {
        let mut daemon = Daemon::new(true, 1);
        announce_all(&mut daemon, count, 1);
        daemon
    });
    print_growth("route at a daemon", 1550, daemon_with_routes);
    print_growth("object", 2500, |count| {
        let mut state_machine = StateMachine::default();
        for number in 0..count {
            let entry = change_entry(number as u64 + 1, number);
            let command = Command::decode(entry.command.as_slice()).expect("a command");
            state_machine.apply(entry.index, command);
        }
        let mut view = View::default();
        view.update(&state_machine.configuration);
        (state_machine, view)
    });
    print_growth("claim", 25_000, |count| {
        let mut state_machine = StateMachine::default();
        for number in 0..count {
            state_machine.apply(1, Command::new(CommandBody::Claim(claim(number))));
        }
        state_machine
    });
    print_growth("usage line", 25_000, |count| {
        let mut state_machine = StateMachine::default();
        for batch in 0..count / 500 {
            state_machine.apply(1, Command::new(CommandBody::UsageBatch(usage_batch(batch, 500))));
        }
        state_machine
    });
    print_growth("link", 200, |count| Daemon::new(false, count));
}

/// Builds state with one, two and four times `count` items and prints the memory growth for each
/// item.
fn print_growth<State>(name: &str, count: usize, build: impl Fn(usize) -> State) {
    let mut kept = Vec::new();
    let mut columns = String::new();
    for factor in [1, 2, 4] {
        let before = resident_kb();
        kept.push(build(count * factor));
        let kb_per_item = (resident_kb() - before) / (count * factor) as f64;
        columns += &format!(" {kb_per_item:9.2}");
    }
    println!("  {name:24}{columns}");
    std::mem::forget(kept);
}
