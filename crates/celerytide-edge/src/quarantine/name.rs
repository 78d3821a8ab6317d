//! Names of subjects as logs and settings have them: kind and id.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use snafu::{OptionExt, ResultExt, Snafu};

use super::Subject;

const BLOCK: &str = "block";
const REQUEST: &str = "request";

/// A text names no subject.
#[derive(Debug, Snafu)]
pub enum NameError {
    /// There is no separator.
    #[snafu(display("needs the form kind/id"))]
    Form,
    /// The kind is unknown.
    #[snafu(display("has a kind other than block and request"))]
    Kind,
    /// The id isn't hexadecimal.
    #[snafu(display("has an id that isn't hexadecimal"))]
    Id {
        /// The parser's error.
        source: std::num::ParseIntError,
    },
}

impl Subject {
    /// Its kind in logs.
    pub fn kind(self) -> &'static str {
        match self {
            Subject::Block(_) => BLOCK,
            Subject::Request(_) => REQUEST,
        }
    }

    /// Its id in logs.
    pub fn id(self) -> String {
        let (Subject::Block(id) | Subject::Request(id)) = self;
        format!("{id:x}")
    }
}

impl Display for Subject {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind(), self.id())
    }
}

impl FromStr for Subject {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Subject, NameError> {
        let (kind, id) = text.split_once('/').context(FormSnafu)?;
        let id = u64::from_str_radix(id, 16).context(IdSnafu)?;
        match kind {
            BLOCK => Ok(Subject::Block(id)),
            REQUEST => Ok(Subject::Request(id)),
            _ => KindSnafu.fail(),
        }
    }
}
