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
/// How long a gateway may take until it serves.
const READY_WITHIN: Duration = Duration::from_secs(30);
/// SIGKILL follows SIGTERM after the longest deadline, which is 3 s, and this.
const KILL_MARGIN: Duration = Duration::from_millis(700);

/// What was done to a gateway's process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Signal {
    /// A new process was started.
    Start,
    /// SIGTERM was sent.
    Term,
    /// SIGKILL was sent.
    Kill,
}

/// When a process got SIGTERM and SIGKILL, as far as it did.
#[derive(Clone, Copy, Debug)]
pub struct ProcessEnd {
    /// SIGTERM.
    pub terminated_at: Option<Time>,
    /// SIGKILL.
    pub killed_at: Option<Time>,
}

/// A gateway of a fleet.
pub struct FleetGateway {
    clock: Clock,
    /// Its number in the fleet.
    pub number: usize,
    /// Its process.
    pub process: GatewayProcess,
    files: GatewayFiles,
    /// What was done to its process, and when.
    pub signals: RefCell<Vec<(Time, Signal)>>,
    /// Processes that ended by themselves.
    pub crashes: Cell<usize>,
    /// Its process has been started, and neither stopped nor killed since.
    is_expected_to_run: Cell<bool>,
    /// A fault is replacing its process: no other may do so meanwhile.
    is_being_replaced: Cell<bool>,
}

impl FleetGateway {
    /// Writes the configuration of a gateway that is not started yet.
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
            is_expected_to_run: Cell::new(false),
            is_being_replaced: Cell::new(false),
        })
    }

    /// Starts a process.
    pub fn start(&self) {
        let log_level = std::env::var("FLEET_LOG").unwrap_or_else(|_| "info".to_string());
        self.process.start(&[("RUST_LOG", &log_level)]).expect("the gateway starts");
        self.is_expected_to_run.set(true);
        self.signals.borrow_mut().push((self.clock.now(), Signal::Start));
    }

    /// Waits until it serves; panics with its log if it does not.
    pub async fn until_ready(&self) {
        let is_ready = self.process.is_ready(READY_WITHIN).await;
        assert!(is_ready, "gateway {} is not ready; its log: {}", self.number, self.process.log());
    }

    /// Counts a crash if its process has ended by itself.
    pub fn check_crash(&self) {
        if self.is_expected_to_run.get() && !self.process.is_running() {
            self.crashes.set(self.crashes.get() + 1);
            self.is_expected_to_run.set(false);
        }
    }

    /// Begins a replacement of its process; false if one is under way.
    pub fn begin_replacement(&self) -> bool {
        !self.is_being_replaced.replace(true)
    }

    /// Ends a replacement by starting a process.
    pub fn end_replacement(&self) {
        self.start();
        self.is_being_replaced.set(false);
    }

    /// Kills its process.
    pub fn kill(&self) {
        self.check_crash();
        if self.is_expected_to_run.replace(false) {
            self.signals.borrow_mut().push((self.clock.now(), Signal::Kill));
            self.process.kill();
        }
    }

    /// Sends SIGTERM, and SIGKILL as early as the platform may.
    pub async fn stop(&self) {
        self.check_crash();
        self.is_expected_to_run.set(false);
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

    /// How the process ended that a request was sent to at this time.
    pub fn process_end(&self, sent: Time) -> ProcessEnd {
        let signals = self.signals.borrow();
        let next = signals.iter().position(|(at, signal)| *signal == Signal::Start && *at > sent);
        let until = next.unwrap_or(signals.len());
        let from = signals[..until].iter().rposition(|(_, signal)| *signal == Signal::Start).unwrap_or(0);
        let when = |wanted: Signal| {
            signals[from..until].iter().find(|(_, signal)| *signal == wanted).map(|(at, _)| *at)
        };
        ProcessEnd { terminated_at: when(Signal::Term), killed_at: when(Signal::Kill) }
    }
}

impl Drop for FleetGateway {
    fn drop(&mut self) {
        self.process.kill();
        let _ = std::fs::remove_file(&self.files.config);
        let _ = std::fs::remove_file(&self.files.log);
    }
}
