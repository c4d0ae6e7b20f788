//! A gateway's process between fixed files, which tasks start, stop and start again. [`Gateway`](crate::Gateway) is the one
//! of tests that read the log as it is written.

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

/// How often a starting gateway is tried.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The files of a gateway.
#[derive(Clone, Debug)]
pub struct GatewayFiles {
    /// Its configuration.
    pub config: PathBuf,
    /// The operator's file, where there is one.
    pub operator: Option<PathBuf>,
    /// Its log, to which each process appends.
    pub log: PathBuf,
}

/// A gateway that runs or does not. Dropping it kills its process.
pub struct GatewayProcess {
    /// Where clients connect.
    pub listen: SocketAddr,
    program: PathBuf,
    files: GatewayFiles,
    child: RefCell<Option<ChildProcess>>,
    _port: ReservedPort,
}

impl GatewayProcess {
    /// A gateway that is not started yet, with a free port of this address for its clients.
    pub fn new(program: PathBuf, ip: Ipv4Addr, files: GatewayFiles) -> GatewayProcess {
        let port = ReservedPort::at(ip);
        let listen = port.address().parse().expect("an address");
        GatewayProcess { listen, program, files, child: RefCell::default(), _port: port }
    }

    /// Starts a process, with these variables in its environment. The files have to be there.
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

    /// Waits until it answers a client's startup message; false if it does not within the limit.
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

    /// The id of its process, if there is one.
    pub fn process_id(&self) -> Option<u32> {
        self.child.borrow().as_ref().map(ChildProcess::id)
    }

    /// Whether its process runs.
    pub fn is_running(&self) -> bool {
        self.child.borrow_mut().as_mut().is_some_and(ChildProcess::is_running)
    }

    /// Sends a signal, named without its `SIG` prefix, to its process if there is one.
    pub fn signal(&self, name: &str) {
        if let Some(child) = self.child.borrow().as_ref() {
            let _ = child.signal(name);
        }
    }

    /// Kills its process if there is one, and waits for its end. Returns whether there was one.
    pub fn kill(&self) -> bool {
        self.child.borrow_mut().take().is_some()
    }

    /// What it has logged; empty if it has no log.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.files.log).unwrap_or_default()
    }
}
