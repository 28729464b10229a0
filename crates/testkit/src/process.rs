//! Child processes of tests and examples. Each is killed when its handle is dropped.

use std::ffi::OsString;
use std::fs::File;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use crate::ports::lock_descriptors;

/// A child process. Dropping it kills it and waits for its end.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program. `program` holds its path and first arguments, and `arguments` those that
    /// follow. Standard error is appended to the file `log`, standard output discarded.
    ///
    /// # Errors
    ///
    /// Returns an error if the log file cannot be opened or the program cannot be started.
    pub fn spawn(
        program: &[OsString],
        arguments: &[OsString],
        log: &Path,
    ) -> std::io::Result<Process> {
        let log = File::options().create(true).append(true).open(log)?;
        let _no_port_is_checked = lock_descriptors();
        let child = Command::new(&program[0])
            .args(&program[1..])
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        Ok(Process { child })
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends the signal with this name, such as `TERM` or `STOP`, with the `kill` program.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        Command::new("kill").args([&format!("-{name}"), &id]).status().ok();
    }

    /// Kills the process with `SIGKILL` and waits for its end.
    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Waits for the end of the process and returns its exit status, none if it still runs after
    /// `timeout`.
    pub fn wait(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let started = Instant::now();
        while started.elapsed() < timeout {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        None
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Highest resident memory of a process so far, in kilobytes; none if it does not run.
///
/// ```
/// use dotterelhoist_testkit::process::peak_memory_kb;
///
/// assert!(peak_memory_kb(std::process::id()).is_some_and(|peak| peak > 0));
/// ```
pub fn peak_memory_kb(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    line.trim().trim_end_matches("kB").trim().parse().ok()
}
