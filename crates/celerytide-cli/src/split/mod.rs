//! The `celerytide split` command: writes a large manifest as a small one and its sections.

use std::fs::{self, File};
use std::io::{self, Read, Write};

use celerytide_manifest::{SPLIT_MAX_BYTES, SplitError, split};

use crate::Exit;
use crate::args::Split;
use crate::check::SECTIONS_FOLDER;

const MANIFEST_FILE: &str = "manifest.yaml";

/// Splits a manifest and writes its parts: the sections first, which must also be published first.
pub(crate) fn run(cmd: &Split, out: &mut impl Write, err: &mut impl Write) -> io::Result<Exit> {
    let text = match read(&cmd.file) {
        Ok(text) => text,
        Err(error) => {
            writeln!(err, "{}: {error}", cmd.file)?;
            return Ok(Exit::Usage);
        }
    };
    let parts = match split(&cmd.file, &text) {
        Ok(parts) => parts,
        Err(error @ SplitError::Invalid { .. }) => {
            writeln!(out, "{error}")?;
            return Ok(Exit::Findings);
        }
        Err(error) => {
            writeln!(err, "{}: {error}", cmd.file)?;
            return Ok(Exit::Usage);
        }
    };
    let folder = cmd.out.join(SECTIONS_FOLDER);
    fs::create_dir_all(&folder)?;
    for section in &parts.sections {
        fs::write(folder.join(&section.digest), &section.text)?;
    }
    let manifest = cmd.out.join(MANIFEST_FILE);
    fs::write(&manifest, &parts.manifest)?;
    let (bytes, sections) = (parts.manifest.len(), parts.sections.len());
    writeln!(out, "{}: {bytes} bytes, {sections} sections", manifest.display())?;
    Ok(Exit::Fine)
}

fn read(file: &str) -> io::Result<String> {
    let read_limit = u64::try_from(SPLIT_MAX_BYTES).unwrap_or(u64::MAX).saturating_add(1);
    let mut text = String::new();
    File::open(file)?.take(read_limit).read_to_string(&mut text)?;
    Ok(text)
}
