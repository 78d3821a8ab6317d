//! Runs the command line.

use celerytide_cli::Exit;

/// What one run printed and how it ended.
pub struct Ran {
    pub out: String,
    pub err: String,
    pub exit: Exit,
}

/// Runs the command line.
pub fn run(args: &[&str]) -> Ran {
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = celerytide_cli::run(args, &mut out, &mut err);
    Ran {
        out: String::from_utf8(out).expect("text"),
        err: String::from_utf8(err).expect("text"),
        exit,
    }
}
