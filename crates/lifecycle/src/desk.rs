//! The desk: requests come in, decisions go out, attempts are reported, and each request ends once.
//!
//! It stands between the decision module, which is stepped with batches of events, and whoever serves connections.
//! What comes in is kept in order and handed over in batches, at most one per granularity.
//!
//! A request is **open** until it has its one end: served or unusable (by a report), refused or failed (by the
//! module), or withdrawn (its client left). An attempt is **out** from its order until its report, also when its
//! request has ended. A report tells whether its answer is owed to the client: only while the request is open, and
//! never if the session of the request would find it too old.

use crate::rules::{Full, Rules};
use petrelgauge_policy::*;
use petrelgauge_sessions::{
    BulletinError, Counts, Floor, Keeper, Key, SessionTokens, Snapshot, Token, TokenError, Verdict,
};
use std::collections::{BTreeMap, BTreeSet};

/// A request, in no protocol's words.
#[derive(Clone, Debug)]
pub struct Request {
    /// Place of its class, as [`Desk::find`] gave it.
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
    pub session: Option<SessionRef>,
}

/// A session's request.
#[derive(Clone, Debug)]
pub struct SessionRef {
    /// The session in the request's group.
    pub key: Key,
    /// The token that the client brought.
    pub token: Option<Token>,
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

/// What is to be done, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Make this attempt.
    Send(Send),
    /// The request has its end: refused, harmless to try again, after `wait` if that is not 0.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client should stay away.
        wait: Time,
    },
    /// The request has its end: failed, nothing promised.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Give up an attempt before its time: close its connection, then report it.
    CallOff {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// A line for the staff.
    Note(String),
}

/// An attempt to make. It must be reported once.
#[derive(Clone, Debug, PartialEq)]
pub struct Send {
    /// Its request.
    pub request: RequestId,
    /// Its number, from 0.
    pub attempt: u32,
    /// The member to send to.
    pub host: MemberId,
    /// Clock time at which to give it up.
    pub until: Time,
    /// Clock time by which it must be written, if at all: a repeat with a key, within the key's window.
    pub write_by: Time,
    /// When it was ordered.
    pub at: Time,
}

/// All requests and attempts of a gateway. Bounded by what clients may hold open; an attempt stays until its report.
#[derive(Clone, Debug)]
pub struct Desk {
    router: Router,
    granularity: Time,
    stepped_at: Time,
    timer_at: Option<(Time, u64)>,
    /// What came in since the last step, in order. A request's `time_left` is its end here, as a clock time;
    /// an outcome's `took` is the span when it came in.
    queue: Vec<Event>,
    next: u64,
    open: BTreeMap<RequestId, Open>,
    out: BTreeMap<(RequestId, u32), Errand>,
    groups: BTreeSet<GroupId>,
    /// Members that the list names.
    listed: BTreeSet<MemberId>,
    rules: Rules,
    /// What holds beside the classes.
    settings: Settings,
    /// Places of classes that carry sessions.
    carrying: BTreeSet<usize>,
    keeper: Option<Keeper>,
    /// Sessions whose writes were given up by their clients since the last look at the clock.
    unsure: Vec<Key>,
    /// Highest position that each listed member told.
    told: BTreeMap<MemberId, Time>,
    /// Requests that came for each listed group so far.
    asked: BTreeMap<GroupId, u64>,
}

/// Why new settings were not taken.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NotTaken {
    /// They make no sense.
    Unsound(SettingsError),
    /// There are open requests of too many classes.
    Full,
    /// They ask for sessions, which are switched on at the start only.
    Sessions,
}

impl std::fmt::Display for NotTaken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            NotTaken::Unsound(cause) => cause.fmt(f),
            NotTaken::Full => write!(f, "requests of too many earlier classes are still open"),
            NotTaken::Sessions => write!(f, "sessions are switched on at the start only"),
        }
    }
}

/// The settings with all classes that are in use.
fn whole(settings: &Settings, rules: &Rules) -> Settings {
    Settings { classes: rules.table().to_vec(), ..settings.clone() }
}

