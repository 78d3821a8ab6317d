//! Child processes for tests and the demo: starts, signals and ends each one by its own pid.

mod ports;

use std::{
    fs::File,
    io::{self, BufRead, BufReader},
    net::{Ipv4Addr, SocketAddr},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, ChildStdout, Command, ExitStatus, Stdio},
    sync::{
        PoisonError,
        mpsc::{self, Receiver},
    },
    thread,
    time::{Duration, Instant},
};

use nix::{sys::signal, unistd::Pid};
use ports::ALLOCATED_PORTS;
use snafu::{OptionExt, ResultExt, Snafu};

pub use nix::sys::signal::Signal;
pub use ports::{free_addr, free_port};

/// Start of a stand-in's first line of output; its address follows.
pub const READY_PREFIX: &str = "listening on ";
/// Name of the binary of the stand-ins.
pub const STANDIN_BINARY: &str = "celerytide-standin";
/// Time that a child may take to print its address.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Time that a child may take to stop after `SIGSTOP`.
const PAUSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two checks of a child's state.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Why a child process could not be started or signalled.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The binary is not in the directory of the current one.
    #[snafu(display("no binary {}; build it first", path.display()))]
    NoBinary {
        /// Path that was checked.
        path: PathBuf,
    },
    /// The child could not be spawned.
    #[snafu(display("start {}: {source}", program.display()))]
    Spawn {
        /// The binary.
        program: PathBuf,
        /// Error from the operating system.
        source: io::Error,
    },
    /// The child ended, or did not print its address in time.
    #[snafu(display("{}: not ready", program.display()))]
    NotReady {
        /// The binary.
        program: PathBuf,
    },
    /// The signal could not be sent to the child.
    #[snafu(display("signal {pid}: {source}"))]
    Signal {
        /// Process id of the child.
        pid: u32,
        /// Error from the operating system.
        source: nix::Error,
    },
    /// No free port, or no path of the current binary.
    #[snafu(display("{source}"))]
    System {
        /// Error from the operating system.
        source: io::Error,
    },
}

/// Options of a child process.
#[derive(Debug, Clone)]
pub struct Options {
    /// Path of the binary.
    pub program: PathBuf,
    /// Arguments of the binary.
    pub args: Vec<String>,
    /// Text before the address in the line of output that reports readiness; `None`: ready at once.
    pub ready_prefix: Option<&'static str>,
    /// File for its standard error, and for its standard output if it prints no address; `None`: inherited.
    pub log: Option<PathBuf>,
    /// Whether it gets its own process group, which the terminal's signals don't reach.
    pub own_group: bool,
}

impl Options {
    /// Options of a stand-in from the directory of the current binary, on a free loopback port.
    pub fn standin(kind: &str, args: &[&str]) -> Result<Self, Error> {
        let mut all = vec![kind.to_owned(), "--listen".to_owned(), "127.0.0.1:0".to_owned()];
        all.extend(args.iter().map(|arg| (*arg).to_owned()));
        let program = sibling_binary(STANDIN_BINARY)?;
        Ok(Self {
            program,
            args: all,
            ready_prefix: Some(READY_PREFIX),
            log: None,
            own_group: false,
        })
    }
}

/// A running child; killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    addr: Option<SocketAddr>,
}

impl Process {
    /// Starts a child; waits for its address if it prints one.
    pub fn start(options: &Options) -> Result<Self, Error> {
        let program = &options.program;
        let mut command = Command::new(program);
        command.args(&options.args).stdin(Stdio::null()).stdout(Stdio::piped());
        if options.own_group {
            command.process_group(0);
        }
        if let Some(path) = &options.log {
            log_to(&mut command, path, options.ready_prefix.is_none()).context(SpawnSnafu { program })?;
        }
        let child = {
            let _ports = ALLOCATED_PORTS.lock().unwrap_or_else(PoisonError::into_inner);
            command.spawn().context(SpawnSnafu { program })?
        };
        let mut process = Self { child, addr: None };
        let Some(stdout) = process.child.stdout.take() else {
            return Ok(process);
        };
        let rx = read_lines(stdout, options.ready_prefix);
        if options.ready_prefix.is_some() {
            let addr = rx.recv_timeout(START_TIMEOUT).ok().context(NotReadySnafu { program })?;
            process.addr = Some(addr);
        }
        Ok(process)
    }

    /// Starts a stand-in on a free loopback port.
    pub fn standin(kind: &str, args: &[&str]) -> Result<Self, Error> {
        Self::start(&Options::standin(kind, args)?)
    }

    /// The address that the child printed; the unspecified address if it prints none.
    pub fn addr(&self) -> SocketAddr {
        self.addr.unwrap_or(SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)))
    }

    /// Process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to this child only.
    pub fn signal(&self, signal: Signal) -> Result<(), Error> {
        let pid = self.child.id();
        signal::kill(Pid::from_raw(pid.cast_signed()), signal).context(SignalSnafu { pid })
    }

    /// Asks the child to stop by `SIGTERM`.
    pub fn term(&self) -> Result<(), Error> {
        self.signal(Signal::SIGTERM)
    }

    /// Pauses the child by `SIGSTOP` and waits until it is stopped.
    pub fn pause(&self) -> Result<(), Error> {
        self.signal(Signal::SIGSTOP)?;
        let until = Instant::now() + PAUSE_TIMEOUT;
        while !self.is_paused() && Instant::now() < until {
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Whether the child is paused by a signal.
    pub fn is_paused(&self) -> bool {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.pid())).unwrap_or_default();
        // The state follows the name, which is in parentheses and may contain any character.
        stat.rsplit_once(") ").is_some_and(|(_, rest)| rest.starts_with('T'))
    }

    /// Resumes a paused child.
    pub fn resume(&self) -> Result<(), Error> {
        self.signal(Signal::SIGCONT)
    }

    /// Kills the child and waits until it has ended.
    pub fn kill(&mut self) {
        // Fails only if the child has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether the child still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for the child to end; `None` if it still runs after `bound`.
    pub fn wait(&mut self, bound: Duration) -> Option<ExitStatus> {
        let until = Instant::now() + bound;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            if Instant::now() >= until {
                return None;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Redirects standard error, and on `with_output` standard output, to a file.
fn log_to(command: &mut Command, path: &Path, with_output: bool) -> io::Result<()> {
    let file = File::create(path)?;
    if with_output {
        command.stdout(file.try_clone()?);
    }
    command.stderr(file);
    Ok(())
}

/// Reads the child's output to its end, so that the child never blocks on writing, and sends the address it prints.
fn read_lines(stdout: ChildStdout, prefix: Option<&'static str>) -> Receiver<SocketAddr> {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        for line in BufReader::new(stdout).lines().map_while(Result::ok) {
            let addr = prefix
                .and_then(|prefix| line.strip_prefix(prefix))
                .and_then(|addr| addr.trim().parse().ok());
            if let Some(addr) = addr {
                let _ = tx.send(addr);
            }
        }
    });
    rx
}

/// Path of the binary `name` of the same build as the current one; test binaries are one directory deeper.
pub fn sibling_binary(name: &str) -> Result<PathBuf, Error> {
    let current = std::env::current_exe().context(SystemSnafu)?;
    let folder = current.parent().unwrap_or(Path::new("."));
    let folder = if folder.ends_with("deps") {
        folder.parent().unwrap_or(folder)
    } else {
        folder
    };
    let path = folder.join(name);
    if path.is_file() {
        Ok(path)
    } else {
        NoBinarySnafu { path }.fail()
    }
}
