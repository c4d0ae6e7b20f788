//! Model `stop`: SIGTERM, draining, resuming and reloads while clients connect, send queries, wait and
//! disconnect. The state machines of the gateway, of each client's connection and of its request are the
//! gateway's own code.

use crate::check::{check, Report, World};
use crate::Size;
use petrelgauge_lifecycle::client::{self, Action, ClientConnection, ClientState, MessageKind, QueryOutcome};
use petrelgauge_lifecycle::ending::End;
use petrelgauge_lifecycle::gateway::{self, Gateway, ServingState};
use petrelgauge_lifecycle::request::{self, FinalAnswer, RequestState};
use petrelgauge_policy::Time;

const ANSWERED: &str = "what a client sent before its connection was closed is answered";
const ONCE: &str = "a query is answered once";
const IN_FLIGHT: &str = "the gateway ends only when nothing is in flight";
const OLD_SETTINGS: &str = "a file that cannot be used changes nothing";
const ENDS: &str = "after SIGTERM it ends";
const READINESS: &str = "a gateway that was resumed admits clients, and one that drains does not";

/// A step of the model. Clients are named by their index.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// A client connects and sends its startup message.
    Connects(usize),
    /// Its connection is accepted.
    Accepted(usize),
    /// It sends a query.
    Sends(usize),
    /// Its query is read.
    QueryRead(usize),
    /// A host answers its request.
    Served(usize),
    /// The router rejects its request.
    Rejected(usize),
    /// It disconnects.
    Leaves(usize),
    /// Its connection is closed for the shutdown.
    Stopped(usize),
    /// Its idle timeout passes.
    Idle(usize),
    /// SIGTERM.
    Term,
    /// An operator's command to drain.
    Drain,
    /// An operator's command to serve again.
    Resume,
    /// SIGHUP, with a valid or an invalid file.
    Reload(bool),
    /// The announcement period, in which clients are served as before, ends.
    Due,
    /// The gateway checks which clients and attempts remain.
    CheckRemaining,
}

#[derive(Clone, Debug)]
enum Connection {
    NotConnected,
    WaitsForAccept,
    Open(OpenConnection),
    Closed,
}

#[derive(Clone, Debug)]
struct OpenConnection {
    client: ClientConnection,
    /// Number of queries that were sent and not read.
    unread: u8,
    /// The open request.
    request: Option<RequestState>,
}

/// The state of the model.
#[derive(Clone, Debug)]
struct Stops {
    now: Time,
    gateway: Gateway,
    connections: Vec<Connection>,
    /// Number of queries that each client may still send.
    queries_left: Vec<u8>,
    reloads_left: u8,
    drains_left: u8,
    /// Number of reloads that applied new settings.
    applied_settings: u8,
    violated: Option<&'static str>,
}

/// What has not ended.
#[derive(Clone, Copy)]
struct Remaining {
    clients: usize,
    attempts: usize,
}

impl Stops {
    /// Clients and requests that have not ended.
    fn remaining(&self) -> Remaining {
        let is_connected = |connection: &&Connection| {
            matches!(connection, Connection::Open { .. } | Connection::WaitsForAccept)
        };
        let has_request =
            |connection: &&Connection| matches!(connection, Connection::Open(open) if open.request.is_some());
        Remaining {
            clients: self.connections.iter().filter(is_connected).count(),
            attempts: self.connections.iter().filter(has_request).count(),
        }
    }

    fn open_connection(&mut self, index: usize) -> Option<&mut OpenConnection> {
        match &mut self.connections[index] {
            Connection::Open(open) => Some(open),
            _ => None,
        }
    }

    /// Steps a client's connection.
    fn on_client_event(&mut self, index: usize, event: client::Event) {
        let now = self.now;
        let Some(open) = self.open_connection(index) else { return };
        match open.client.on(now, event) {
            Action::AnswerQuery => open.request = Some(RequestState::default()),
            Action::Close(end) => {
                if end != End::ClientLeft && (open.unread > 0 || open.request.is_some()) {
                    self.violated = Some(ANSWERED);
                }
                self.connections[index] = Connection::Closed;
            }
            _ => {}
        }
    }

