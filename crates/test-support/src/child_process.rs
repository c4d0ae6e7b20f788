//! A child process that is killed together with its value.

use std::process::{Child, Command};

/// A running child process. Dropping it kills the process and waits for its end.
pub struct ChildProcess(Child);

impl ChildProcess {
    /// Starts the process that the command describes.
    ///
    /// # Errors
    ///
    /// Fails if the system cannot start the program.
    pub fn spawn(command: &mut Command) -> std::io::Result<ChildProcess> {
        Ok(ChildProcess(command.spawn()?))
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.0.id()
    }

    /// Sends a signal, named without its `SIG` prefix. Returns whether the process still existed.
    ///
    /// # Errors
    ///
    /// Fails if the `kill` program cannot be run.
    pub fn signal(&self, name: &str) -> std::io::Result<bool> {
        let status = Command::new("kill").arg(format!("-{name}")).arg(self.id().to_string()).status()?;
        Ok(status.success())
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}
