//! Processor time and memory of daemon processes that get no requests, by the number of VMs.

use std::time::Duration;

use dotterelhoist_testkit::deployment::Deployment;
use dotterelhoist_testkit::role;
use dotterelhoist_testkit::scenario::{Scenario, Size};
use smol::Timer;

/// Time over which processor time is measured.
const MEASURED_TIME: Duration = Duration::from_secs(8);
/// Clock ticks per second, the unit of the processor times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Prints the mean processor time and memory of two kinds of daemon: hosts, which have a disk and
/// keep replicas of the logs, and diskless ones.
pub async fn measure() {
    println!(
        "daemon processes without requests: 3 zones, each with one host and one diskless daemon"
    );
    println!(
        "{:>5} {:>14} {:>14} {:>12} {:>12}",
        "VMs", "host, % core", "diskless, %", "host, MB", "diskless, MB"
    );
    for vms in [4, 16, 64] {
        let size = Size {
            zones: 3,
            disk_daemons: 1,
            diskless_daemons: 1,
            group_members: 2,
            vms_per_zone: vms,
        };
        let zones = ["zone-a", "zone-b", "zone-c"];
        let plan = Deployment::plan(&zones, 1, 1, role::command_line("daemon"));
        let scenario = Scenario::spawn(plan, size, |_| {}).await;
        let before: Vec<f64> = scenario.deployment.daemons.iter().map(cpu_seconds).collect();
        Timer::after(MEASURED_TIME).await;
        // Means over the three hosts, at index 0, and the three diskless daemons, at index 1.
        let mut cpu_percent = [0.0; 2];
        let mut memory_mb = [0.0; 2];
        for (daemon, before) in scenario.deployment.daemons.iter().zip(before) {
            let kind = usize::from(!daemon.has_disk);
            cpu_percent[kind] +=
                (cpu_seconds(daemon) - before) / MEASURED_TIME.as_secs_f64() * 100.0 / 3.0;
            memory_mb[kind] += resident_mb(daemon) / 3.0;
        }
        println!(
            "{:5} {:14.2} {:14.2} {:12.1} {:12.1}",
            vms * 3,
            cpu_percent[0],
            cpu_percent[1],
            memory_mb[0],
            memory_mb[1]
        );
    }
}

/// Contents of a file in `/proc` of a daemon's process, empty if it cannot be read.
fn proc_file(daemon: &dotterelhoist_testkit::deployment::Daemon, name: &str) -> String {
    let id = daemon.process.as_ref().map_or(0, |process| process.id());
    std::fs::read_to_string(format!("/proc/{id}/{name}")).unwrap_or_default()
}

/// Processor time that a daemon has used so far, in user and kernel mode.
fn cpu_seconds(daemon: &dotterelhoist_testkit::deployment::Daemon) -> f64 {
    let stat = proc_file(daemon, "stat");
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    // Indexes count from the field after the command name: `utime` is 11 and `stime` 12.
    let ticks = |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

/// Resident memory of a daemon in MiB, with pages of 4 KiB.
fn resident_mb(daemon: &dotterelhoist_testkit::deployment::Daemon) -> f64 {
    let statm = proc_file(daemon, "statm");
    let pages: f64 = statm.split_whitespace().nth(1).and_then(|p| p.parse().ok()).unwrap_or(0.0);
    pages * 4.0 / 1024.0
}