#[derive(Clone, Debug)]
struct Open {
    class: usize,
    attempts: u32,
    /// When the first attempt was ordered that may have run.
    ran_from: Option<Time>,
    watch: Option<Watch>,
}

/// An attempt that is out.
#[derive(Clone, Debug)]
struct Errand {
    /// Place of its class.
    class: usize,
    /// When it was ordered.
    at: Time,
    /// The session that it writes for, and when its request came.
    writes: Option<(Key, Time)>,
}

/// What is owed to the session of an open request.
#[derive(Clone, Debug)]
struct Watch {
    key: Key,
    arrived: Time,
    /// What a read must prove; none for a write.
    floor: Option<Floor>,
    /// What the member had told when the last attempt went out.
    before: Option<Time>,
}

impl Desk {
    /// A desk for these settings that keeps sessions for the classes of these places, if any. The seed is its only
    /// source of chance.
    pub fn new(
        settings: Settings,
        seed: u64,
        sessions: Option<(Keeper, Vec<usize>)>,
    ) -> Result<Desk, SettingsError> {
        let (keeper, places) = sessions.unzip();
        let places = places.unwrap_or_default();
        Ok(Desk {
            granularity: settings.granularity,
            rules: Rules::new(settings.classes.clone()),
            carrying: places.into_iter().collect(),
            settings: Settings { classes: Vec::new(), ..settings.clone() },
            router: Router::new(settings, seed)?,
            stepped_at: Time::MIN / 2,
            timer_at: None,
            queue: Vec::new(),
            next: 0,
            open: BTreeMap::new(),
            out: BTreeMap::new(),
            groups: BTreeSet::new(),
            listed: BTreeSet::new(),
            keeper,
            unsure: Vec::new(),
            told: BTreeMap::new(),
            asked: BTreeMap::new(),
        })
    }

    /// Requests without an end, and attempts without a report.
    pub fn held(&self) -> (usize, usize) {
        (self.open.len(), self.out.len())
    }

    /// Whether the class of this place carries sessions.
    pub fn carries(&self, class: usize) -> bool {
        self.carrying.contains(&class)
    }

    /// Another gateway had an answer of this member as its group's primary. No word is of a time to come.
    pub fn hearsay(&mut self, now: Time, member: MemberId, at: Time) {
        if self.listed.contains(&member) {
            self.queue.push(Event::Hearsay { member, at: at.min(now) });
        }
    }

    /// Members of a group without a primary are tried so many times as rarely as usual from now on.
    pub fn scout_every(&mut self, times: Time) {
        self.settings.scout_every = times.max(1);
        // They were sound before.
        let _ = self.router.follow(whole(&self.settings, &self.rules));
    }

    /// What this router may use of the limits of a group's members.
    pub fn share(&mut self, group: GroupId, share: Share) {
        if self.groups.contains(&group) {
            self.queue.push(Event::Share(group, share));
        }
    }

    /// Requests that came for each group that the list names.
    pub fn asked(&self) -> BTreeMap<GroupId, u64> {
        self.groups.iter().map(|group| (*group, self.asked.get(group).copied().unwrap_or(0))).collect()
    }

    /// The group of a member that the list names.
    pub fn group(&self, member: MemberId) -> Option<GroupId> {
        self.router.group_of(member)
    }

    /// Members taken for primaries, and since when by their own word.
    pub fn leaders(&self) -> Vec<(GroupId, MemberId, Time)> {
        self.router.leaders()
    }

    /// What the module has learned of the members so far.
    pub fn beliefs(&self) -> Beliefs {
        self.router.beliefs()
    }

    /// Starts from what another process has learned; to be called before the first list.
    pub fn believe(&mut self, beliefs: Beliefs) {
        self.router.believe(beliefs);
    }

    /// Clients can hold so many requests open here from now on.
    pub fn allow_open(&mut self, most: u32) {
        self.settings.most_open = most;
        // They were sound before, and the module makes nothing of this figure.
        let _ = self.router.follow(whole(&self.settings, &self.rules));
    }

