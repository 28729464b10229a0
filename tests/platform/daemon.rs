//! Processes of daemons, with their settings files and addresses.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};

use rustix::process::{kill_process, prlimit, Pid, Resource, Rlimit, Signal};

/// Ports, the same on each daemon's IP address. They lie below the system's ephemeral ports, so
/// that no outgoing connection occupies one before its daemon listens on it.
pub const PORTS: Ports =
    Ports { control: 20_001, links: 20_002, callers: 20_003, readiness: 20_004, relays: 20_005 };
/// Environment variable with the path of the program of [`Build::Other`].
const OTHER_BUILD: &str = "DOTTERELHOIST_OTHER_BUILD";
/// Addresses that [`unique_ips`] takes from one subnet.
const ADDRESSES_PER_SUBNET: u64 = 250;

/// Subnets from which [`unique_ips`] takes addresses.
const SUBNETS: u64 = 5;

/// Build of the daemons that a test runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Build {
    /// The one under test.
    Present,
    /// The one at the path in [`OTHER_BUILD`], such as the build before; without it, the one under test.
    Other,
}

impl Build {
    fn program(self) -> PathBuf {
        let other = std::env::var_os(OTHER_BUILD).filter(|_| self == Build::Other);
        other.map_or_else(|| env!("CARGO_BIN_EXE_dotterelhoistd").into(), PathBuf::from)
    }
}

/// Ports on which a daemon listens.
#[derive(Clone, Copy)]
pub struct Ports {
    /// Of a control daemon, for endpoints and operators.
    pub control: u16,
    /// For links from other daemons.
    pub links: u16,
    /// Of an entry daemon, for callers.
    pub callers: u16,
    /// Of an entry daemon, for readiness checks.
    pub readiness: u16,
    /// Of an entry daemon, for relayed requests.
    pub relays: u16,
}

/// What the settings file of a daemon says.
#[derive(Clone, Debug)]
pub struct Settings<'a> {
    pub ip: &'a str,
    /// Whether it is a control daemon.
    pub control: bool,
    /// Addresses of control daemons.
    pub seeds: &'a [SocketAddr],
    /// Whether the deployment is started for the first time.
    pub bootstrap: bool,
}

/// Writes the settings file of a daemon to `folder`, which also holds its data and its log, and
/// starts it.
pub fn spawn(build: Build, folder: &Path, settings: &Settings<'_>) -> Child {
    write_settings(folder, settings);
    let ip = settings.ip;
    let log = std::fs::File::options().create(true).append(true).open(log_path(folder, ip));
    let log = log.expect("the temporary folder is writable");
    Command::new(build.program())
        .arg("platform")
        .env("DOTTERELHOIST_NODE_FILE", settings_path(folder, ip))
        .stdout(Stdio::from(log))
        .spawn()
        .expect("the daemon was built")
}

