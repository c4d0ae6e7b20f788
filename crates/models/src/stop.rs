//! Model `stop`: SIGTERM, draining, resuming and reloads while clients come, ask, wait and leave. The machines of the gateway, of each
//! client's connection and of its request are the gateway's.

use crate::check::{check, Report, World};
use crate::Size;
use petrelgauge_lifecycle::client::{self, Action, Client, MessageKind, QueryOutcome, Stage};
use petrelgauge_lifecycle::ending::End;
use petrelgauge_lifecycle::gateway::{self, Gateway};
use petrelgauge_lifecycle::request::{self, FinalAnswer, RequestState};
use petrelgauge_policy::Time;

const ANSWERED: &str = "what a client sent before its connection was closed is answered";
const ONCE: &str = "a query is answered once";
const HELD: &str = "the gateway ends only when nothing is held";
const OLD: &str = "a file that cannot be used changes nothing";
const ENDS: &str = "after SIGTERM it ends";
const BACK: &str = "a gateway that was called back admits clients, and one that drains does not";

/// An event.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Move {
    /// A client connects and says who it is.
    Connects(usize),
    /// It is accepted and welcomed.
    Accepted(usize),
    /// It sends a query.
    Sends(usize),
    /// What it sent is heard.
    Heard(usize),
    /// A host answers it.
    Served(usize),
    /// The decisions refuse it.
    Refused(usize),
    /// It leaves.
    Leaves(usize),
    /// Its connection is asked to close for the stop.
    Stopped(usize),
    /// It has been idle for too long.
    Idle(usize),
    /// SIGTERM.
    Term,
    /// The staff calls drain.
    Drain,
    /// The staff calls resume.
    Resume,
    /// SIGHUP with a file that can, or cannot, be used.
    Reload(bool),
    /// The last clients' time is over.
    Due,
    /// The gateway looks at what is held.
    Looks,
}

#[derive(Clone, Debug)]
enum At {
    Away,
    Backlog,
    Open { life: Client, unread: u8, asked: Option<RequestState> },
    Gone,
}

#[derive(Clone, Debug)]
struct Stops {
    now: Time,
    gateway: Gateway,
    clients: Vec<At>,
    queries: Vec<u8>,
    reloads: u8,
    drains: u8,
    discovery: u8,
    broken: Option<&'static str>,
}

impl Stops {
    fn held(&self) -> (usize, usize) {
        let clients = self.clients.iter().filter(|at| matches!(at, At::Open { .. } | At::Backlog)).count();
        let asking = |at: &&At| matches!(at, At::Open { asked: Some(_), .. });
        (clients, self.clients.iter().filter(asking).count())
    }

    fn tell(&mut self, place: usize, event: client::Event) {
        let now = self.now;
        let At::Open { life, unread, asked } = &mut self.clients[place] else { return };
        match life.on(now, event) {
            Action::Answer => *asked = Some(RequestState::default()),
            Action::Close(end) => {
                if end != End::ClientLeft && (*unread > 0 || asked.is_some()) {
                    self.broken = Some(ANSWERED);
                }
                self.clients[place] = At::Gone;
            }
            _ => {}
        }
    }

    fn ends(&mut self, place: usize, event: request::Event) {
        let At::Open { asked, .. } = &mut self.clients[place] else { return };
        let Some(one) = asked else { return };
        let _ = one.on(request::Event::AttemptStarted);
        let ended = one.on(event);
        if one.on(request::Event::Failed).is_some() {
            self.broken = Some(ONCE);
        }
        *asked = None;
        match ended {
            Some(FinalAnswer::Abandoned) => self.tell(place, client::Event::Disconnected(End::ClientLeft)),
            _ => self.tell(place, client::Event::Answered(QueryOutcome::Request)),
        }
    }
}

impl World for Stops {
    type Move = Move;