    /// The place of the class that a new request names, and the class; `keyed`: the request carries a key.
    pub fn find(&self, now: Time, name: &str, keyed: bool) -> Option<(usize, Class)> {
        let place = self.rules.find(now, name, keyed)?;
        Some((place, self.rules.class(place).clone()))
    }

    /// The longest that clients of this class wait; see [`Rules::longest_wait`].
    pub fn longest_wait(&self, now: Time, name: &str) -> Time {
        self.rules.longest_wait(now, name)
    }

    /// Every request that is taken in from now on has its final answer by this time.
    pub fn answer_by(&mut self, at: Time) {
        self.settings.last = at;
        // They were sound before, and the module makes nothing of this figure.
        let _ = self.router.follow(whole(&self.settings, &self.rules));
    }

    /// The longest deadline of any class in force; shortly after a change, when others may not know of it, that of the
    /// classes before it if that is shorter.
    pub fn longest(&self, now: Time) -> Time {
        let longest = |places: &[usize]| places.iter().map(|place| self.rules.class(*place).deadline).max();
        let force = longest(self.rules.force()).unwrap_or(0);
        longest(self.rules.before(now)).map_or(force, |before| before.min(force))
    }

    /// Whether the request still waits for its end.
    pub fn is_open(&self, request: &RequestId) -> bool {
        self.open.contains_key(request)
    }

    /// Whether an attempt may still be written, as of now: its request waits for its end, and what it would read at its
    /// member is known to be fresh enough where members do not check that for themselves.
    pub fn may_go(&self, now: Time, send: &Send) -> bool {
        self.is_open(&send.request) && self.router.is_fresh(now, &send.request, send.host)
    }

    /// Counts the settings that were in force, from 1.
    pub fn version(&self) -> u64 {
        self.rules.version()
    }

    /// New settings hold from now on, for requests to come; those that are open, and their attempts, keep the classes
    /// that they were admitted with. `carrying` are the places, in these settings, of classes that carry sessions.
    /// What is wrong with them is said before anything has changed.
    pub fn follow(&mut self, now: Time, mut settings: Settings, carrying: &[usize]) -> Result<(), NotTaken> {
        settings.check().map_err(NotTaken::Unsound)?;
        if self.keeper.is_none() && !carrying.is_empty() {
            return Err(NotTaken::Sessions);
        }
        let out = self.out.values().map(|errand| errand.class);
        let used = self.open.values().map(|open| open.class).chain(out).collect();
        let mut rules = self.rules.clone();
        let classes = std::mem::take(&mut settings.classes);
        rules.follow(now, classes, &used).map_err(|Full| NotTaken::Full)?;
        (settings.scout_every, settings.last) = (self.settings.scout_every, self.settings.last);
        self.settings = settings;
        self.granularity = self.settings.granularity;
        self.router.follow(whole(&self.settings, &rules)).map_err(NotTaken::Unsound)?;
        let still = |place: &usize| rules.table()[*place] == *self.rules.class(*place);
        self.carrying.retain(|place| *place < rules.table().len() && still(place));
        self.carrying.extend(carrying.iter().map(|place| rules.force()[*place]));
        self.rules = rules;
        Ok(())
    }

    /// Whether sessions are kept at all.
    pub fn keeps_sessions(&self) -> bool {
        !self.carrying.is_empty()
    }

    /// Puts what a client set into its wallet.
    pub fn set_tokens(&self, wallet: &mut SessionTokens, text: &str) -> Result<(), TokenError> {
        let keeper = self.keeper.as_ref().filter(|keeper| keeper.settings().tokens).ok_or(TokenError::Off)?;
        wallet.set(text, keeper.settings().secret)
    }

