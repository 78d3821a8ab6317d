//! A fault of a document, with its position and what is allowed instead.

use std::fmt;

use celerytide_types::data;

data! {
    /// One fault of a document: its position, what is wrong, what is allowed.
    #[derive(Eq)]
    pub struct Fault {
        /// File name as passed to the check.
        pub file: String,
        /// Line, from 1.
        pub line: usize,
        /// Column in characters, from 1.
        pub column: usize,
        /// Path of the field, for example `services[1].endpoints[0].slots`; empty for the document itself.
        pub field: String,
        /// What is wrong.
        pub message: String,
        /// What is allowed instead.
        pub allowed: String,
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}: ", self.file, self.line, self.column)?;
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        write!(f, "{} (allowed: {})", self.message, self.allowed)
    }
}
