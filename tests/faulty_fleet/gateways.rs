//! The gateways of a fleet: their configuration, and the record of what was done to their processes.

use super::classes;
use super::list::EndpointList;
use super::{Clock, Plan, Time};
use petrelgauge_test_support::{gateway_program, GatewayFiles, GatewayProcess, LoopbackNetwork};
use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

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

/// A gateway of a fleet.
pub struct FleetGateway {
    clock: Clock,
    pub number: usize,
    pub process: GatewayProcess,
    files: GatewayFiles,
    /// Its signals.
    pub signals: RefCell<Vec<(Time, Signal)>>,
    /// Processes that ended though nothing ended them.
    pub crashes: Cell<usize>,
    /// Its process is to run: it was started, and neither stopped nor killed since.
    is_wanted: Cell<bool>,
    /// It is being stopped or killed, and started again: no other fault does so meanwhile.
    replaced: Cell<bool>,
}

impl FleetGateway {
    pub fn new(
        plan: Plan,
        number: usize,
        network: LoopbackNetwork,
        list: &EndpointList,
        clock: Clock,
    ) -> Rc<FleetGateway> {
        let (program, ip) = (gateway_program!(), network.address(FIRST_GATEWAY + number as u8));
        let file = |ending: &str| {
            PathBuf::from(format!("{}/faulty-fleet-{}-{ip}.{ending}", program.folder, std::process::id()))
        };
        let files = GatewayFiles { config: file("json"), operator: None, log: file("log") };
        let process = GatewayProcess::new(program.path.into(), ip, files.clone());
        let config = format!(
            r#"{{"name":"n{number}","listen":"{}","discovery":"{}","seed":"{:x}","limits":{{"cores":1.0,"memory_mb":192,"sockets":512}},"known":{},"settings":{}}}"#,
            process.listen,
            list.service.address,
            plan.seed << 16 | number as u64,
            list.service.complete_list(),
            classes::settings(&plan),
        );
        std::fs::write(&files.config, config).expect("a place to write");
        Rc::new(FleetGateway {
            clock,
            number,
            process,
            files,
            signals: RefCell::default(),
            crashes: Cell::new(0),
            is_wanted: Cell::new(false),
            replaced: Cell::new(false),
        })
    }

    pub fn start(&self) {
        let log_level = std::env::var("FLEET_LOG").unwrap_or_else(|_| "info".to_string());
        self.process.start(&[("RUST_LOG", &log_level)]).expect("the gateway starts");
        self.is_wanted.set(true);
        self.signals.borrow_mut().push((self.clock.now(), Signal::Start));
    }

    /// Waits until it serves.
    pub async fn until_ready(&self) {
        let is_ready = self.process.is_ready(READY_WITHIN).await;
        assert!(is_ready, "gateway {} is not ready; its log: {}", self.number, self.process.log());
    }

    /// Counts a process that has ended by itself.
    pub fn check_crash(&self) {
        if self.is_wanted.get() && !self.process.is_running() {
            self.crashes.set(self.crashes.get() + 1);
            self.is_wanted.set(false);
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
        if self.is_wanted.replace(false) {
            self.signals.borrow_mut().push((self.clock.now(), Signal::Kill));
            self.process.kill();
        }
    }

    /// SIGTERM, and SIGKILL at the earliest time at which it may come.
    pub async fn stop(&self) {
        self.check_crash();
        self.is_wanted.set(false);
        self.signals.borrow_mut().push((self.clock.now(), Signal::Term));
        self.process.signal("TERM");
        let until = self.clock.now() + (classes::LONGEST_DEADLINE + KILL_MARGIN).as_micros() as Time;
        while self.process.is_running() && self.clock.now() < until {
            self.clock.sleep(Duration::from_millis(10)).await;
        }
        if self.process.is_running() {
            self.signals.borrow_mut().push((self.clock.now(), Signal::Kill));
        }
        self.process.kill();
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
}

impl Drop for FleetGateway {
    fn drop(&mut self) {
        self.process.kill();
        let _ = std::fs::remove_file(&self.files.config);
        let _ = std::fs::remove_file(&self.files.log);
    }
}