    /// The visit of a session, with what its client brought of it. An unusable token is an error.
    pub fn visit(
        &self,
        at: Time,
        group: GroupId,
        name: &str,
        tokens: &[&str],
    ) -> Result<Option<SessionRef>, TokenError> {
        let Some(keeper) = &self.keeper else { return Ok(None) };
        let key = keeper.key(group, name);
        let mut token: Option<Token> = None;
        for text in tokens {
            let read = keeper.take_token(at, text, key)?;
            token = Some(token.map_or(read, |known| known.join(read)));
        }
        Ok(Some(SessionRef { key, token }))
    }

    /// The token that goes with an answer to this session, where clients carry tokens.
    pub fn token(&self, now: Time, key: Key) -> Option<String> {
        self.keeper.as_ref()?.token(now, key)
    }

    /// Entries about other gateways' sessions.
    pub fn session_entries(&self) -> usize {
        self.keeper.as_ref().map_or(0, Keeper::entries)
    }

    /// Counts of the sessions and gaps in what others told, if they are kept.
    pub fn session_counts(&self) -> Option<(Counts, u64)> {
        self.keeper.as_ref().map(|keeper| (keeper.counts(), keeper.holes()))
    }

    /// The marks of this moment, if sessions are kept.
    pub fn snapshot(&self, now: Time, clean: bool) -> Option<Snapshot> {
        self.keeper.as_ref().map(|keeper| keeper.snapshot(now, clean))
    }

    /// A datagram of another instance came. Reads that wait may need less now.
    pub fn hear(&mut self, now: Time, bytes: &[u8]) -> Result<(), BulletinError> {
        let Desk { keeper, open, queue, .. } = self;
        let Some(keeper) = keeper else { return Ok(()) };
        keeper.receive(now, bytes)?;
        for (request, open) in open.iter_mut() {
            let Some(Watch { key, floor: Some(floor), .. }) = &mut open.watch else { continue };
            if let Some(less) = keeper.settle(now, *key, floor) {
                *floor = less;
                queue.push(Event::Floor { request: request.clone(), floor: less.need() });
            }
        }
        Ok(())
    }

    /// Datagrams for every other instance that are due now, and when to call again.
    pub fn tell(&mut self, now: Time) -> (Vec<Vec<u8>>, Option<Time>) {
        let Some(keeper) = &mut self.keeper else { return (Vec::new(), None) };
        (keeper.tell(now), keeper.due())
    }

    /// Takes a request in: it is open from now on, under a name of its own. What clients call their requests may
    /// come twice.
    pub fn admit(&mut self, request: Request) -> RequestId {
        let id: RequestId = self.next.to_string().into();
        self.next += 1;
        if self.groups.contains(&request.group) {
            *self.asked.entry(request.group).or_default() += 1;
        }
        self.look(request.at);
        let write = self.rules.class(request.class).need == Need::Write;
        let watch = match (&mut self.keeper, request.session) {
            (Some(keeper), Some(SessionRef { key, token })) => {
                let floor = (!write).then(|| keeper.ask(request.at, key, token.as_ref()));
                // Of a write that is out nobody knows here whether it was committed and answered.
                let may_be_known = request.at - DEEMED;
                let writes = |errand: &Errand| errand.writes.is_some_and(|(written, _)| written == key);
                let under_way = self.out.values().any(|out| writes(out) && out.at <= may_be_known);
                let floor = floor.map(|floor| if under_way { floor.with_write(may_be_known) } else { floor });
                if let (true, Some(token)) = (write, &token) {
                    keeper.bring(request.at, key, token);
                }
                Some(Watch { key, arrived: request.at, floor, before: None })
            }
            _ => None,
        };
        let needed = watch.as_ref().and_then(|watch| watch.floor).map(|floor| floor.need());
        self.open.insert(id.clone(), Open { class: request.class, attempts: 0, ran_from: None, watch });
        self.queue.push(Event::Request {
            request: id.clone(),
            class: request.class,
            group: request.group,
            time_left: request.until,
            repeat: request.repeat,
            floor: needed.max(request.after),
        });
        id
    }

