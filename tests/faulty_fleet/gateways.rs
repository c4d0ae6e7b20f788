//! Gateway processes: their configuration, start, signals and end. Each writes its log to a file of its own.

use super::classes;
use super::list::EndpointList;
use super::{Clock, Plan, Time};
use petrelgauge_test_support::{startup, LoopbackNetwork, ReservedPort};
use std::cell::{Cell, RefCell};
use std::fs::File;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Last byte of the address of the first gateway; the others follow.
const FIRST_GATEWAY: u8 = 100;
/// A gateway that was started serves by then.
const READY_WITHIN: Duration = Duration::from_secs(30);
/// SIGKILL follows SIGTERM by the longest deadline, 3 s at least, and this.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// New clients come for so long after SIGTERM.
pub const ACCEPTS_AFTER_TERM: Time = 200_000;

/// Something that was done to a gateway's process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Signal {
    /// A new process.
    Start,
    Term,
    Kill,
}

pub struct GatewayProcess {
    clock: Clock,
    pub number: usize,
    pub address: SocketAddr,
    config_path: String,
    log_path: String,
    discovery: SocketAddr,
    child: RefCell<Option<Child>>,
    /// Its signals.
    pub signals: RefCell<Vec<(Time, Signal)>>,
    /// Processes that ended though nothing ended them.
    pub crashes: Cell<usize>,
    /// It is being stopped or killed, and started again: no other fault does so meanwhile.
    replaced: Cell<bool>,
    /// Nobody else is given its port.
    _port: ReservedPort,
}

impl GatewayProcess {
    pub fn new(
        plan: Plan,
        number: usize,
        network: LoopbackNetwork,
        list: &EndpointList,
        clock: Clock,
    ) -> Rc<GatewayProcess> {
        let port = ReservedPort::at(network.address(FIRST_GATEWAY + number as u8));
        let address = port.address();
        let place = format!("{}/faulty-fleet-{address}", env!("CARGO_TARGET_TMPDIR"));
        let config = format!(
            r#"{{"name":"n{number}","listen":"{address}","discovery":"{}","seed":"{:x}","limits":{{"cores":1.0,"memory_mb":192,"sockets":512}},"known":{},"settings":{}}}"#,
            list.service.address,
            plan.seed << 16 | number as u64,
            list.service.complete_list(),
            classes::settings(&plan),
        );
        let config_path = format!("{place}.json");
        std::fs::write(&config_path, config).expect("a place to write");
        Rc::new(GatewayProcess {
            clock,
            number,
            address: address.parse().expect("an address"),
            config_path,
            log_path: format!("{place}.log"),
            discovery: list.service.address,
            child: RefCell::default(),
            signals: RefCell::default(),
            crashes: Cell::new(0),
            replaced: Cell::new(false),
            _port: port,
        })
    }

    pub fn start(&self) {
        let log = File::options().create(true).append(true).open(&self.log_path).expect("a place to write");
        let child = Command::new(env!("CARGO_BIN_EXE_petrelgauge"))
            .env("GW_CONFIG", &self.config_path)
            .env("GW_DISCOVERY", self.discovery.to_string())
            .env("RUST_LOG", std::env::var("FLEET_LOG").unwrap_or_else(|_| "info".to_string()))
            .env_remove("PETRELGAUGE_FILE")
            .stdin(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the gateway starts");
        *self.child.borrow_mut() = Some(child);
        self.signals.borrow_mut().push((self.clock.now(), Signal::Start));
    }

    /// Waits until an empty query is answered.
    pub async fn is_ready(&self) {
        let until = self.clock.now() + READY_WITHIN.as_micros() as Time;
        while self.clock.now() < until {
            if let Some(()) = self.ask_nothing().await {
                return;
            }
            self.clock.sleep(Duration::from_millis(20)).await;
        }
        panic!("gateway {} is not ready; its log: {}", self.number, self.log());
    }

    async fn ask_nothing(&self) -> Option<()> {
        let mut stream = TcpStream::connect(self.address).await.ok()?;
        stream.write_all(&startup()).await.ok()?;
        let mut first = [0];
        stream.read_exact(&mut first).await.ok()?;
        Some(())
    }

    pub fn signal(&self, name: &str) {
        let Some(id) = self.child.borrow().as_ref().map(Child::id) else { return };
        let _ = Command::new("kill").args([&format!("-{name}"), &id.to_string()]).status();
    }

    /// Whether its process runs.
    pub fn runs(&self) -> bool {
        let mut child = self.child.borrow_mut();
        child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Counts a process that has ended by itself.
    pub fn check_crash(&self) {
        if self.child.borrow().is_some() && !self.runs() {
            self.crashes.set(self.crashes.get() + 1);
            self.child.borrow_mut().take();
        }
    }

    /// Begins a replacement of its process, unless one is under way.
    pub fn begin_replacement(&self) -> bool {
        !self.replaced.replace(true)
    }

    /// Ends a replacement with a new process.
    pub fn end_replacement(&self) {
        self.start();
        self.replaced.set(false);
    }

    /// SIGKILL, at once.
    pub fn kill(&self) {
        self.check_crash();
        if let Some(mut child) = self.child.borrow_mut().take() {
            self.signals.borrow_mut().push((self.clock.now(), Signal::Kill));
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// SIGTERM, and SIGKILL at the earliest time at which it may come.
    pub async fn stop(&self) {
        self.check_crash();
        self.signals.borrow_mut().push((self.clock.now(), Signal::Term));
        self.signal("TERM");
        let until = self.clock.now() + (classes::LONGEST_DEADLINE + KILL_MARGIN).as_micros() as Time;
        while self.runs() && self.clock.now() < until {
            self.clock.sleep(Duration::from_millis(10)).await;
        }
        if self.runs() {
            self.signals.borrow_mut().push((self.clock.now(), Signal::Kill));
        }
        if let Some(mut child) = self.child.borrow_mut().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// When the process that got a request at `sent` was told to stop, and when it was killed, if it was.
    pub fn stopped(&self, sent: Time) -> (Option<Time>, Option<Time>) {
        let signals = self.signals.borrow();
        let next = signals.iter().position(|(at, signal)| *signal == Signal::Start && *at > sent);
        let until = next.unwrap_or(signals.len());
        let from = signals[..until].iter().rposition(|(_, signal)| *signal == Signal::Start).unwrap_or(0);
        let when = |wanted: Signal| {
            signals[from..until].iter().find(|(_, signal)| *signal == wanted).map(|(at, _)| *at)
        };
        (when(Signal::Term), when(Signal::Kill))
    }

    /// Its log so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log_path).unwrap_or_default()
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.borrow_mut().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_file(&self.config_path);
        let _ = std::fs::remove_file(&self.log_path);
    }
}
