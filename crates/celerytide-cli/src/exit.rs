//! How a command ends.

/// Exit codes; a worse one wins where several apply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Exit {
    /// All is well.
    Fine,
    /// The command worked and found something that needs attention.
    Findings,
    /// The command line is wrong, or the command itself could not read or write.
    Usage,
    /// A daemon gave no usable answer.
    Unreachable,
}

impl Exit {
    /// The code that the process ends with.
    pub fn code(self) -> u8 {
        match self {
            Exit::Fine => 0,
            Exit::Findings => 1,
            Exit::Usage => 2,
            Exit::Unreachable => 3,
        }
    }
}
