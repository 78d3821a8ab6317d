//! The `celerytide check` command: checks manifests, sections and settings, and prints their faults.

use std::fs::File;
use std::io::{self, Read, Write};
use std::path::Path;
use std::rc::Rc;

use celerytide_edge::settings;
use celerytide_manifest::{
    DOCUMENT_MAX_BYTES, DocumentKind, Fault, Section, SectionFault, check_dispatch_settings, check_entry_settings,
    check_manifest, check_section, detect_kind, hash_key, join_sections,
};
use celerytide_types::{Digest, Version, data};

use crate::args::{Check, Kind};
use crate::{Exit, output};

/// Folder next to a manifest that holds its sections (lists of customers), each in a file named by its digest.
pub(crate) const SECTIONS_FOLDER: &str = "customers";

data! {
    /// Result of the check of one file.
    struct FileReport {
        file: String,
        kind: Option<String>,
        /// Set for a manifest without faults.
        manifest: Option<ManifestReport>,
        /// Set for a section without faults.
        section: Option<SectionReport>,
        faults: Vec<Fault>,
        /// Why the file could not be checked.
        error: Option<String>,
    }

    /// Version and digest of a manifest without faults.
    struct ManifestReport {
        version: Version,
        digest: Digest,
    }

    /// Digest and size of a section without faults.
    struct SectionReport {
        digest: Digest,
        customers: usize,
    }
}

/// Checks each file and prints its faults.
pub(crate) fn run(cmd: &Check, out: &mut impl Write, err: &mut impl Write) -> io::Result<Exit> {
    let reports: Vec<FileReport> = cmd.files.iter().map(|file| check_file(file, cmd.kind)).collect();
    if cmd.json {
        output::print_json(&reports, out)?;
    } else {
        for report in &reports {
            print(report, out, err)?;
        }
    }
    let exits = reports.iter().map(exit_for);
    Ok(exits.max().unwrap_or(Exit::Fine))
}

fn exit_for(report: &FileReport) -> Exit {
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
    if let Some(section) = &report.section {
        return writeln!(
            out,
            "{file}: fine; section of {} customers, {}",
            section.customers, section.digest
        );
    }
    match (&report.manifest, report.faults.len()) {
        (Some(manifest), _) => writeln!(out, "{file}: fine; manifest {}, {}", manifest.version, manifest.digest),
        (None, 0) => writeln!(out, "{file}: fine; {kind} settings"),
        (None, 1) => writeln!(out, "{file}: 1 fault; read as {kind}"),
        (None, count) => writeln!(out, "{file}: {count} faults; read as {kind}"),
    }
}

