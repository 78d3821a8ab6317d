//! Runs the command line inside the test's process.

use celerytide_cli::Exit;

/// Output and exit code of one run.
pub struct Output {
    pub out: String,
    pub err: String,
    pub exit: Exit,
}

/// Runs the command line and captures its output.
pub fn run_command(args: &[&str]) -> Output {
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = celerytide_cli::run(args, &mut out, &mut err);
    Output {
        out: String::from_utf8(out).expect("text"),
        err: String::from_utf8(err).expect("text"),
        exit,
    }
}
