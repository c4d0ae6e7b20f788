//! Models `attempt`, `primary` and `desk`: requests before the real desk and decision module, each attempt a real
//! machine; the clients, the hosts, the list and the time are the world's. Time passes in granules; what the module
//! does at each is carried out at once, and all else comes in every order between two of them.

use crate::check::{check, Report, World};
use crate::Size;
use petrelgauge_lifecycle::ending::End;
use petrelgauge_lifecycle::exchange::{Event, Exchange};
use petrelgauge_lifecycle::request_table::{Order, Outcome, Request, RequestTable, Send};
use petrelgauge_policy::*;

const GROUP: GroupId = 2;
/// Time passes by this much.
const GRANULE: Time = 250_000;
const START: Time = 1_000_000_000;
/// A draining member gets nothing new after this span.
const GRACE: Time = GRANULE;
/// Repeats of a payment are dropped for this long after the first attempt that may have run.
const WINDOW: Time = 1_000_000;

const ONE: &str = "each request gets one final answer and only one";
const ALONE: &str = "there are never two attempts of a request at once";
const DRAIN: &str = "nothing is sent to a draining member after the limit";
const GONE: &str = "nothing is sent for a request whose client has left or has its answer";
const REPEAT: &str = "no payment that may have run is sent again outside its class or its key's window";
const HARMLESS: &str = "a payment that may have run is never refused as harmless";
const COUNT: &str = "no request has more attempts than allowed";
const OUT: &str = "every attempt is reported exactly once";
const ENDS: &str = "nothing waits for ever, and in the end nothing is held";

/// What a host can say to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Says {
    /// The row.
    Row,
    /// Not the primary, or too far behind.
    Away,
    /// It may have run.
    Error,
}

/// An event.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Move {
    /// A granule passes, and the module is stepped.
    Passes,
    /// The request of this attempt is written whole.
    Reaches(usize),
    /// The host refuses the connection.
    Refuses(usize),
    /// The host answers.
    Answers(usize, Says),
    /// The connection breaks after the request.
    Breaks(usize),
    /// The attempt's limit comes.
    Due(usize),
    /// The calling off of an attempt takes effect.
    CalledOff(usize),
    /// The client of this request leaves.
    Leaves(usize),
    /// The list changes.
    Listed,
}

/// A change of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    Drains(MemberId),
    Leads(MemberId),
    Restarted(MemberId),
}

#[derive(Clone, Debug)]
struct Asked {
    id: RequestId,
    class: usize,
    until: Time,
    finals: u8,
    left: bool,
}

#[derive(Clone, Debug)]
struct Out {
    send: Send,
    life: Exchange,
    /// It was written whole, and the host did not turn it away.
    may_have_run: bool,
    cancelled: bool,
    reported: bool,
}

#[derive(Clone, Debug)]
struct Play {
    desk: RequestTable,
    now: Time,
    horizon: Time,
    /// Who truly leads.
    leads: MemberId,
    asked: Vec<Asked>,
    out: Vec<Out>,
    changes: Vec<Change>,
    drained: Option<(MemberId, Time)>,
    may_leave: bool,
    most: usize,
    writes: Vec<Effect>,
    broken: Option<&'static str>,
}

/// Most attempts for one request.
const MOST: usize = 3;

fn class(name: &str, need: Need, effect: Effect, latency_target: Time) -> Class {
    Class {
        name: name.into(),
        need,
        effect,
        attempts: MOST as u32,
        latency_target,
        deadline: 8_000_000,
        priority_weight: 2.0,
        late_share: 0.5,
    }
}

