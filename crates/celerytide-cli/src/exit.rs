//! Exit codes of the commands.

/// Exit code of a command, from best to worst; the worst of several results decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Exit {
    /// The command worked and found nothing to report.
    Fine,
    /// The command worked and found something that needs attention.
    Findings,
    /// The command line is wrong, or the command couldn't read or write a file.
    Usage,
    /// A daemon gave no usable response.
    Unreachable,
}

impl Exit {
    /// The process's exit code.
    pub fn code(self) -> u8 {
        match self {
            Exit::Fine => 0,
            Exit::Findings => 1,
            Exit::Usage => 2,
            Exit::Unreachable => 3,
        }
    }
}
