//! Temporary directory that is removed when it is dropped.

use std::{
    fs, io,
    path::{Path, PathBuf},
    process,
    sync::atomic::{AtomicU32, Ordering},
};

/// Number of the next directory of this process.
static NEXT_ID: AtomicU32 = AtomicU32::new(0);

/// Directory for settings and logs; removed with its contents on drop.
#[derive(Debug)]
pub struct TempDir {
    path: PathBuf,
}

impl TempDir {
    /// Creates an empty directory in the system's temporary directory.
    pub fn create() -> io::Result<Self> {
        let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("celerytide-{}-{number}", process::id()));
        fs::create_dir(&path)?;
        Ok(Self { path })
    }

    /// Path of the directory.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Writes a file into the directory and returns its path.
    pub fn write(&self, name: &str, text: &str) -> io::Result<PathBuf> {
        let path = self.path.join(name);
        fs::write(&path, text)?;
        Ok(path)
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        // There is no way to handle a directory that can't be removed.
        let _ = fs::remove_dir_all(&self.path);
    }
}