impl Play {
    fn new(classes: Vec<Class>, leads: MemberId, changes: &[Change], may_leave: bool, left: Time) -> Play {
        let writes = classes.iter().map(|class| class.effect).collect();
        let most = MOST;
        let set = Settings {
            granularity: GRANULE,
            drain_grace: GRACE,
            classes: classes.clone(),
            ..Settings::default()
        };
        let desk = RequestTable::new(set, 5, None)
            .unwrap_or_else(|cause| unreachable!("constant settings: {cause}"));
        let mut play = Play {
            desk,
            now: START,
            horizon: START + left + 4 * GRANULE,
            leads,
            asked: Vec::new(),
            out: Vec::new(),
            changes: changes.to_vec(),
            drained: None,
            may_leave,
            most,
            writes,
            broken: None,
        };
        play.desk.update_endpoints(
            true,
            vec![entry(1, MemberStatus::Up, true, 0), entry(2, MemberStatus::Up, false, 0)],
        );
        for place in 0..classes.len() {
            let until = START + left;
            let request = Request {
                class: place,
                group: GROUP,
                until,
                is_retry: false,
                at: START,
                after: None,
                session: None,
            };
            let id = play.desk.admit(request);
            play.asked.push(Asked { id, class: place, until, finals: 0, left: false });
        }
        play.step();
        play
    }

    fn step(&mut self) {
        let (orders, _) = self.desk.tick(self.now);
        orders.into_iter().for_each(|order| self.carry_out(order));
        self.compare();
    }

    fn breaks(&mut self, what: &'static str) {
        self.broken = self.broken.or(Some(what));
    }

    fn place(&self, id: &RequestId) -> usize {
        self.asked.iter().position(|asked| asked.id == *id).unwrap_or(0)
    }

    fn of<'a>(&'a self, id: &'a RequestId) -> impl Iterator<Item = &'a Out> {
        self.out.iter().filter(move |out| out.send.request == *id)
    }

    fn carry_out(&mut self, order: Order) {
        match order {
            Order::Send(send) => self.sends(send),
            Order::Reject { request, .. } => {
                let place = self.place(&request);
                if self.writes[self.asked[place].class] != Effect::Safe
                    && self.of(&request).any(|out| out.may_have_run)
                {
                    self.breaks(HARMLESS);
                }
                self.ends(place);
            }
            Order::Fail { request } => self.ends(self.place(&request)),
            Order::Cancel { request, attempt } => {
                for out in &mut self.out {
                    out.cancelled |= out.send.request == request && out.send.attempt == attempt;
                }
            }
            Order::Log(_) => {}
        }
    }

    fn sends(&mut self, send: Send) {
        let asked = self.asked[self.place(&send.request)].clone();
        if asked.left || asked.finals > 0 || self.now >= asked.until {
            self.breaks(GONE);
        }
        if self.of(&send.request).any(|out| !out.reported) {
            self.breaks(ALONE);
        }
        if self.of(&send.request).count() >= self.most {
            self.breaks(COUNT);
        }
        if self.drained.is_some_and(|(member, told)| member == send.host && self.now > told + GRACE) {
            self.breaks(DRAIN);
        }
        let first = self.of(&send.request).find(|out| out.may_have_run).map(|out| out.send.at);
        let repeats = match (self.writes[asked.class], first) {
            (_, None) | (Effect::Safe, _) => true,
            (Effect::Keyed { window, .. }, Some(first)) => self.now <= first + window,
            (Effect::Unsafe, Some(_)) => false,
        };
        if !repeats {
            self.breaks(REPEAT);
        }
        // Connections do not rest here: the model `connection` has that.
        let life =
            Exchange::new(false, self.now, self.now + 3 * GRANULE, send.until).written_by(send.write_by);
        self.out.push(Out { send, life, may_have_run: false, cancelled: false, reported: false });
    }

    /// What counts for the window of a key is when a repeat was written, however long its connection took.
    fn judge_repeat(&mut self, place: usize) {
        let request = self.out[place].send.request.clone();
        let Effect::Keyed { window, .. } = self.writes[self.asked[self.place(&request)].class] else {
            return;
        };
        let first = self.of(&request).find(|out| out.may_have_run).map(|out| out.send.at);
        if first.is_some_and(|first| self.now > first + window) {
            self.breaks(REPEAT);
        }
    }

