//! Child processes for tests and the demo: started, watched, signalled and ended by their own pid.

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
use ports::GIVEN;
use snafu::{OptionExt, ResultExt, Snafu};

pub use nix::sys::signal::Signal;
pub use ports::{free_addr, free_port};

/// A stand-in's first line of output, before its address.
pub const READY_PREFIX: &str = "listening on ";
/// Name of the stand-ins' binary.
pub const STANDIN_BINARY: &str = "celerytide-standin";
/// How long a stand-in may take to say where it listens.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a child may take to stand still.
const PAUSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two looks at a child that is to end.
const EXIT_LOOK: Duration = Duration::from_millis(5);

/// Why a process could not be started or reached.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The binary is not beside the current one.
    #[snafu(display("no binary {}; build it first", path.display()))]
    NoBinary {
        /// Where it was looked for.
        path: PathBuf,
    },
    /// The system did not start it.
    #[snafu(display("start {}: {source}", program.display()))]
    Spawn {
        /// The binary.
        program: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// It ended, or was not ready in time.
    #[snafu(display("{}: not ready", program.display()))]
    NotReady {
        /// The binary.
        program: PathBuf,
    },
    /// The signal could not be sent.
    #[snafu(display("signal {pid}: {source}"))]
    Signal {
        /// The child.
        pid: u32,
        /// What the system said.
        source: nix::Error,
    },
    /// No free port or no place of the current binary.
    #[snafu(display("{source}"))]
    System {
        /// What the system said.
        source: io::Error,
    },
}

/// What to start.
#[derive(Debug, Clone)]
pub struct Options {
    /// The binary.
    pub program: PathBuf,
    /// Its arguments.
    pub args: Vec<String>,
    /// Text before the address in the line that says that it is ready; `None`: ready at once.
    pub ready_prefix: Option<&'static str>,
    /// File that takes its standard error, and its output if it prints no address; `None`: inherited.
    pub log: Option<PathBuf>,
    /// Give it a process group of its own, out of the reach of the terminal's signals.
    pub own_group: bool,
}

impl Options {
    /// A stand-in from beside the current binary, on a free loopback port.
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
    /// Starts a child and waits for its address if it is to print one.
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
            let _ports = GIVEN.lock().unwrap_or_else(PoisonError::into_inner);
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

    /// Where the child said that it listens; the unspecified address if it was not to say.
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

    /// Asks the child to stop.
    pub fn term(&self) -> Result<(), Error> {
        self.signal(Signal::SIGTERM)
    }

    /// Pauses the child; returns once it stands still.
    pub fn pause(&self) -> Result<(), Error> {
        self.signal(Signal::SIGSTOP)?;
        let until = Instant::now() + PAUSE_TIMEOUT;
        while !self.is_paused() && Instant::now() < until {
            thread::sleep(EXIT_LOOK);
        }
        Ok(())
    }

    /// Whether the child is paused by a signal.
    pub fn is_paused(&self) -> bool {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.pid())).unwrap_or_default();
        // The state follows the name, which stands in parentheses and may hold any character.
        stat.rsplit_once(") ").is_some_and(|(_, rest)| rest.starts_with('T'))
    }

    /// Wakes a paused child.
    pub fn resume(&self) -> Result<(), Error> {
        self.signal(Signal::SIGCONT)
    }

    /// Ends the child at once and waits until it is gone.
    pub fn kill(&mut self) {
        // Fails only if the child is gone already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether the child still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for the child's end; `None` if it still runs after `bound`.
    pub fn wait(&mut self, bound: Duration) -> Option<ExitStatus> {
        let until = Instant::now() + bound;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            if Instant::now() >= until {
                return None;
            }
            thread::sleep(EXIT_LOOK);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Sends standard error, and standard output if nobody reads it, to a file.
fn log_to(command: &mut Command, path: &Path, with_output: bool) -> io::Result<()> {
    let file = File::create(path)?;
    if with_output {
        command.stdout(file.try_clone()?);
    }
    command.stderr(file);
    Ok(())
}

/// Reads the child's output to its end, so that the child never blocks on it; passes on the address it prints.
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

/// The binary `name` of the same build as the current one; tests lie one folder deeper.
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
