//! A gateway process with fixed files that asynchronous tasks start, stop and restart. Blocking tests that
//! follow the log use [`Gateway`](crate::Gateway).

use crate::child_process::ChildProcess;
use crate::connection::Connection;
use crate::network::ReservedPort;
use std::cell::RefCell;
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Interval of startup attempts against a starting gateway.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Paths of the files that a gateway reads and writes.
#[derive(Clone, Debug)]
pub struct GatewayFiles {
    /// The configuration.
    pub config: PathBuf,
    /// The operator's file, if any.
    pub operator: Option<PathBuf>,
    /// The log; each process appends to it.
    pub log: PathBuf,
}

/// A gateway whose process may or may not be running. Dropping it kills the process.
pub struct GatewayProcess {
    /// The address on which it listens for clients.
    pub listen: SocketAddr,
    program: PathBuf,
    files: GatewayFiles,
    child: RefCell<Option<ChildProcess>>,
    _port: ReservedPort,
}

impl GatewayProcess {
    /// Reserves a port at an address for a gateway, without starting it.
    pub fn new(program: PathBuf, ip: Ipv4Addr, files: GatewayFiles) -> GatewayProcess {
        let port = ReservedPort::at(ip);
        let listen = port.address().parse().expect("valid socket address");
        GatewayProcess { listen, program, files, child: RefCell::default(), _port: port }
    }

    /// Starts a process with additional environment variables. The files other than the log must exist.
    ///
    /// # Errors
    ///
    /// Fails if the log cannot be opened or the program cannot be started.
    pub fn start(&self, environment: &[(&str, &str)]) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.files.log)?;
        let mut command = Command::new(&self.program);
        for overriding in ["GW_LISTEN", "GW_DISCOVERY", "GW_NAME", "PETRELGAUGE_FILE"] {
            command.env_remove(overriding);
        }
        if let Some(operator) = &self.files.operator {
            command.env("PETRELGAUGE_FILE", operator);
        }
        command.env("GW_CONFIG", &self.files.config).envs(environment.iter().copied());
        let child = ChildProcess::spawn(command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log))?;
        *self.child.borrow_mut() = Some(child);
        Ok(())
    }

    /// Waits until the gateway answers a startup message; false if the limit passes first.
    pub async fn is_ready(&self, limit: Duration) -> bool {
        let answered = async {
            while !self.answers_startup().await {
                sleep(READY_POLL_INTERVAL).await;
            }
        };
        timeout(limit, answered).await.is_ok()
    }

    async fn answers_startup(&self) -> bool {
        let Ok(mut connection) = Connection::open(self.listen).await else { return false };
        connection.read_until_ready().await.is_ok()
    }

    /// The process id, if a process was started.
    pub fn process_id(&self) -> Option<u32> {
        self.child.borrow().as_ref().map(ChildProcess::id)
    }

    /// Whether the process runs.
    pub fn is_running(&self) -> bool {
        self.child.borrow_mut().as_mut().is_some_and(ChildProcess::is_running)
    }

    /// Sends a signal, named without its `SIG` prefix, to the process if one was started.
    pub fn signal(&self, name: &str) {
        if let Some(child) = self.child.borrow().as_ref() {
            let _ = child.signal(name);
        }
    }

    /// Kills the process if one was started, and waits until it exits. Returns whether there was one.
    pub fn kill(&self) -> bool {
        self.child.borrow_mut().take().is_some()
    }

    /// The content of the log; empty if it cannot be read.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.files.log).unwrap_or_default()
    }
}
