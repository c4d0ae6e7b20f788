//! The gateways of a fleet: their configuration, and the history of starts and signals of their processes.

use super::classes::{self, Variant, VARIANTS};
use super::list::EndpointList;
use super::{Clock, Plan, Time};
use petrelgauge_test_support::{gateway_program, GatewayFiles, GatewayProcess, LoopbackNetwork};
use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

/// Marks the place of the settings in a configuration.
const SETTINGS_MARK: &str = "SETTINGS";
/// Last byte of the first gateway's IP address; the others take the bytes that follow.
const FIRST_GATEWAY: u8 = 100;
/// Time limit for a gateway to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after SIGHUP from which clients know of new settings, so that their rules bind.
const SETTINGS_KNOWN_AFTER: Duration = Duration::from_millis(1_200);
/// SIGKILL follows SIGTERM after the longest deadline (3 s) plus this margin.
const KILL_MARGIN: Duration = Duration::from_millis(700);

/// A start of a gateway's process, or a signal sent to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProcessEvent {
    /// A new process was started.
    Start,
    /// SIGTERM was sent.
    Term,
    /// SIGKILL was sent.
    Kill,
}

/// When SIGTERM and SIGKILL were sent to a process; `None` if they were not.
#[derive(Clone, Copy, Debug)]
pub struct ProcessEnd {
    pub terminated_at: Option<Time>,
    pub killed_at: Option<Time>,
}

/// A gateway of a fleet.
pub struct FleetGateway {
    clock: Clock,
    /// Index in the fleet.
    pub number: usize,
    pub process: GatewayProcess,
    files: GatewayFiles,
    /// Starts and signals of its process with their times, in order.
    pub process_events: RefCell<Vec<(Time, ProcessEvent)>>,
    /// The configuration without the settings, whose place is marked.
    config: String,
    /// The plan of the fleet.
    plan: Plan,
    /// The variants of the settings, each with the time from which its rules bind, in order.
    settings: RefCell<Vec<(Time, Variant)>>,
    /// Number of processes that exited without being stopped or killed.
    pub crashes: Cell<usize>,
    /// Highest private memory of its processes (bytes).
    pub peak_memory: Cell<usize>,
    /// Whether its process was started, and not stopped or killed since.
    is_expected_to_run: Cell<bool>,
    /// Whether a fault is replacing its process; other faults may not replace it until that ends.
    is_being_replaced: Cell<bool>,
}

impl FleetGateway {
    /// Writes the configuration of a gateway, without starting its process.
    pub fn new(
        plan: Plan,
        number: usize,
        network: LoopbackNetwork,
        list: &EndpointList,
        clock: Clock,
    ) -> Rc<FleetGateway> {
        let (program, ip) = (gateway_program!(), network.address(FIRST_GATEWAY + number as u8));
        let file = |extension: &str| {
            PathBuf::from(format!("{}/faulty-fleet-{}-{ip}.{extension}", program.folder, std::process::id()))
        };
        let files = GatewayFiles { config: file("json"), operator: None, log: file("log") };
        let process = GatewayProcess::new(program.path.into(), ip, files.clone());
        let config = format!(
            "{{\"name\":\"n{number}\",\"listen\":\"{}\",\"discovery\":\"{}\",\"seed\":\"{:x}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"known\":{},\"settings\":{}}}",
            process.listen,
            list.service.address,
            plan.seed << 16 | number as u64,
            plan.memory_mb,
            plan.descriptors,
            list.service.complete_list(),
            SETTINGS_MARK,
        );
        let gateway = FleetGateway {
            config,
            plan,
            settings: RefCell::new(vec![(0, VARIANTS[0])]),
            clock,
            number,
            process,
            files,
            process_events: RefCell::default(),
            crashes: Cell::new(0),
            peak_memory: Cell::new(0),
            is_expected_to_run: Cell::new(false),
            is_being_replaced: Cell::new(false),
        };
        gateway.write_config(VARIANTS[0]);
        Rc::new(gateway)
    }

    fn write_config(&self, variant: Variant) {
        let settings = classes::settings_json(&self.plan, variant);
        let config = self.config.replace(SETTINGS_MARK, &settings);
        std::fs::write(&self.files.config, config).expect("the configuration file is writable");
    }

