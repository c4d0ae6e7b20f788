//! A folder in the system's temporary directory that is removed when its handle is dropped.

use std::path::{Path, PathBuf};

/// A temporary folder. Dropping it removes the folder with its content.
pub struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    /// Creates the folder.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be created.
    pub fn create(name: &str) -> std::io::Result<TemporaryFolder> {
        let folder = TemporaryFolder(std::env::temp_dir().join(name));
        std::fs::create_dir_all(&folder.0)?;
        Ok(folder)
    }

    /// The path of the folder.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
