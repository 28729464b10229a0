//! Measurements behind `docs/MEASURED.md` and `docs/CAPACITY.md`.
//!
//! `cargo run --release --example measure -- WHAT`, where `WHAT` is one of
//!
//! - `path`: latency and throughput of one daemon,
//! - `idle`: processor time and memory of daemons without requests,
//! - `slopes`: how the cost of each kind of control work grows with the number of items,
//! - `documents`: bytes and processor time of a change of the document on the users' platform,
//! - `decisions`: policies compared with simpler ones, on a simulated clock.

mod decisions;
mod documents;
mod idle;
mod path;
mod simulated;
mod slopes;

use std::process::ExitCode;

use dotterelhoist_testkit::role;

fn main() -> ExitCode {
    if let Some(code) = role::run_from_arguments(std::env::args_os()) {
        return code;
    }
    let measurement = std::env::args().nth(1).unwrap_or_default();
    match measurement.as_str() {
        "path" => smol::block_on(path::measure()),
        "idle" => smol::block_on(idle::measure()),
        "decisions" => decisions::measure(),
        "slopes" => slopes::measure(),
        "documents" => documents::measure(),
        _ => {
            println!("expected one argument: `path`, `idle`, `slopes`, `documents` or `decisions`");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