    /// Writes a variant of the settings and sends SIGHUP.
    pub fn reload(&self, variant: Variant) {
        self.write_config(variant);
        let binds_at = self.clock.now() + SETTINGS_KNOWN_AFTER.as_micros() as Time;
        self.settings.borrow_mut().push((binds_at, variant));
        self.process.signal("HUP");
    }

    /// Sends SIGHUP without a change of the file.
    pub fn signal_reload(&self) {
        self.process.signal("HUP");
    }

    /// The settings whose rules bind at this time.
    pub fn binding_settings(&self, at: Time) -> Variant {
        let settings = self.settings.borrow();
        let binding = settings.iter().rev().find(|(binds_at, _)| *binds_at <= at);
        binding.map_or(VARIANTS[0], |(_, variant)| *variant)
    }

    /// Starts a process.
    pub fn start(&self) {
        let log_level = std::env::var("FLEET_LOG").unwrap_or_else(|_| "info".to_string());
        self.process.start(&[("RUST_LOG", &log_level)]).expect("the gateway starts");
        self.is_expected_to_run.set(true);
        let now = self.clock.now();
        self.process_events.borrow_mut().push((now, ProcessEvent::Start));
        // A new process has read the file as it is.
        let mut settings = self.settings.borrow_mut();
        let newest = settings.last().map_or(VARIANTS[0], |(_, variant)| *variant);
        settings.retain(|(binds_at, _)| *binds_at <= now);
        settings.push((now, newest));
    }

    /// Waits until the gateway is ready; panics with its log after `READY_TIMEOUT`.
    pub async fn until_ready(&self) {
        let is_ready = self.process.is_ready(READY_TIMEOUT).await;
        assert!(is_ready, "gateway {} is not ready; its log: {}", self.number, self.process.log());
    }

    /// Counts a crash if the process exited without being stopped or killed.
    pub fn check_crash(&self) {
        if self.is_expected_to_run.get() && !self.process.is_running() {
            self.crashes.set(self.crashes.get() + 1);
            self.is_expected_to_run.set(false);
        }
    }

    /// Begins a replacement of its process; returns false if one is already in progress.
    pub fn begin_replacement(&self) -> bool {
        !self.is_being_replaced.replace(true)
    }

    /// Ends a replacement by starting the new process.
    pub fn end_replacement(&self) {
        self.start();
        self.is_being_replaced.set(false);
    }

    /// Sends SIGKILL, unless its process has already ended.
    pub fn kill(&self) {
        self.check_crash();
        if self.is_expected_to_run.replace(false) {
            self.process_events.borrow_mut().push((self.clock.now(), ProcessEvent::Kill));
            self.process.kill();
        }
    }

    /// Sends SIGTERM, and SIGKILL at the earliest time at which a platform may send it.
    pub async fn stop(&self) {
        self.check_crash();
        self.is_expected_to_run.set(false);
        self.process_events.borrow_mut().push((self.clock.now(), ProcessEvent::Term));
        self.process.signal("TERM");
        let until = self.clock.now() + (classes::LONGEST_DEADLINE + KILL_MARGIN).as_micros() as Time;
        while self.process.is_running() && self.clock.now() < until {
            self.clock.sleep(Duration::from_millis(10)).await;
        }
        if self.process.is_running() {
            self.process_events.borrow_mut().push((self.clock.now(), ProcessEvent::Kill));
        }
        self.process.kill();
    }

    /// The signals that ended the process which was running at this time.
    pub fn process_end(&self, sent: Time) -> ProcessEnd {
        let events = self.process_events.borrow();
        let next = events.iter().position(|(at, event)| *event == ProcessEvent::Start && *at > sent);
        let until = next.unwrap_or(events.len());
        let from = events[..until].iter().rposition(|(_, event)| *event == ProcessEvent::Start).unwrap_or(0);
        let when = |wanted: ProcessEvent| {
            events[from..until].iter().find(|(_, event)| *event == wanted).map(|(at, _)| *at)
        };
        ProcessEnd { terminated_at: when(ProcessEvent::Term), killed_at: when(ProcessEvent::Kill) }
    }
}

impl Drop for FleetGateway {
    fn drop(&mut self) {
        self.process.kill();
        let _ = std::fs::remove_file(&self.files.config);
        let _ = std::fs::remove_file(&self.files.log);
    }
}
