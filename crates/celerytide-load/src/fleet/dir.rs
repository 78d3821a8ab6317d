//! A folder that goes when its owner does.

use std::{
    fs, io,
    path::{Path, PathBuf},
    process,
    sync::atomic::{AtomicU32, Ordering},
};

/// Numbers the folders of this process.
static NEXT: AtomicU32 = AtomicU32::new(0);

/// A folder for settings and logs; removed when dropped.
#[derive(Debug)]
pub struct TempDir {
    path: PathBuf,
}

impl TempDir {
    /// Makes an empty folder among the system's temporary ones.
    pub fn create() -> io::Result<Self> {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("celerytide-{}-{number}", process::id()));
        fs::create_dir(&path)?;
        Ok(Self { path })
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Writes a file into it.
    pub fn write(&self, name: &str, text: &str) -> io::Result<PathBuf> {
        let path = self.path.join(name);
        fs::write(&path, text)?;
        Ok(path)
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        // Nothing can be done about a folder that cannot be removed.
        let _ = fs::remove_dir_all(&self.path);
    }
}
