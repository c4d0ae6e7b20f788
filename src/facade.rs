//! The decisions in blocking style, for code that serves connections: ask, pick, report, tick.
//!
//! A [`Facade`] owns the [`Router`]. A front admits a [`Request`] and gets a [`Ticket`]; [`Ticket::pick`]
//! waits for the next [`Decision`]. A send comes with an [`Attempt`], which is reported once. Nothing in here
//! knows of a protocol or of sockets, and nobody outside sees the router's events and actions.
//!
//! What comes in is kept in order and handed to the router in batches, at most one per granularity: whoever
//! owns the facade calls [`Facade::tick`] at the time it names, or when [`Facade::woken`] returns.

use petrelgauge_policy::*;
use petrelgauge_sessions::{BulletinError, Counts, Floor, Keeper, Key, Snapshot, Token, TokenError, Verdict};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot, Notify};

/// A request, in no protocol's words.
#[derive(Clone, Debug)]
pub struct Request {
    /// Place of its class in the settings.
    pub class: usize,
    /// Its group.
    pub group: GroupId,
    /// Clock time at which the client gives it up.
    pub until: Time,
    /// The client marked it as a repeat.
    pub repeat: bool,
    /// Clock time at which it came.
    pub at: Time,
    /// Commit that its client says its data must hold.
    pub after: Option<Time>,
    /// Its session, if its class carries sessions.
    pub session: Option<Visit>,
}

/// A session's request.
#[derive(Clone, Debug)]
pub struct Visit {
    /// The session in the request's group.
    pub key: Key,
    /// The token that the client brought.
    pub token: Option<Token>,
}

/// What the decisions say of a request.
#[derive(Debug)]
pub enum Decision {
    /// Send it; the attempt says where to and until when. Another decision may follow.
    Send(Attempt),
    /// Final: refused, harmless to try again, after `wait` if that is not 0.
    Refuse {
        /// How long the client should stay away.
        wait: Time,
    },
    /// Final: failed, nothing promised.
    Fail,
}

/// How an attempt ended and what the member said with it.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// How it ended.
    pub ending: Ending,
    /// Clock time up to which the member has applied all commits; for a served write its commit.
    pub position: Option<Time>,
    /// The member's role.
    pub role: Option<Role>,
    /// The member's load report.
    pub report: Report,
    /// The member says that the request itself cannot be used: that is its answer, and no other is asked.
    pub unusable: bool,
}

impl Outcome {
    /// An ending with which nobody said anything.
    pub fn silent(ending: Ending) -> Outcome {
        Outcome { ending, position: None, role: None, report: Report::default(), unusable: false }
    }
}

/// The decisions, shared by all tasks of a gateway.
#[derive(Clone)]
pub struct Facade(Rc<Inner>);

struct Inner {
    state: RefCell<State>,
    woken: Notify,
    /// Classes, by place, that carry sessions; none where none are kept.
    carrying: Vec<bool>,
    /// Classes, by place, that write.
    writes: Vec<bool>,
}

struct State {
    router: Router,
    granularity: Time,
    stepped_at: Time,
    timer_at: Option<(Time, u64)>,
    /// What came in since the last step, in order. A request's `time_left` is its end here, as a clock time;
    /// an outcome's `took` is the span when it came in.
    queue: Vec<Event>,
    next: u64,
    open: BTreeMap<RequestId, Open>,
    out: BTreeMap<(RequestId, u32), oneshot::Sender<()>>,
    groups: BTreeSet<GroupId>,
    keeper: Option<Keeper>,
    /// Sessions whose writes were given up by their clients since the last look at the clock.
    unsure: Vec<Key>,
    /// Highest position that each listed member told.
    told: BTreeMap<MemberId, Time>,
}

struct Open {
    decisions: Inbox,
    attempts: u32,
    watch: Option<Watch>,
}

/// What is owed to the session of an open request.
struct Watch {
    key: Key,
    arrived: Time,
    /// What a read must prove; none for a write.
    floor: Option<Floor>,
    /// What the member had told when the last attempt went out.
    before: Option<Time>,
}

impl Facade {
    /// A facade for these settings. The seed is its only source of chance.
    pub fn new(settings: Settings, seed: u64) -> Result<Facade, SettingsError> {
        Facade::with_sessions(settings, seed, None)
    }