    const PROPERTIES: &'static [&'static str] = &[ANSWERED, ONCE, HELD, OLD, ENDS, BACK];

    fn moves(&self) -> Vec<Move> {
        let mut moves = Vec::new();
        let stage = self.gateway.stage();
        if stage == gateway::Stage::Ended {
            return moves;
        }
        for (place, at) in self.clients.iter().enumerate() {
            match at {
                // The front deals out no connection once it has learned of the stop.
                At::Away if self.gateway.serving_state() != gateway::ServingState::Stopped => {
                    moves.push(Move::Connects(place))
                }
                At::Away | At::Gone => {}
                At::Backlog => moves.push(Move::Accepted(place)),
                At::Open { life, unread, asked } => {
                    if self.queries[place] > 0 {
                        moves.push(Move::Sends(place));
                    }
                    moves.push(Move::Leaves(place));
                    if asked.is_some() {
                        moves.extend([Move::Served(place), Move::Refused(place)]);
                    } else if *unread > 0 {
                        moves.push(Move::Heard(place));
                    }
                    if self.gateway.serving_state().closes_idle_clients() {
                        moves.push(Move::Stopped(place));
                    }
                    if life.stage() == Stage::Idle {
                        moves.push(Move::Idle(place));
                    }
                }
            }
        }
        match stage {
            gateway::Stage::Serving | gateway::Stage::DrainAnnounced { .. } | gateway::Stage::Drained => {
                moves.push(Move::Term);
                if self.gateway.due().is_some() {
                    moves.push(Move::Due);
                }
                match stage {
                    gateway::Stage::Serving if self.drains > 0 => moves.push(Move::Drain),
                    gateway::Stage::Serving => {}
                    _ => moves.push(Move::Resume),
                }
                if self.reloads > 0 {
                    moves.extend([Move::Reload(true), Move::Reload(false)]);
                }
            }
            gateway::Stage::StopAnnounced { .. } => moves.push(Move::Due),
            _ => moves.push(Move::Looks),
        }
        moves
    }

    #[expect(clippy::too_many_lines, reason = "to be split by its steps")]
    fn play(&mut self, event: &Move) {
        let now = self.now;
        match *event {
            Move::Connects(place) => self.clients[place] = At::Backlog,
            Move::Accepted(place) => {
                self.clients[place] = At::Open { life: Client::new(now), unread: 0, asked: None };
                self.tell(place, client::Event::StartupReceived);
            }
            Move::Sends(place) => {
                self.queries[place] -= 1;
                if let At::Open { unread, .. } = &mut self.clients[place] {
                    *unread += 1;
                }
            }
            Move::Heard(place) => {
                if let At::Open { unread, .. } = &mut self.clients[place] {
                    *unread -= 1;
                }
                self.tell(place, client::Event::Message(MessageKind::Query));
            }
            Move::Served(place) => self.ends(place, request::Event::AttemptEnded { answered: true }),
            Move::Refused(place) => self.ends(place, request::Event::Rejected { wait: 0 }),
            Move::Leaves(place) => {
                let asking = matches!(self.clients[place], At::Open { asked: Some(_), .. });
                match asking {
                    true => self.ends(place, request::Event::Disconnected),
                    false => self.tell(place, client::Event::Disconnected(End::ClientLeft)),
                }
            }
            Move::Stopped(place) | Move::Idle(place) => {
                let At::Open { life, unread, .. } = &self.clients[place] else { return };
                let unread = *unread > 0;
                let due = client::Event::Due { unread, partial_at: None };
                let _ = life;
                let told = if *event == Move::Stopped(place) { client::Event::Stop { unread } } else { due };
                self.tell(place, told);
            }
            Move::Term => drop(self.gateway.on(now, gateway::Event::Stop)),
            Move::Drain => {
                self.drains -= 1;
                self.gateway.on(now, gateway::Event::Drain);
                if self.gateway.serving_state().reports_ready() {
                    self.broken = Some(BACK);
                }
            }
            Move::Resume => {
                self.gateway.on(now, gateway::Event::Resume);
                if !self.gateway.serving_state().reports_ready() {
                    self.broken = Some(BACK);
                }
            }
            Move::Reload(usable) => {
                self.reloads -= 1;
                let before = self.discovery;
                if self.gateway.on(now, gateway::Event::Reload { usable }) == gateway::Action::ApplySettings {
                    self.discovery += 1;
                }
                if !usable && self.discovery != before {
                    self.broken = Some(OLD);
                }
            }
            Move::Due => {
                self.now = self.gateway.due().unwrap_or(now);
                self.gateway.on(self.now, gateway::Event::Due);
            }
            Move::Looks => {
                let (clients, attempts) = self.held();
                let ended = self.gateway.on(now, gateway::Event::Remaining { clients, attempts });
                if ended == gateway::Action::End && (clients, attempts) != (0, 0) {
                    self.broken = Some(HELD);
                }
                // The look comes again and again: a run that only looks would never be over.
                if (clients, attempts) == (0, 0) && self.gateway.stage() != gateway::Stage::Ended {
                    self.broken = Some(ENDS);
                }
            }
        }
    }

    fn told(&self, event: &Move) -> String {
        match event {
            Move::Connects(place) => format!("client {place} connects"),
            Move::Accepted(place) => format!("client {place} is accepted and welcomed"),
            Move::Sends(place) => format!("client {place} sends a query"),
            Move::Heard(place) => format!("the query of client {place} is read"),
            Move::Served(place) => format!("a host answers client {place}"),
            Move::Refused(place) => format!("client {place} is refused"),
            Move::Leaves(place) => format!("client {place} leaves"),
            Move::Stopped(place) => format!("client {place} is to be closed for the stop"),
            Move::Idle(place) => format!("client {place} has been idle for its span"),
            Move::Term => "SIGTERM".into(),
            Move::Drain => "the staff calls drain".into(),
            Move::Resume => "the staff calls resume".into(),
            Move::Reload(usable) => format!("SIGHUP; the file can be used: {usable}"),
            Move::Due => "the span of the last clients is over".into(),
            Move::Looks => "the gateway looks whether anything is held".into(),
        }
    }

    fn broken(&self) -> Option<&'static str> {
        self.broken
    }

    fn broken_at_end(&self) -> Option<&'static str> {
        (self.gateway.stage() != gateway::Stage::Ended).then_some(ENDS)
    }
}

/// Plays it.
pub fn run(size: Size, path: &[String]) -> Report {
    let count = if size == Size::Small { 2 } else { 3 };
    let start = Stops {
        now: 1_000_000,
        gateway: Gateway::default(),
        clients: vec![At::Away; count],
        queries: vec![2; count],
        reloads: 2,
        drains: 1,
        discovery: 0,
        broken: None,
    };
    check(start, path)
}