    /// News of the list: whole, or only what changed.
    pub fn list(&mut self, whole: bool, entries: Vec<Entry>) {
        if whole {
            self.groups.clear();
            self.listed.clear();
        }
        self.groups.extend(entries.iter().map(|entry| entry.group));
        if let Some(keeper) = &mut self.keeper {
            self.groups.iter().for_each(|group| keeper.serve(*group));
        }
        for entry in &entries {
            match entry.standing {
                Standing::Gone => self.listed.remove(&entry.member),
                Standing::Up | Standing::Draining => self.listed.insert(entry.member),
            };
        }
        self.told.retain(|id, _| self.listed.contains(id));
        self.asked.retain(|group, _| self.groups.contains(group));
        self.queue.push(Event::List { whole, entries: entries.into() });
    }

    /// Whether the list may hold this group: it named it since it was last whole, or has named none so far.
    pub fn may_serve(&self, group: GroupId) -> bool {
        self.groups.is_empty() || self.groups.contains(&group)
    }

    /// Steps the module if it is time; gives what is to be done and when to call again at the latest.
    pub fn tick(&mut self, now: Time) -> (Vec<Order>, Option<Time>) {
        let earliest = self.stepped_at.saturating_add(self.granularity);
        let timer = self.timer_at.filter(|(at, _)| *at <= now);
        if now < earliest || (self.queue.is_empty() && timer.is_none()) {
            let due = if self.queue.is_empty() { self.timer_at.map(|(at, _)| at) } else { Some(earliest) };
            return (Vec::new(), due.map(|at| at.max(earliest)));
        }
        self.stepped_at = now;
        self.look(now);
        let mut events = std::mem::take(&mut self.queue);
        for event in &mut events {
            if let Event::Request { time_left, .. } = event {
                *time_left -= now;
            }
        }
        if let Some((_, token)) = timer {
            self.timer_at = None;
            events.push(Event::Timer { token });
        }
        let mut actions = Vec::new();
        self.router.step(now, &events, &mut actions);
        let orders = actions.into_iter().filter_map(|action| self.order(now, action)).collect();
        (orders, self.timer_at.map(|(at, _)| at.max(now + self.granularity)))
    }

    fn order(&mut self, now: Time, action: Action) -> Option<Order> {
        match action {
            Action::Send { request, member, until } => {
                let open = self.open.get_mut(&request)?;
                let attempt = open.attempts;
                open.attempts += 1;
                if let Some(watch) = &mut open.watch {
                    watch.before = self.told.get(&member).copied();
                }
                let class = open.class;
                let write_by = match (self.rules.class(class).effect, open.ran_from) {
                    (Effect::Keyed { window, .. }, Some(from)) => from.saturating_add(window),
                    _ => Time::MAX,
                };
                let writes = open.watch.as_ref().filter(|watch| watch.floor.is_none());
                let writes = writes.map(|watch| (watch.key, watch.arrived));
                self.out.insert((request.clone(), attempt), Errand { class, at: now, writes });
                Some(Order::Send(Send { request, attempt, host: member, until, write_by, at: now }))
            }
            Action::Refuse { request, wait } => {
                self.end(now, &request)?;
                Some(Order::Refuse { request, wait })
            }
            Action::Fail { request } => {
                self.end(now, &request)?;
                Some(Order::Fail { request })
            }
            Action::CallOff { request, attempt } => {
                let name = (request.clone(), attempt);
                let out = self.out.contains_key(&name);
                if mutant(Mutant::LostReport) {
                    self.out.remove(&name);
                }
                out.then_some(Order::CallOff { request, attempt })
            }
            Action::Timer { token, at } => {
                self.timer_at = Some((at, token));
                None
            }
            Action::Note { text } => Some(Order::Note(text)),
            // The gateway's settings forbid probes, and it watches the list all the time unasked.
            Action::Probe { .. } | Action::WatchList | Action::ReadList => None,
        }
    }

    /// The client no longer waits. Whether the request was still open.
    pub fn withdraw(&mut self, request: &RequestId) -> bool {
        if mutant(Mutant::SentAfterEnd) {
            return self.open.contains_key(request);
        }
        let Some(open) = self.open.remove(request) else { return false };
        if let Open { attempts: 1.., watch: Some(Watch { key, floor: None, .. }), .. } = open {
            self.unsure.push(key);
        }
        self.queue.push(Event::Withdrawn { request: request.clone() });
        true
    }