    /// The open request of a client ends with this event.
    fn end_request(&mut self, index: usize, event: request::Event) {
        let Some(open) = self.open_connection(index) else { return };
        let Some(mut request) = open.request.take() else { return };
        let _ = request.on(request::Event::AttemptStarted);
        let answer = request.on(event);
        if request.on(request::Event::Failed).is_some() {
            self.violated = Some(ONCE);
        }
        let event = match answer {
            Some(FinalAnswer::Abandoned) => client::Event::Disconnected(End::ClientLeft),
            _ => client::Event::Answered(QueryOutcome::Request),
        };
        self.on_client_event(index, event);
    }

    fn client_steps(&self, index: usize, steps: &mut Vec<Step>) {
        match &self.connections[index] {
            // The load balancer sends no clients to a gateway that is not ready.
            Connection::NotConnected if self.gateway.serving_state() != ServingState::Stopped => {
                steps.push(Step::Connects(index));
            }
            Connection::NotConnected | Connection::Closed => {}
            Connection::WaitsForAccept => steps.push(Step::Accepted(index)),
            Connection::Open(open) => {
                if self.queries_left[index] > 0 {
                    steps.push(Step::Sends(index));
                }
                steps.push(Step::Leaves(index));
                if open.request.is_some() {
                    steps.extend([Step::Served(index), Step::Rejected(index)]);
                } else if open.unread > 0 {
                    steps.push(Step::QueryRead(index));
                }
                if self.gateway.serving_state().closes_idle_clients() {
                    steps.push(Step::Stopped(index));
                }
                if open.client.state() == ClientState::Idle {
                    steps.push(Step::Idle(index));
                }
            }
        }
    }

    fn gateway_steps(&self, steps: &mut Vec<Step>) {
        let state = self.gateway.state();
        match state {
            gateway::GatewayState::Serving
            | gateway::GatewayState::DrainAnnounced { .. }
            | gateway::GatewayState::Drained => {
                steps.push(Step::Term);
                if self.gateway.timeout_at().is_some() {
                    steps.push(Step::Due);
                }
                match state {
                    gateway::GatewayState::Serving if self.drains_left > 0 => steps.push(Step::Drain),
                    gateway::GatewayState::Serving => {}
                    _ => steps.push(Step::Resume),
                }
                if self.reloads_left > 0 {
                    steps.extend([Step::Reload(true), Step::Reload(false)]);
                }
            }
            gateway::GatewayState::StopAnnounced { .. } => steps.push(Step::Due),
            _ => steps.push(Step::CheckRemaining),
        }
    }

    fn apply_client_step(&mut self, step: &Step) {
        match *step {
            Step::Connects(index) => self.connections[index] = Connection::WaitsForAccept,
            Step::Accepted(index) => {
                let client = ClientConnection::new(self.now);
                self.connections[index] =
                    Connection::Open(OpenConnection { client, unread: 0, request: None });
                self.on_client_event(index, client::Event::StartupReceived);
            }
            Step::Sends(index) => {
                self.queries_left[index] -= 1;
                if let Some(open) = self.open_connection(index) {
                    open.unread += 1;
                }
            }
            Step::QueryRead(index) => {
                if let Some(open) = self.open_connection(index) {
                    open.unread -= 1;
                }
                self.on_client_event(index, client::Event::Message(MessageKind::Query));
            }
            Step::Served(index) => {
                self.end_request(index, request::Event::AttemptEnded { answered: true });
            }
            Step::Rejected(index) => self.end_request(index, request::Event::Rejected { wait: 0 }),
            Step::Leaves(index) => {
                if self.open_connection(index).is_some_and(|open| open.request.is_some()) {
                    self.end_request(index, request::Event::Disconnected);
                } else {
                    self.on_client_event(index, client::Event::Disconnected(End::ClientLeft));
                }
            }
            Step::Stopped(index) => {
                let unread = self.open_connection(index).is_some_and(|open| open.unread > 0);
                self.on_client_event(index, client::Event::Stop { has_unread: unread });
            }
            Step::Idle(index) => {
                let unread = self.open_connection(index).is_some_and(|open| open.unread > 0);
                self.on_client_event(index, client::Event::Timeout { has_unread: unread, partial_at: None });
            }
            _ => {}
        }
    }

