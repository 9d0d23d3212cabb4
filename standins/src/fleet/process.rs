//! Child processes, killed when they are dropped.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::Value;

/// A process listens, and a daemon is ready, within this time after its start.
pub(crate) const START_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The programs that a fleet runs.
#[derive(Clone, Debug)]
pub struct Binaries {
    /// Path of the product.
    pub product: PathBuf,
    /// Path of the stand-ins.
    pub standins: PathBuf,
}

impl Binaries {
    /// Finds both programs in the directory of the running one, or in its parent.
    ///
    /// # Panics
    ///
    /// Panics if they were not built.
    pub fn find() -> Self {
        let current = std::env::current_exe().expect("the running program has a path");
        let mut dirs = current.ancestors().skip(1).take(2);
        let has_both =
            |d: &&Path| d.join("coltsfootgw").exists() && d.join("coltsfootgw-standins").exists();
        let dir = dirs
            .find(has_both)
            .expect("coltsfootgw and coltsfootgw-standins are built");
        Self {
            product: dir.join("coltsfootgw"),
            standins: dir.join("coltsfootgw-standins"),
        }
    }
}

/// A child process with its log.
pub struct Process {
    child: Child,
    /// File with its output.
    pub log: PathBuf,
}

impl Process {
    /// Starts a program with its output in `dir/name.log`.
    ///
    /// # Panics
    ///
    /// Panics if it can't be started.
    pub fn start(program: &Path, arguments: &[&str], dir: &Path, name: &str) -> Self {
        let log = dir.join(format!("{name}.log"));
        let file = File::create(&log).expect("a log can be created");
        let copy = file.try_clone().expect("a log can be shared");
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(file)
            .stderr(copy)
            .spawn()
            .expect("the program can be started");
        Self { child, log }
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits for an output line that contains a text and returns it as JSON, or
    /// null if it is not JSON.
    ///
    /// # Panics
    ///
    /// Panics if the line does not appear within 20 s.
    pub async fn wait_for_line(&self, text: &str) -> Value {
        let end = Instant::now() + START_TIMEOUT;
        loop {
            let printed = self.read_log();
            let complete = printed.rsplit_once('\n').map_or("", |(lines, _)| lines);
            if let Some(line) = complete.lines().find(|l| l.contains(text)) {
                return serde_json::from_str(line).unwrap_or(Value::Null);
            }
            assert!(
                Instant::now() < end,
                "no line with `{text}` in {}:\n{printed}",
                self.log.display()
            );
            compio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the output of the process so far.
    pub fn read_log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Suspends the process (SIGSTOP).
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes a frozen process (SIGCONT).
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Signals the process to shut down (SIGTERM).
    pub fn terminate(&self) {
        terminate(self.id());
    }

    /// Signals the process to reload its settings (SIGHUP).
    pub fn hang_up(&self) {
        self.signal(Signal::SIGHUP);
    }

    /// Kills the process (SIGKILL) and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns whether the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for the end of the process and returns its exit code, or `None` if it
    /// ended by a signal or still runs after the timeout.
    pub async fn wait(&mut self, timeout: Duration) -> Option<i32> {
        let end = Instant::now() + timeout;
        while Instant::now() < end {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
        None
    }

    fn signal(&self, signal: Signal) {
        send(self.id(), signal);
    }
}

/// Signals a child process to shut down (SIGTERM).
pub fn terminate(id: u32) {
    send(id, Signal::SIGTERM);
}

fn send(id: u32, signal: Signal) {
    let id = i32::try_from(id).expect("the process id fits an i32");
    let _ = kill(Pid::from_raw(id), signal);
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Runs a program to its end and returns its standard output followed by its
/// standard error, or the reason why it could not be run.
pub(crate) async fn output(program: &Path, arguments: &[&str]) -> String {
    let mut command = Command::new(program);
    command.args(arguments).stdin(Stdio::null());
    let run = compio::runtime::spawn_blocking(move || command.output());
    match run.await {
        Ok(Ok(output)) => {
            let (printed, errors) = (
                String::from_utf8_lossy(&output.stdout),
                String::from_utf8_lossy(&output.stderr),
            );
            format!("{printed}{errors}")
        }
        Ok(Err(e)) => e.to_string(),
        Err(_) => "the program could not be run".to_owned(),
    }
}

/// Reads an address that a process prints.
pub(crate) fn address_of(value: &Value) -> SocketAddr {
    value
        .as_str()
        .and_then(|s| s.parse().ok())
        .expect("the process prints its address")
}
