//! A folder below the system's temporary folder that is removed together with its value.

use std::path::{Path, PathBuf};

/// A temporary folder. Dropping it removes the folder and everything in it.
pub struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    /// Creates the folder of this name.
    ///
    /// # Errors
    ///
    /// Fails if the system refuses to create it.
    pub fn create(name: &str) -> std::io::Result<TemporaryFolder> {
        let folder = TemporaryFolder(std::env::temp_dir().join(name));
        std::fs::create_dir_all(&folder.0)?;
        Ok(folder)
    }

    /// Where the folder is.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
