//! `celerytide check`.

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
use crate::{Exit, show};

/// Folder beside a manifest that holds its sections, each in a file named by its digest.
pub(crate) const SECTIONS_FOLDER: &str = "customers";

data! {
    /// What the check of one file found.
    struct FileReport {
        file: String,
        kind: Option<String>,
        /// Only of a manifest without faults.
        manifest: Option<ManifestReport>,
        /// Only of a section without faults.
        section: Option<SectionReport>,
        faults: Vec<Fault>,
        /// Why the file could not be checked.
        error: Option<String>,
    }

    /// A manifest without faults.
    struct ManifestReport {
        version: Version,
        digest: Digest,
    }

    /// A section without faults.
    struct SectionReport {
        digest: Digest,
        customers: usize,
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

fn report(file: &str, kind: Option<Kind>) -> FileReport {
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
    let Some(kind) = kind.or_else(|| guess(&text)) else {
        report.error = Some("no field of a manifest or of settings; give --kind".to_owned());
        return report;
    };
    report.kind = Some(kind.as_str().to_owned());
    if let Err(stop) = check(file, &text, kind, &mut report) {
        match stop {
            Stop::Faults(faults) => report.faults = faults,
            Stop::Unreadable(error) => report.error = Some(error),
        }
    }
    report
}

/// Why a document is not fine.
enum Stop {
    Faults(Vec<Fault>),
    /// A file beside it can't be read.
    Unreadable(String),
}

fn guess(text: &str) -> Option<Kind> {
    if settings::is_router_settings(text) {
        return Some(Kind::Router);
    }
    detect_kind(text).map(Kind::Document)
}

fn check(file: &str, text: &str, kind: Kind, report: &mut FileReport) -> Result<(), Stop> {
    let kind = match kind {
        Kind::Document(kind) => kind,
        Kind::Router => return router(file, text),
    };
    match kind {
        DocumentKind::Manifest => report.manifest = Some(manifest(file, text)?),
        DocumentKind::Section => report.section = Some(section(file, text)?),
        DocumentKind::Entry => drop(check_entry_settings(file, text).map_err(Stop::Faults)?),
        DocumentKind::Dispatch => drop(check_dispatch_settings(file, text).map_err(Stop::Faults)?),
    }
    Ok(())
}

/// Checks the settings of a router; the first fault is told.
fn router(file: &str, text: &str) -> Result<(), Stop> {
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
    };
    Err(Stop::Faults(vec![fault]))
}

/// The line of a field, from 1.
fn line_of(text: &str, field: &str) -> usize {
    let name = field.rsplit('.').next().unwrap_or(field);
    let stands = |line: &str| line.trim_start().split(':').next() == Some(name);
    text.lines().position(stands).map_or(1, |position| position + 1)
}

/// Checks a manifest together with the section files beside it.
fn manifest(file: &str, text: &str) -> Result<ManifestReport, Stop> {
    let checked = check_manifest(file, text).map_err(Stop::Faults)?;
    let mut sections = Vec::new();
    for digest in &checked.manifest.customer_sections {
        sections.push(Rc::new(section_beside(file, digest)?));
    }
    let checked = join_sections(checked, sections).map_err(Stop::Faults)?;
    Ok(ManifestReport {
        version: checked.manifest.version,
        digest: checked.digest,
    })
}

fn section_beside(manifest: &str, digest: &str) -> Result<Section, Stop> {
    let folder = Path::new(manifest).parent().unwrap_or(Path::new(""));
    let path = folder.join(SECTIONS_FOLDER).join(digest).display().to_string();
    let text = read(&path).map_err(|error| Stop::Unreadable(format!("its section {path}: {error}")))?;
    check_section(&path, digest, &text).map_err(|fault| Stop::Faults(faults_of(&path, digest, fault)))
}

/// Checks a section by itself; its digest is what its text has.
fn section(file: &str, text: &str) -> Result<SectionReport, Stop> {
    let digest = hash_key(text);
    let section = check_section(file, &digest, text);
    let section = section.map_err(|fault| Stop::Faults(faults_of(file, &digest, fault)))?;
    Ok(SectionReport {
        customers: section.customers.len(),
        digest,
    })
}

fn faults_of(file: &str, digest: &str, fault: SectionFault) -> Vec<Fault> {
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
