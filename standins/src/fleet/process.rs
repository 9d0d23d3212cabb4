//! One process, ended when it is dropped.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::Value;

const START_TIMEOUT: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(5);

/// The programs that a fleet runs.
#[derive(Clone, Debug)]
pub struct Binaries {
    /// The product.
    pub gateway: PathBuf,
    /// The stand-ins.
    pub standins: PathBuf,
}

impl Binaries {
    /// Finds both programs beside the running one, or beside its directory.
    ///
    /// # Panics
    ///
    /// Panics if they were not built.
    pub fn find() -> Self {
        let here = std::env::current_exe().expect("the running program has a path");
        let mut dirs = here.ancestors().skip(1).take(2);
        let has_both =
            |d: &&Path| d.join("coltsfootgw").exists() && d.join("coltsfootgw-standins").exists();
        let dir = dirs
            .find(has_both)
            .expect("coltsfootgw and coltsfootgw-standins are built");
        Self {
            gateway: dir.join("coltsfootgw"),
            standins: dir.join("coltsfootgw-standins"),
        }
    }
}

/// A child process with its log.
pub struct Process {
    child: Child,
    /// The file with what it printed.
    pub log: PathBuf,
}

impl Process {
    /// Starts a program; what it prints goes to `dir/name.log`.
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

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits for a JSON line that contains a text.
    ///
    /// # Panics
    ///
    /// Panics if the line does not come.
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
            compio::time::sleep(POLL).await;
        }
    }

    /// What the process printed so far.
    pub fn read_log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Stops the process where it stands.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets a frozen process go on.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Asks the process to shut down.
    pub fn terminate(&self) {
        terminate(self.id());
    }

    /// Tells the process that its settings have changed.
    pub fn hang_up(&self) {
        self.signal(Signal::SIGHUP);
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for the end of the process and returns its exit code.
    pub async fn wait(&mut self, timeout: Duration) -> Option<i32> {
        let end = Instant::now() + timeout;
        while Instant::now() < end {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            compio::time::sleep(POLL).await;
        }
        None
    }

    fn signal(&self, signal: Signal) {
        send(self.id(), signal);
    }
}

/// Asks a process that this one started to shut down.
pub fn terminate(id: u32) {
    send(id, Signal::SIGTERM);
}

fn send(id: u32, signal: Signal) {
    let id = i32::try_from(id).expect("process ids fit");
    let _ = kill(Pid::from_raw(id), signal);
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Runs a program to its end and returns what it printed.
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
