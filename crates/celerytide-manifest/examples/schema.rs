//! Writes the JSON Schemas of all document kinds into the folder given as argument.

use std::path::Path;
use std::process::ExitCode;

use celerytide_manifest::DocumentKind;

fn main() -> ExitCode {
    let Some(folder) = std::env::args().nth(1) else {
        eprintln!("usage: schema FOLDER");
        return ExitCode::from(2);
    };
    for kind in DocumentKind::ALL {
        let path = Path::new(&folder).join(format!("{}.schema.json", kind.as_str()));
        if let Err(error) = std::fs::write(&path, kind.schema_text()) {
            eprintln!("{}: {error}", path.display());
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