    fn ends(&mut self, place: usize) {
        let asked = &mut self.asked[place];
        asked.finals += 1;
        if asked.finals > 1 {
            self.breaks(ONE);
        }
    }

    fn tell(&mut self, place: usize, event: Event) {
        let now = self.now;
        self.out[place].life.on(now, event);
        let Some(end) = self.out[place].life.ended() else { return };
        // Closed first, told then: there is no other way to the end.
        let Some((_, told)) = self.out[place].life.clone().finish(false) else { return };
        if matches!(end, End::Rejected | End::QueueFull) {
            self.out[place].may_have_run = false;
        }
        self.out[place].reported = true;
        let send = self.out[place].send.clone();
        let leads = send.host == self.leads;
        let role = told.end.is_answer().then_some(if leads { Role::Primary } else { Role::Replica });
        let position = told.end.is_answer().then_some(if leads { now } else { now - 20_000 });
        let outcome = Outcome { role, position, ..Outcome::silent(told.end.as_ending()) };
        if self.desk.report(now, &send, outcome) {
            self.ends(self.place(&send.request));
        }
        self.compare();
    }

    /// What the desk takes to be out is what is out.
    fn compare(&mut self) {
        let out = self.out.iter().filter(|out| !out.reported).count();
        if self.desk.in_flight().1 != out {
            self.breaks(OUT);
        }
    }
}

fn entry(member: MemberId, status: MemberStatus, primary: bool, started: Time) -> Entry {
    Entry { member, group: GROUP, zone: String::new(), weight: 1.0, started, status, primary }
}

impl World for Play {
    type Move = Move;

