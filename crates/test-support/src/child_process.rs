//! A child process that is killed when its handle is dropped.

use std::process::{Child, ChildStderr, Command};

/// A child process. Dropping it kills the process and waits until it exits.
pub struct ChildProcess(Child);

impl ChildProcess {
    /// Spawns the command.
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

    /// Whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.0.try_wait(), Ok(None))
    }

    /// Waits until the process exits. Returns its exit code, or none if a signal terminated it.
    ///
    /// # Errors
    ///
    /// Fails if waiting for the process fails.
    pub fn wait(&mut self) -> std::io::Result<Option<i32>> {
        Ok(self.0.wait()?.code())
    }

    /// Takes the read end of standard error; none unless it is piped.
    pub fn take_stderr(&mut self) -> Option<ChildStderr> {
        self.0.stderr.take()
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
