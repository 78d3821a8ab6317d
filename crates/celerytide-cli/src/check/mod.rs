//! `celerytide check`.

use std::fs::File;
use std::io::{self, Read, Write};

use celerytide_manifest::{
    DOCUMENT_MAX_BYTES, DocumentKind, Fault, check_dispatch_settings, check_entry_settings, check_manifest, guess_kind,
};
use celerytide_types::{Digest, Version, data};

use crate::args::Check;
use crate::{Exit, show};

data! {
    /// What the check of one file found.
    struct FileReport {
        file: String,
        kind: Option<String>,
        /// Only of a manifest without faults.
        manifest: Option<ManifestReport>,
        faults: Vec<Fault>,
        /// Why the file could not be checked.
        error: Option<String>,
    }

    /// A manifest without faults.
    struct ManifestReport {
        version: Version,
        digest: Digest,
    }
}

/// Checks each file and prints what is wrong with it.
pub(crate) fn run(cmd: &Check, out: &mut impl Write, err: &mut impl Write) -> io::Result<Exit> {
    let reports: Vec<FileReport> = cmd.files.iter().map(|file| report(file, cmd.kind)).collect();
    if cmd.json {
        show::json(&reports, out)?;
    } else {
        for report in &reports {
            print(report, out, err)?;
        }
    }
    let exits = reports.iter().map(exit_of);
    Ok(exits.max().unwrap_or(Exit::Fine))
}

fn exit_of(report: &FileReport) -> Exit {
    match (&report.error, report.faults.is_empty()) {
        (Some(_), _) => Exit::Usage,
        (None, false) => Exit::Findings,
        (None, true) => Exit::Fine,
    }
}

fn print(report: &FileReport, out: &mut impl Write, err: &mut impl Write) -> io::Result<()> {
    let file = &report.file;
    if let Some(error) = &report.error {
        return writeln!(err, "{file}: {error}");
    }
    for fault in &report.faults {
        writeln!(out, "{fault}")?;
    }
    let kind = report.kind.as_deref().unwrap_or_default();
    match (&report.manifest, report.faults.len()) {
        (Some(manifest), _) => writeln!(out, "{file}: fine; manifest {}, {}", manifest.version, manifest.digest),
        (None, 0) => writeln!(out, "{file}: fine; {kind} settings"),
        (None, 1) => writeln!(out, "{file}: 1 fault; read as {kind}"),
        (None, count) => writeln!(out, "{file}: {count} faults; read as {kind}"),
    }
}

fn report(file: &str, kind: Option<DocumentKind>) -> FileReport {
    let mut report = FileReport {
        file: file.to_owned(),
        kind: kind.map(|kind| kind.as_str().to_owned()),
        manifest: None,
        faults: Vec::new(),
        error: None,
    };
    let text = match read(file) {
        Ok(text) => text,
        Err(error) => {
            report.error = Some(error.to_string());
            return report;
        }
    };
    let Some(kind) = kind.or_else(|| guess_kind(&text)) else {
        report.error = Some("no field of a manifest or of settings; give --kind".to_owned());
        return report;
    };
    report.kind = Some(kind.as_str().to_owned());
    match check(file, &text, kind) {
        Ok(manifest) => report.manifest = manifest,
        Err(faults) => report.faults = faults,
    }
    report
}

fn check(file: &str, text: &str, kind: DocumentKind) -> Result<Option<ManifestReport>, Vec<Fault>> {
    match kind {
        DocumentKind::Manifest => check_manifest(file, text).map(|checked| {
            Some(ManifestReport {
                version: checked.manifest.version,
                digest: checked.digest,
            })
        }),
        DocumentKind::Entry => check_entry_settings(file, text).map(|_| None),
        DocumentKind::Dispatch => check_dispatch_settings(file, text).map(|_| None),
    }
}

/// Reads a file, but no more than shows that it is too long.
fn read(file: &str) -> io::Result<String> {
    let most = u64::try_from(DOCUMENT_MAX_BYTES).unwrap_or(u64::MAX).saturating_add(1);
    let mut bytes = Vec::new();
    File::open(file)?.take(most).read_to_end(&mut bytes)?;
    // A character may be cut at the bound; the document is refused for its length then.
    match String::from_utf8(bytes) {
        Ok(text) => Ok(text),
        Err(error) if error.as_bytes().len() > DOCUMENT_MAX_BYTES => {
            Ok(String::from_utf8_lossy(error.as_bytes()).into_owned())
        }
        Err(_) => Err(io::Error::new(io::ErrorKind::InvalidData, "the file is not UTF-8 text")),
    }
}