    /// An attempt ended: its connection rests or is closed. True if the member answered and the request is still
    /// open: then what the member said is the request's final answer, and is owed to the client.
    pub fn report(&mut self, now: Time, send: &Send, mut outcome: Outcome) -> bool {
        // Reported already? A second word would count the attempt out twice.
        let Some(errand) = self.out.remove(&(send.request.clone(), send.attempt)) else { return false };
        if let (Some(keeper), Some((key, arrived))) = (&mut self.keeper, errand.writes) {
            match outcome.ending {
                // Also if its client has left: the session's next read may come by another connection.
                Ending::Served => keeper.wrote(now, key, arrived, outcome.position),
                // Its answer may have been lost on the way.
                Ending::Broken | Ending::TimedOut | Ending::CalledOff => keeper.unsure(now, key),
                _ => {}
            }
        }
        let old = self.shows_old_data(send, errand.class, &outcome);
        if outcome.ending == Ending::Served && (old || !self.served(now, &send.request, &outcome)) {
            // Its data were too old: as if the member had turned the read away by itself.
            outcome.ending = Ending::TurnedAway;
        }
        // A late word of a member that is gone must not keep a place for it.
        let kept = self.keeper.is_some() && self.listed.contains(&send.host);
        if let (Some(position), Some(Role::Replica), true) = (outcome.position, outcome.role, kept) {
            let told = self.told.entry(send.host).or_default();
            *told = position.max(*told);
        }
        if let (false, Some(open)) = (outcome.ending.never_ran(), self.open.get_mut(&send.request)) {
            open.ran_from.get_or_insert(send.at);
        }
        let answered = outcome.ending == Ending::Served || outcome.unusable;
        // Closed here and not by the next step: no refusal may overtake an answer.
        let owed =
            answered && (self.open.remove(&send.request).is_some() || mutant(Mutant::RefusalOvertakes));
        self.queue.push(Event::Outcome {
            request: send.request.clone(),
            attempt: send.attempt,
            member: send.host,
            ending: outcome.ending,
            took: (now - send.at).max(0),
            closed: answered || !self.open.contains_key(&send.request),
            position: outcome.position,
            role: outcome.role,
            report: outcome.report,
        });
        owed
    }

    /// A member said this of itself after its attempt was reported: behind a row that was passed on as it came.
    pub fn heard(&mut self, now: Time, host: MemberId, said: Outcome) {
        let position = said.position.map(|position| position.min(now));
        let report = Report { position, role: said.role, ..said.report };
        self.queue.push(Event::Probed { member: host, ending: Ending::Served, report });
    }

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

    /// What a member says of itself with its answer shows that its data were older than the class allows: it was taken for
    /// the primary, and is none. Where members check for themselves they do not answer then.
    fn shows_old_data(&self, send: &Send, class: usize, outcome: &Outcome) -> bool {
        let need = self.rules.class(class).need;
        let Some(bound) = need.bound().or((need == Need::Strong).then_some(0)) else { return false };
        let replica = self.settings.behind == Behind::Serve && outcome.role == Some(Role::Replica);
        replica && outcome.position.is_some_and(|position| position < send.at - bound)
    }

    /// A member served an open request. Whether that is the answer: for a session's read it must prove its floor.
    fn served(&mut self, now: Time, request: &RequestId, outcome: &Outcome) -> bool {
        let Some(keeper) = &mut self.keeper else { return true };
        let watch = self.open.get(request).and_then(|open| open.watch.as_ref());
        // What a write has made was told to the keeper.
        let Some(Watch { key, floor: Some(floor), before, .. }) = watch else { return true };
        if keeper.judge(floor, outcome.position, *before, outcome.role) == Verdict::Behind {
            return false;
        }
        keeper.read(now, *key, floor, outcome.position.unwrap_or(0));
        true
    }
}