    /// A facade that keeps sessions, for the classes of these places.
    pub fn with_sessions(
        settings: Settings,
        seed: u64,
        sessions: Option<(Keeper, Vec<usize>)>,
    ) -> Result<Facade, SettingsError> {
        let (keeper, places) = sessions.unzip();
        let places = places.unwrap_or_default();
        let carrying = (0..settings.classes.len()).map(|place| places.contains(&place)).collect();
        let writes = settings.classes.iter().map(|class| class.need == Need::Write).collect();
        let state = State {
            granularity: settings.granularity,
            router: Router::new(settings, seed)?,
            stepped_at: Time::MIN / 2,
            timer_at: None,
            queue: Vec::new(),
            next: 0,
            open: BTreeMap::new(),
            out: BTreeMap::new(),
            groups: BTreeSet::new(),
            keeper,
            unsure: Vec::new(),
            told: BTreeMap::new(),
        };
        Ok(Facade(Rc::new(Inner { state: RefCell::new(state), woken: Notify::new(), carrying, writes })))
    }

    /// Whether requests of the class of this place carry sessions.
    pub fn carries(&self, class: usize) -> bool {
        self.0.carrying.get(class).copied().unwrap_or(false)
    }

    /// Whether sessions are kept at all.
    pub fn keeps_sessions(&self) -> bool {
        self.0.carrying.contains(&true)
    }

    /// The group that a token is for, if it can be used here.
    pub fn group_of(&self, token: &str) -> Result<GroupId, TokenError> {
        let state = self.0.state.borrow();
        let keeper =
            state.keeper.as_ref().filter(|keeper| keeper.settings().tokens).ok_or(TokenError::Off)?;
        Token::read(token, keeper.settings().secret).map(|token| token.key.group)
    }

    /// The visit of a session, with what its client brought of it. An unusable token is an error.
    pub fn visit(
        &self,
        at: Time,
        group: GroupId,
        name: &str,
        tokens: &[&str],
    ) -> Result<Option<Visit>, TokenError> {
        let state = self.0.state.borrow();
        let Some(keeper) = &state.keeper else { return Ok(None) };
        let key = keeper.key(group, name);
        let mut token: Option<Token> = None;
        for text in tokens {
            let read = keeper.take_token(at, text, key)?;
            token = Some(token.map_or(read, |known| known.join(read)));
        }
        Ok(Some(Visit { key, token }))
    }

    /// The token that goes with an answer to this session, where clients carry tokens.
    pub fn token(&self, now: Time, key: Key) -> Option<String> {
        self.0.state.borrow().keeper.as_ref()?.token(now, key)
    }

    /// Counts of the sessions, if they are kept.
    pub fn session_counts(&self) -> Option<(Counts, u64)> {
        self.0.state.borrow().keeper.as_ref().map(|keeper| (keeper.counts(), keeper.holes()))
    }

    /// A datagram of another instance came. Reads that wait may need less now.
    pub fn hear(&self, now: Time, bytes: &[u8]) -> Result<(), BulletinError> {
        let mut state = self.0.state.borrow_mut();
        let State { keeper, open, queue, .. } = &mut *state;
        let Some(keeper) = keeper else { return Ok(()) };
        keeper.receive(now, bytes)?;
        for (request, open) in open.iter_mut() {
            let Some(Watch { key, floor: Some(floor), .. }) = &mut open.watch else { continue };
            if let Some(less) = keeper.settle(now, *key, floor) {
                *floor = less;
                queue.push(Event::Floor { request: request.clone(), floor: less.need() });
            }
        }
        drop(state);
        self.0.woken.notify_one();
        Ok(())
    }

    /// Datagrams for every other instance that are due now, and when to call again.
    pub fn tell(&self, now: Time) -> (Vec<Vec<u8>>, Option<Time>) {
        let mut state = self.0.state.borrow_mut();
        let Some(keeper) = &mut state.keeper else { return (Vec::new(), None) };
        (keeper.tell(now), keeper.due())
    }

    /// The marks of this moment, if sessions are kept.
    pub fn snapshot(&self, now: Time, clean: bool) -> Option<Snapshot> {
        self.0.state.borrow().keeper.as_ref().map(|keeper| keeper.snapshot(now, clean))
    }

    /// Takes a request in.
    pub fn admit(&self, request: Request) -> Ticket {
        let (decisions, inbox) = mpsc::unbounded_channel();
        let mut state = self.0.state.borrow_mut();
        // A number of its own: what clients call their requests may come twice.
        let id: RequestId = state.next.to_string().into();
        state.next += 1;
        state.look(request.at);
        let write = self.0.writes.get(request.class).copied().unwrap_or(false);
        let watch = match (&mut state.keeper, request.session) {
            (Some(keeper), Some(Visit { key, token })) => {
                let floor = (!write).then(|| keeper.ask(request.at, key, token.as_ref()));
                if let (true, Some(token)) = (write, &token) {
                    keeper.bring(request.at, key, token);
                }
                Some(Watch { key, arrived: request.at, floor, before: None })
            }
            _ => None,
        };
        let needed = watch.as_ref().and_then(|watch| watch.floor).map(|floor| floor.need());
        state.open.insert(id.clone(), Open { decisions, attempts: 0, watch });
        state.queue.push(Event::Request {
            request: id.clone(),
            class: request.class,
            group: request.group,
            time_left: request.until,
            repeat: request.repeat,
            floor: needed.max(request.after),
        });
        drop(state);
        self.0.woken.notify_one();
        Ticket { facade: self.clone(), id, inbox }
    }