/// Like [`spawn`], for a daemon whose disk may become full ([`set_full`]), or is from the start. Its log is written
/// by this process, so that it is complete.
pub fn spawn_on_disk(build: Build, folder: &Path, settings: &Settings<'_>, full: bool) -> Child {
    write_settings(folder, settings);
    let limit = if full { "ulimit -S -f 0; " } else { "" };
    let mut child = Command::new("sh")
        .arg("-c")
        .arg(format!(r#"trap "" XFSZ; {limit}exec "$0" platform"#))
        .arg(build.program())
        .env("DOTTERELHOIST_NODE_FILE", settings_path(folder, settings.ip))
        .stdout(Stdio::piped())
        .spawn()
        .expect("the daemon was built");
    let path = log_path(folder, settings.ip);
    let log = std::fs::File::options().create(true).append(true).open(path);
    let mut log = log.expect("the temporary folder is writable");
    let mut output = child.stdout.take().expect("it is piped");
    std::thread::spawn(move || std::io::copy(&mut output, &mut log));
    child
}

/// Makes the disk of a daemon refuse all writes, or accept them again.
pub fn set_full(daemon: &Child, full: bool) {
    let current = if full { Some(0) } else { None };
    let pid = i32::try_from(daemon.id()).ok().and_then(Pid::from_raw);
    let limit = Rlimit { current, maximum: None };
    prlimit(pid, Resource::Fsize, limit).expect("the daemon runs");
}

/// Writes the settings file of a daemon, which may be running, to `folder`.
pub fn write_settings(folder: &Path, settings: &Settings<'_>) {
    let Settings { ip, control, bootstrap, .. } = settings;
    let Ports { control: control_port, links, callers, readiness, relays } = PORTS;
    let seeds: Vec<String> = settings.seeds.iter().map(ToString::to_string).collect();
    let listen = match control {
        true => {
            let data = data_folder(folder, ip);
            format!("listen.control={ip}:{control_port}\ndata_dir={}\n", data.display())
        }
        false => format!("listen.front={ip}:{callers}\nlisten.ready={ip}:{readiness}\n"),
    };
    let text = format!(
        "ip={ip}\nzone=z\ninternal_ports={links},{relays}\nseeds={}\nbootstrap={bootstrap}\n\
         heartbeat_interval_ms=200\nbounds.stall_ms=500\nfault_tolerance.machines=1\n{listen}",
        seeds.join(",")
    );
    std::fs::write(settings_path(folder, ip), text).expect("the temporary folder is writable");
}

/// Sends a signal to a daemon.
pub fn signal(daemon: &Child, signal: Signal) {
    let pid = i32::try_from(daemon.id()).ok().and_then(Pid::from_raw);
    kill_process(pid.expect("a valid process id"), signal).expect("the daemon runs");
}

/// Kills a daemon, unless it was killed before.
pub fn kill(daemon: &mut Option<Child>) {
    if let Some(mut child) = daemon.take() {
        child.kill().expect("the daemon runs");
        child.wait().expect("the daemon was killed");
    }
}

/// Prints the logs of daemons, if a test has failed.
pub fn print_logs<'a, Ips>(folder: &Path, ips: Ips)
where
    Ips: IntoIterator<Item = &'a String>,
{
    if std::thread::panicking() {
        for ip in ips {
            println!("log of the daemon at {ip}:\n{}", read_log(folder, ip));
        }
    }
}

/// What the daemon with this address has logged so far.
pub fn read_log(folder: &Path, ip: &str) -> String {
    std::fs::read_to_string(log_path(folder, ip)).unwrap_or_default()
}

/// Data folder of the control daemon with this address.
pub fn data_folder(folder: &Path, ip: &str) -> PathBuf {
    folder.join(ip)
}

/// Settings file of the daemon with this address.
fn settings_path(folder: &Path, ip: &str) -> PathBuf {
    folder.join(format!("{ip}.conf"))
}

/// File to which the daemon with this address writes its log.
fn log_path(folder: &Path, ip: &str) -> PathBuf {
    folder.join(format!("{ip}.log"))
}

pub fn address(ip: &str, port: u16) -> SocketAddr {
    format!("{ip}:{port}").parse().expect("a valid address")
}

/// Returns loopback addresses that no other test uses. They depend on the process id and on a
/// counter, so that tests that run at once have different ones.
pub fn unique_ips(count: u64) -> Vec<String> {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let first = NEXT.fetch_add(count, Ordering::Relaxed);
    let process = u64::from(std::process::id());
    let ip = |number: u64| {
        let subnet = number / ADDRESSES_PER_SUBNET;
        assert!(subnet < SUBNETS, "no addresses are left for {count} daemons");
        let highs = 250 / SUBNETS;
        let (high, low) = (process / 250 % highs + 1 + highs * subnet, process % 250 + 1);
        format!("127.{high}.{low}.{}", number % ADDRESSES_PER_SUBNET + 1)
    };
    (first..first + count).map(ip).collect()
}