fn check_file(file: &str, kind: Option<Kind>) -> FileReport {
    let mut report = FileReport {
        file: file.to_owned(),
        kind: kind.map(|kind| kind.as_str().to_owned()),
        manifest: None,
        section: None,
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
    let Some(kind) = kind.or_else(|| detect(&text)) else {
        report.error = Some("no field of a manifest or of settings; give --kind".to_owned());
        return report;
    };
    report.kind = Some(kind.as_str().to_owned());
    if let Err(err) = check_document(file, &text, kind, &mut report) {
        match err {
            CheckError::Faults(faults) => report.faults = faults,
            CheckError::Unreadable(error) => report.error = Some(error),
        }
    }
    report
}

/// Why a document didn't pass.
enum CheckError {
    Faults(Vec<Fault>),
    /// A section file of the manifest can't be read.
    Unreadable(String),
}

fn detect(text: &str) -> Option<Kind> {
    if settings::is_router_settings(text) {
        return Some(Kind::Router);
    }
    detect_kind(text).map(Kind::Document)
}

fn check_document(file: &str, text: &str, kind: Kind, report: &mut FileReport) -> Result<(), CheckError> {
    let kind = match kind {
        Kind::Document(kind) => kind,
        Kind::Router => return check_router(file, text),
    };
    match kind {
        DocumentKind::Manifest => report.manifest = Some(check_with_sections(file, text)?),
        DocumentKind::Section => report.section = Some(check_single_section(file, text)?),
        DocumentKind::Entry => drop(check_entry_settings(file, text).map_err(CheckError::Faults)?),
        DocumentKind::Dispatch => drop(check_dispatch_settings(file, text).map_err(CheckError::Faults)?),
    }
    Ok(())
}

/// Checks the settings of a router; reports the first fault only.
fn check_router(file: &str, text: &str) -> Result<(), CheckError> {
    let Err(error) = settings::parse(text) else {
        return Ok(());
    };
    let fault = match error {
        settings::Error::Shape {
            line,
            column,
            field,
            reason,
        } => Fault {
            file: file.to_owned(),
            line,
            column,
            field,
            message: reason,
            allowed: "the fields of docs/SETTINGS.md".to_owned(),
        },
        settings::Error::Range { field, reason } => Fault {
            file: file.to_owned(),
            line: line_of(text, field),
            column: 1,
            field: field.to_owned(),
            message: reason.to_owned(),
            allowed: "what docs/SETTINGS.md says".to_owned(),
        },
        settings::Error::Release { name, source } => Fault {
            file: file.to_owned(),
            line: line_of(text, "release"),
            column: 1,
            field: "release".to_owned(),
            message: format!("{name} {source}"),
            allowed: "block/ID or request/ID".to_owned(),
        },
    };
    Err(CheckError::Faults(vec![fault]))
}

/// Line of a field, from 1; 1 if the field isn't found.
fn line_of(text: &str, field: &str) -> usize {
    let name = field.rsplit('.').next().unwrap_or(field);
    let is_field = |line: &str| line.trim_start().split(':').next() == Some(name);
    text.lines().position(is_field).map_or(1, |position| position + 1)
}

/// Checks a manifest together with its section files.
fn check_with_sections(file: &str, text: &str) -> Result<ManifestReport, CheckError> {
    let checked = check_manifest(file, text).map_err(CheckError::Faults)?;
    let mut sections = Vec::new();
    for digest in &checked.manifest.customer_sections {
        sections.push(Rc::new(check_section_file(file, digest)?));
    }
    let checked = join_sections(checked, sections).map_err(CheckError::Faults)?;
    Ok(ManifestReport {
        version: checked.manifest.version,
        digest: checked.digest,
    })
}

fn check_section_file(manifest: &str, digest: &str) -> Result<Section, CheckError> {
    let folder = Path::new(manifest).parent().unwrap_or(Path::new(""));
    let path = folder.join(SECTIONS_FOLDER).join(digest).display().to_string();
    let text = read(&path).map_err(|error| CheckError::Unreadable(format!("its section {path}: {error}")))?;
    check_section(&path, digest, &text).map_err(|fault| CheckError::Faults(section_faults(&path, digest, fault)))
}

/// Checks a section by itself; the expected digest is the hash of the text, so that it always matches.
fn check_single_section(file: &str, text: &str) -> Result<SectionReport, CheckError> {
    let digest = hash_key(text);
    let section = check_section(file, &digest, text);
    let section = section.map_err(|fault| CheckError::Faults(section_faults(file, &digest, fault)))?;
    Ok(SectionReport {
        customers: section.customers.len(),
        digest,
    })
}

fn section_faults(file: &str, digest: &str, fault: SectionFault) -> Vec<Fault> {
    match fault {
        SectionFault::Invalid { faults } => faults,
        SectionFault::OtherDigest { found } => vec![Fault {
            file: file.to_owned(),
            line: 1,
            column: 1,
            field: String::new(),
            message: format!("the text's digest is {found}"),
            allowed: digest.to_owned(),
        }],
    }
}

/// Reads a file up to one byte over the size limit, which is enough to report that it is too long.
fn read(file: &str) -> io::Result<String> {
    let read_limit = u64::try_from(DOCUMENT_MAX_BYTES).unwrap_or(u64::MAX).saturating_add(1);
    let mut bytes = Vec::new();
    File::open(file)?.take(read_limit).read_to_end(&mut bytes)?;
    // The limit may cut a character; the document is then refused for its length.
    match String::from_utf8(bytes) {
        Ok(text) => Ok(text),
        Err(error) if error.as_bytes().len() > DOCUMENT_MAX_BYTES => {
            Ok(String::from_utf8_lossy(error.as_bytes()).into_owned())
        }
        Err(_) => Err(io::Error::new(io::ErrorKind::InvalidData, "the file is not UTF-8 text")),
    }
}