    /// News of the list: whole, or only what changed.
    pub fn list(&self, whole: bool, entries: Vec<Entry>) {
        let mut state = self.0.state.borrow_mut();
        if whole {
            state.groups.clear();
        }
        state.groups.extend(entries.iter().map(|entry| entry.group));
        let gone = |entry: &&Entry| entry.standing == Standing::Gone;
        let left: Vec<MemberId> = entries.iter().filter(gone).map(|entry| entry.member).collect();
        let named: BTreeSet<MemberId> = entries.iter().map(|entry| entry.member).collect();
        state.told.retain(|id, _| !left.contains(id) && (!whole || named.contains(id)));
        state.queue.push(Event::List { whole, entries: entries.into() });
        drop(state);
        self.0.woken.notify_one();
    }

    /// Whether the list may hold this group: it named it since it was last whole, or has named none so far.
    pub fn may_serve(&self, group: GroupId) -> bool {
        let state = self.0.state.borrow();
        state.groups.is_empty() || state.groups.contains(&group)
    }

    /// Waits until something came in that a step has not seen.
    pub async fn woken(&self) {
        self.0.woken.notified().await;
    }

    /// Steps the router if it is time, and says when to call again at the latest.
    pub fn tick(&self, now: Time) -> Option<Time> {
        let mut state = self.0.state.borrow_mut();
        let earliest = state.stepped_at.saturating_add(state.granularity);
        let timer = state.timer_at.filter(|(at, _)| *at <= now);
        if now < earliest || (state.queue.is_empty() && timer.is_none()) {
            let due = if state.queue.is_empty() { state.timer_at.map(|(at, _)| at) } else { Some(earliest) };
            return due.map(|at| at.max(earliest));
        }
        state.stepped_at = now;
        state.look(now);
        let mut events = std::mem::take(&mut state.queue);
        for event in &mut events {
            if let Event::Request { time_left, .. } = event {
                *time_left -= now;
            }
        }
        if let Some((_, token)) = timer {
            state.timer_at = None;
            events.push(Event::Timer { token });
        }
        let mut actions = Vec::new();
        state.router.step(now, &events, &mut actions);
        // Handed over when the state is free again: an attempt that nobody takes reports itself.
        let handed: Vec<_> =
            actions.into_iter().filter_map(|action| self.carry_out(&mut state, now, action)).collect();
        let next = state.timer_at.map(|(at, _)| at.max(now + state.granularity));
        drop(state);
        for (inbox, decision) in handed {
            let _ = inbox.send(decision);
        }
        next
    }

    fn carry_out(&self, state: &mut State, now: Time, action: Action) -> Option<(Inbox, Decision)> {
        match action {
            Action::Send { request, member, until } => {
                let open = state.open.get_mut(&request)?;
                let (number, inbox) = (open.attempts, open.decisions.clone());
                open.attempts += 1;
                if let Some(watch) = &mut open.watch {
                    watch.before = state.told.get(&member).copied();
                }
                let (caller, called_off) = oneshot::channel();
                state.out.insert((request.clone(), number), caller);
                let facade = self.clone();
                let attempt = Attempt {
                    facade,
                    request,
                    number,
                    host: member,
                    until,
                    sent: now,
                    called_off,
                    reported: false,
                };
                return Some((inbox, Decision::Send(attempt)));
            }
            Action::Refuse { request, wait } => {
                return Some((state.end(now, &request)?.decisions, Decision::Refuse { wait }));
            }
            Action::Fail { request } => {
                return Some((state.end(now, &request)?.decisions, Decision::Fail));
            }
            Action::CallOff { request, attempt } => {
                let caller = state.out.remove(&(request, attempt))?;
                let _ = caller.send(());
            }
            Action::Timer { token, at } => state.timer_at = Some((at, token)),
            Action::Note { text } => log::info!("{text}"),
            // The gateway's settings forbid probes, and it watches the list all the time unasked.
            Action::Probe { .. } | Action::WatchList | Action::ReadList => {}
        }
        None
    }
}

impl State {
    /// Learns the time: what was given up before it, and may have run, was committed before it.
    fn look(&mut self, now: Time) {
        let Some(keeper) = &mut self.keeper else { return };
        self.unsure.drain(..).for_each(|key| keeper.unsure(now, key));
    }

