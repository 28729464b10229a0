//! Control work of whole daemons without any requests, by the number of VMs.

use std::time::Duration;

use dotterelhoist_testkit::deployment::Deployment;
use dotterelhoist_testkit::role;
use dotterelhoist_testkit::scenario::{Scenario, Size};
use smol::Timer;

/// Time for which the daemons are watched.
const WATCH: Duration = Duration::from_secs(8);
/// Ticks of the processor clock in a second, as `/proc` counts them.
const TICKS: f64 = 100.0;

/// Prints processor time and memory of two kinds of daemon: hosts with a disk, and diskless ones.
pub async fn measure() {
    println!("whole daemons without requests: 3 zones, each with one host and one diskless daemon");
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
        let before: Vec<f64> = scenario.deployment.daemons.iter().map(cpu).collect();
        Timer::after(WATCH).await;
        let mut used = [0.0; 2];
        let mut memory = [0.0; 2];
        for (daemon, before) in scenario.deployment.daemons.iter().zip(before) {
            let kind = usize::from(!daemon.has_disk);
            used[kind] += (cpu(daemon) - before) / WATCH.as_secs_f64() * 100.0 / 3.0;
            memory[kind] += resident_mb(daemon) / 3.0;
        }
        println!(
            "{:5} {:14.2} {:14.2} {:12.1} {:12.1}",
            vms * 3,
            used[0],
            used[1],
            memory[0],
            memory[1]
        );
    }
}

fn proc_file(daemon: &dotterelhoist_testkit::deployment::Daemon, name: &str) -> String {
    let id = daemon.process.as_ref().map_or(0, |process| process.id());
    std::fs::read_to_string(format!("/proc/{id}/{name}")).unwrap_or_default()
}

fn cpu(daemon: &dotterelhoist_testkit::deployment::Daemon) -> f64 {
    let stat = proc_file(daemon, "stat");
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / TICKS
}

fn resident_mb(daemon: &dotterelhoist_testkit::deployment::Daemon) -> f64 {
    let statm = proc_file(daemon, "statm");
    let pages: f64 = statm.split_whitespace().nth(1).and_then(|p| p.parse().ok()).unwrap_or(0.0);
    pages * 4.0 / 1024.0
}