    const PROPERTIES: &'static [&'static str] =
        &[ONE, ALONE, DRAIN, GONE, REPEAT, HARMLESS, COUNT, OUT, ENDS];

    fn moves(&self) -> Vec<Move> {
        let mut moves = Vec::new();
        let mut held = false;
        for (place, out) in self.out.iter().enumerate().filter(|(_, out)| !out.reported) {
            if out.cancelled {
                moves.push(Move::CalledOff(place));
                held = true;
            }
            if self.now >= out.life.due() {
                moves.push(Move::Due(place));
                held = true;
            }
            if out.life.may_have_run() {
                let write = self.writes[self.asked[self.place(&out.send.request)].class] != Effect::Safe;
                if !write || out.send.host == self.leads {
                    moves.push(Move::Answers(place, Says::Row));
                }
                if out.send.host != self.leads {
                    moves.push(Move::Answers(place, Says::Away));
                }
                moves.extend([Move::Answers(place, Says::Error), Move::Breaks(place)]);
            } else {
                moves.extend([Move::Reaches(place), Move::Refuses(place)]);
            }
        }
        if self.may_leave {
            let open = |asked: &Asked| !asked.left && asked.finals == 0;
            let leaving = self.asked.iter().enumerate().filter(|(_, asked)| open(asked));
            moves.extend(leaving.map(|(place, _)| Move::Leaves(place)));
        }
        if !self.changes.is_empty() {
            moves.push(Move::Listed);
        }
        // Neither a limit nor a calling off is later than the next step.
        let out = self.out.iter().any(|out| !out.reported);
        let open = self.asked.iter().any(|asked| asked.finals == 0 && !asked.left);
        if !held && (self.now < self.horizon) && (out || open) {
            moves.push(Move::Passes);
        }
        // What the list still has to say is of no interest once all is over.
        if !out && !open {
            moves.clear();
        }
        moves
    }

    fn play(&mut self, event: &Move) {
        match *event {
            Move::Passes => {
                self.now += GRANULE;
                self.step();
            }
            Move::Reaches(place) => {
                for event in [Event::Connected, Event::Greeted, Event::Written] {
                    if self.out[place].life.ended().is_none() {
                        self.out[place].may_have_run = event == Event::Written;
                        self.tell(place, event);
                    }
                }
                if self.out[place].may_have_run {
                    self.judge_repeat(place);
                }
            }
            Move::Refuses(place) => self.tell(place, Event::Refused),
            Move::Breaks(place) => self.tell(place, Event::Broke),
            Move::Due(place) => self.tell(place, Event::Due),
            Move::CalledOff(place) => self.tell(place, Event::Cancelled),
            Move::Answers(place, says) => {
                let end = match says {
                    Says::Row => End::Served,
                    Says::Away => End::Rejected,
                    Says::Error => End::HostError,
                };
                self.tell(place, Event::Answered { end, copy: false });
            }
            Move::Leaves(place) => {
                self.asked[place].left = true;
                let id = self.asked[place].id.clone();
                self.desk.abandon(&id);
            }
            Move::Listed => match self.changes.remove(0) {
                Change::Drains(member) => {
                    self.drained = Some((member, self.now));
                    self.desk
                        .update_endpoints(false, vec![entry(member, MemberStatus::Draining, member == 1, 0)]);
                }
                Change::Leads(member) => {
                    self.desk.update_endpoints(false, vec![entry(member, MemberStatus::Up, true, 0)])
                }
                Change::Restarted(member) => {
                    self.desk.update_endpoints(false, vec![entry(member, MemberStatus::Up, false, self.now)]);
                }
            },
        }
    }

    fn told(&self, event: &Move) -> String {
        let at = (self.now - START) as f64 / 1e6;
        let of = |place: usize| {
            let Send { request, attempt, host, .. } = &self.out[place].send;
            format!("attempt {} of request {request} at host {host}", attempt + 1)
        };
        let what = match event {
            Move::Passes => "a quarter of a second passes, and the decisions are made".into(),
            Move::Reaches(place) => format!("{} is written whole", of(*place)),
            Move::Refuses(place) => format!("{} gets no connection", of(*place)),
            Move::Breaks(place) => format!("{} loses its connection", of(*place)),
            Move::Due(place) => format!("{} comes to its limit", of(*place)),
            Move::CalledOff(place) => format!("{} is called off", of(*place)),
            Move::Answers(place, Says::Row) => format!("{} is answered", of(*place)),
            Move::Answers(place, Says::Away) => format!("{} is turned away", of(*place)),
            Move::Answers(place, Says::Error) => format!("{} ends in an error", of(*place)),
            Move::Leaves(place) => format!("the client of request {place} leaves"),
            Move::Listed => format!("the list says: {:?}", self.changes[0]),
        };
        format!("after {at:.2} s {what}")
    }

    fn broken(&self) -> Option<&'static str> {
        self.broken
    }

    fn broken_at_end(&self) -> Option<&'static str> {
        let answered = self.asked.iter().all(|asked| asked.left || asked.finals == 1);
        (self.desk.in_flight() != (0, 0) || !answered).then_some(ENDS)
    }
}

fn payment() -> Class {
    class("pay", Need::Write, Effect::Keyed { window: WINDOW, scope: Scope::Group }, 1_000_000)
}

fn span(size: Size, granules: Time) -> Time {
    GRANULE * (granules + if size == Size::Large { 2 } else { 0 })
}

/// One payment, one drain of the primary's host.
pub fn attempt(size: Size, path: &[String]) -> Report {
    check(Play::new(vec![payment()], 1, &[Change::Drains(1)], false, span(size, 8)), path)
}

/// A payment and a bounded read; the list names an old primary.
pub fn primary(size: Size, path: &[String]) -> Report {
    let read = class("view", Need::Bounded(300_000), Effect::Safe, 1_000_000);
    let changes = [Change::Leads(2), Change::Restarted(1)];
    check(Play::new(vec![payment(), read], 2, &changes, false, span(size, 5)), path)
}

/// A write that must not run twice and a read of any data, whose clients may leave.
pub fn desk(size: Size, path: &[String]) -> Report {
    let write = class("once", Need::Write, Effect::Unsafe, 1_000_000);
    let read = class("any", Need::Eventual, Effect::Safe, 1_000_000);
    check(Play::new(vec![write, read], 1, &[], true, span(size, 5)), path)
}