    /// A request ends without having been served.
    fn end(&mut self, now: Time, request: &RequestId) -> Option<Open> {
        let open = self.open.remove(request)?;
        if let (Some(keeper), Some(Watch { key, floor: None, .. })) = (&mut self.keeper, &open.watch) {
            if open.attempts > 0 {
                keeper.unsure(now, *key);
            }
        }
        Some(open)
    }

    /// A member served an open request. Whether that is the answer: for a session's read it must prove its floor.
    fn served(&mut self, now: Time, request: &RequestId, outcome: &Outcome) -> bool {
        let Some(keeper) = &mut self.keeper else { return true };
        let Some(Watch { key, arrived, floor, before }) =
            self.open.get(request).and_then(|open| open.watch.as_ref())
        else {
            return true;
        };
        let Some(floor) = floor else {
            keeper.wrote(now, *key, *arrived, outcome.position);
            return true;
        };
        if keeper.judge(floor, outcome.position, *before, outcome.role) == Verdict::Behind {
            return false;
        }
        keeper.read(now, *key, floor, outcome.position.unwrap_or(0));
        true
    }
}

type Inbox = mpsc::UnboundedSender<Decision>;

/// A request that was taken in. Dropped before its end, it is withdrawn.
pub struct Ticket {
    facade: Facade,
    id: RequestId,
    inbox: mpsc::UnboundedReceiver<Decision>,
}

impl Ticket {
    /// Waits for the next decision. After the last one it says [`Decision::Fail`].
    pub async fn pick(&mut self) -> Decision {
        self.inbox.recv().await.unwrap_or(Decision::Fail)
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut state = self.facade.0.state.borrow_mut();
        let dropped = state.open.remove(&self.id);
        if let Some(Open { attempts: 1.., watch: Some(Watch { key, floor: None, .. }), .. }) = &dropped {
            state.unsure.push(*key);
        }
        if dropped.is_some() {
            state.queue.push(Event::Withdrawn { request: self.id.clone() });
        }
        // The borrow ends here. What is still in the inbox goes after it: that may be an attempt, which
        // reports itself.
        drop(state);
        self.facade.0.woken.notify_one();
    }
}

/// An attempt to make. It is reported exactly once: by [`Attempt::report`], or when it is dropped. Without
/// that the router would count it as out for good, and its member would lose room.
pub struct Attempt {
    facade: Facade,
    request: RequestId,
    number: u32,
    /// The member to send to.
    pub host: MemberId,
    /// Clock time at which to give it up.
    pub until: Time,
    sent: Time,
    called_off: oneshot::Receiver<()>,
    reported: bool,
}

impl Attempt {
    /// Waits until the attempt is to be given up before its time.
    pub async fn called_off(&mut self) {
        if (&mut self.called_off).await.is_err() {
            std::future::pending().await
        }
    }

    /// Reports how the attempt ended. True if the member answered and its request is still open: then what
    /// the member said is the request's final answer, and the caller owes it to the client.
    pub fn report(mut self, now: Time, outcome: Outcome) -> bool {
        self.tell(now, outcome)
    }

    fn tell(&mut self, now: Time, mut outcome: Outcome) -> bool {
        self.reported = true;
        let mut state = self.facade.0.state.borrow_mut();
        state.out.remove(&(self.request.clone(), self.number));
        if outcome.ending == Ending::Served && !state.served(now, &self.request, &outcome) {
            // Its data were too old: as if the member had turned the read away by itself.
            outcome.ending = Ending::TurnedAway;
        }
        if let (Some(position), Some(Role::Replica)) = (outcome.position, outcome.role) {
            if state.keeper.is_some() {
                let told = state.told.entry(self.host).or_default();
                *told = position.max(*told);
            }
        }
        let answered = outcome.ending == Ending::Served || outcome.unusable;
        // Closed here and not by the next step: no refusal may overtake an answer.
        let answers = answered && state.open.remove(&self.request).is_some();
        let closed = answered || !state.open.contains_key(&self.request);
        state.queue.push(Event::Outcome {
            request: self.request.clone(),
            attempt: self.number,
            member: self.host,
            ending: outcome.ending,
            took: (now - self.sent).max(0),
            closed,
            position: outcome.position,
            role: outcome.role,
            report: outcome.report,
        });
        drop(state);
        self.facade.0.woken.notify_one();
        answers
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !self.reported {
            // Never tried: its client left before it was taken up.
            self.tell(self.sent, Outcome::silent(Ending::NotSent));
        }
    }
}

impl std::fmt::Debug for Attempt {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "attempt {} of {} at {}", self.number, self.request, self.host)
    }
}