    /// Applies an operator's command, and checks what the readiness check reports after it.
    fn command(&mut self, event: gateway::Event, is_ready: bool) {
        self.gateway.on(self.now, event);
        if self.gateway.serving_state().reports_ready() != is_ready {
            self.violated = Some(READINESS);
        }
    }

    fn reload(&mut self, usable: bool) {
        self.reloads_left -= 1;
        if self.gateway.on(self.now, gateway::Event::Reload { usable }) == gateway::Action::ApplySettings {
            self.applied_settings += 1;
            if !usable {
                self.violated = Some(OLD_SETTINGS);
            }
        }
    }

    fn check_remaining(&mut self) {
        let Remaining { clients, attempts } = self.remaining();
        let nothing_remains = (clients, attempts) == (0, 0);
        let action = self.gateway.on(self.now, gateway::Event::Remaining { clients, attempts });
        if action == gateway::Action::End && !nothing_remains {
            self.violated = Some(IN_FLIGHT);
        }
        // The gateway must end now, or a run could consist of checks for ever.
        if nothing_remains && self.gateway.state() != gateway::GatewayState::Ended {
            self.violated = Some(ENDS);
        }
    }
}

impl World for Stops {
    type Step = Step;

    const PROPERTIES: &'static [&'static str] = &[ANSWERED, ONCE, IN_FLIGHT, OLD_SETTINGS, ENDS, READINESS];

    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        if self.gateway.state() != gateway::GatewayState::Ended {
            (0..self.connections.len()).for_each(|index| self.client_steps(index, &mut steps));
            self.gateway_steps(&mut steps);
        }
        steps
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Term => drop(self.gateway.on(self.now, gateway::Event::Stop)),
            Step::Drain => {
                self.drains_left -= 1;
                self.command(gateway::Event::Drain, false);
            }
            Step::Resume => self.command(gateway::Event::Resume, true),
            Step::Reload(usable) => self.reload(usable),
            Step::Due => {
                self.now = self.gateway.timeout_at().unwrap_or(self.now);
                self.gateway.on(self.now, gateway::Event::Timeout);
            }
            Step::CheckRemaining => self.check_remaining(),
            _ => self.apply_client_step(step),
        }
    }

    fn describe(&self, step: &Step) -> String {
        match step {
            Step::Connects(index) => format!("client {index} connects"),
            Step::Accepted(index) => format!("client {index} is accepted"),
            Step::Sends(index) => format!("client {index} sends a query"),
            Step::QueryRead(index) => format!("the query of client {index} is read"),
            Step::Served(index) => format!("a host answers client {index}"),
            Step::Rejected(index) => format!("the request of client {index} is rejected"),
            Step::Leaves(index) => format!("client {index} disconnects"),
            Step::Stopped(index) => format!("client {index} is closed for the shutdown"),
            Step::Idle(index) => format!("client {index} reaches its idle timeout"),
            Step::Term => "SIGTERM".into(),
            Step::Drain => "an operator drains the gateway".into(),
            Step::Resume => "an operator resumes the gateway".into(),
            Step::Reload(usable) => format!("SIGHUP; the file is valid: {usable}"),
            Step::Due => "the announcement period ends".into(),
            Step::CheckRemaining => "the gateway checks what remains".into(),
        }
    }

    fn violated(&self) -> Option<&'static str> {
        self.violated
    }

    fn violated_at_end(&self) -> Option<&'static str> {
        (self.gateway.state() != gateway::GatewayState::Ended).then_some(ENDS)
    }
}

/// Runs the model.
pub fn run(size: Size, path: &[String]) -> Report {
    let clients = if size == Size::Small { 2 } else { 3 };
    let start = Stops {
        now: 1_000_000,
        gateway: Gateway::default(),
        connections: vec![Connection::NotConnected; clients],
        queries_left: vec![2; clients],
        reloads_left: 2,
        drains_left: 1,
        applied_settings: 0,
        violated: None,
    };
    check(start, path)
}
