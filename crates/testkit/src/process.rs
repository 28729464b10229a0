//! Child processes of tests and examples, ended by their id when dropped.

use std::ffi::OsString;
use std::fs::File;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// A child process.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program, with standard error appended to a file.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub fn spawn(
        program: &[OsString],
        arguments: &[OsString],
        log: &Path,
    ) -> std::io::Result<Process> {
        let log = File::options().create(true).append(true).open(log)?;
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

    /// Sends a signal by name, like `TERM` or `STOP`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        Command::new("kill").args([&format!("-{name}"), &id]).status().ok();
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Waits for the end of the process, up to a limit.
    pub fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let began = Instant::now();
        while began.elapsed() < limit {
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
