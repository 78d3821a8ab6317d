//! The manifest and settings formats, with checks that name file, line and field.

#![forbid(unsafe_code)]
#![deny(missing_docs)]
