//! The decisions in blocking style, for code that serves connections: ask, pick, report, tick.
//!
//! A [`Desk`] owns the [`Router`]. A front admits an [`Ask`] and gets a [`Ticket`]; [`Ticket::pick`] waits
//! for the next [`Verdict`]. A send comes with an [`Errand`], which is reported once. Nothing in here knows
//! of a protocol or of sockets, and nobody outside sees the router's events and actions.
//!
//! What comes in is kept in order and handed to the router in batches, at most one per granularity: whoever
//! owns the desk calls [`Desk::tick`] at the time it names, or when [`Desk::woken`] returns.

use crate::interface::*;
use crate::Router;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot, Notify};

/// A request, in no protocol's words.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Place of its class in the settings.
    pub class: usize,
    /// Its group.
    pub group: GroupId,
    /// Clock time at which the client gives it up.
    pub until: Time,
    /// The client marked it as a repeat.
    pub repeat: bool,
    /// Its session.
    pub session: Option<Arc<str>>,
    /// The session's last commit lies at least this far back.
    pub session_age: Option<Time>,
}

/// What the decisions say of a request.
#[derive(Debug)]
pub enum Verdict {
    /// Send it; the errand says where to and until when. Another verdict may follow.
    Send(Errand),
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
}

impl Outcome {
    /// An ending with which nobody said anything.
    pub fn silent(ending: Ending) -> Outcome {
        Outcome { ending, position: None, role: None, report: Report::default() }
    }
}

/// The decisions, shared by all tasks of a gateway.
#[derive(Clone)]
pub struct Desk(Rc<Inner>);

struct Inner {
    state: RefCell<State>,
    woken: Notify,
    /// Some class reads what its session wrote. Else sessions are not even named to the router, which
    /// remembers every one it hears of.
    sessions: bool,
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
}

struct Open {
    verdicts: mpsc::UnboundedSender<Verdict>,
    attempts: u32,
}

impl Desk {
    /// A desk for these settings. The seed is its only source of chance.
    pub fn new(settings: Settings, seed: u64) -> Result<Desk, SettingsError> {
        let sessions = settings.classes.iter().any(|class| class.need == Need::Session);
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
        };
        Ok(Desk(Rc::new(Inner { state: RefCell::new(state), woken: Notify::new(), sessions })))
    }

    /// Takes a request in.
    pub fn admit(&self, ask: Ask) -> Ticket {
        let (verdicts, inbox) = mpsc::unbounded_channel();
        let mut state = self.0.state.borrow_mut();
        let request: RequestId = state.next.to_string().into();
        state.next += 1;
        state.open.insert(request.clone(), Open { verdicts, attempts: 0 });
        state.queue.push(Event::Request {
            request: request.clone(),
            class: ask.class,
            group: ask.group,
            time_left: ask.until,
            repeat: ask.repeat,
            session: ask.session.filter(|_| self.0.sessions),
            session_age: ask.session_age,
        });
        drop(state);
        self.0.woken.notify_one();
        Ticket { desk: self.clone(), request, inbox }
    }

    /// News of the list: whole, or only what changed.
    pub fn list(&self, whole: bool, entries: Vec<Entry>) {
        let mut state = self.0.state.borrow_mut();
        state.groups.extend(entries.iter().map(|entry| entry.group));
        state.queue.push(Event::List { whole, entries: entries.into() });
        drop(state);
        self.0.woken.notify_one();
    }

    /// Whether the list may hold this group: it named it once, or has named none at all so far.
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
        let state = &mut *state;
        let earliest = state.stepped_at.saturating_add(state.granularity);
        let timer = state.timer_at.filter(|(at, _)| *at <= now);
        if now < earliest || (state.queue.is_empty() && timer.is_none()) {
            let due = if state.queue.is_empty() { state.timer_at.map(|(at, _)| at) } else { Some(earliest) };
            return due.map(|at| at.max(earliest));
        }
        state.stepped_at = now;
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
        for action in actions {
            self.carry_out(state, now, action);
        }
        state.timer_at.map(|(at, _)| at.max(now + state.granularity))
    }

    fn carry_out(&self, state: &mut State, now: Time, action: Action) {
        match action {
            Action::Send { request, member, until } => {
                let Some(open) = state.open.get_mut(&request) else { return };
                let attempt = open.attempts;
                open.attempts += 1;
                let (caller, called_off) = oneshot::channel();
                let desk = self.clone();
                state.out.insert((request.clone(), attempt), caller);
                let errand =
                    Errand { desk, request, attempt, host: member, until, sent: now, called_off, open: true };
                // A client that left this moment drops the errand with its inbox: that reports it.
                let _ = open.verdicts.send(Verdict::Send(errand));
            }
            Action::Refuse { request, wait } => close(state, &request, Verdict::Refuse { wait }),
            Action::Fail { request } => close(state, &request, Verdict::Fail),
            Action::CallOff { request, attempt } => {
                if let Some(caller) = state.out.remove(&(request, attempt)) {
                    let _ = caller.send(());
                }
            }
            Action::Timer { token, at } => state.timer_at = Some((at, token)),
            Action::Note { text } => log::info!("{text}"),
            // The gateway's settings forbid probes, and it watches the list all the time unasked.
            Action::Probe { .. } | Action::WatchList | Action::ReadList => {}
        }
    }
}

fn close(state: &mut State, request: &RequestId, verdict: Verdict) {
    if let Some(open) = state.open.remove(request) {
        let _ = open.verdicts.send(verdict);
    }
}

/// A request that was taken in. Dropped before its end, it is withdrawn.
pub struct Ticket {
    desk: Desk,
    request: RequestId,
    inbox: mpsc::UnboundedReceiver<Verdict>,
}

impl Ticket {
    /// Waits for the next verdict. After the last one it says [`Verdict::Fail`].
    pub async fn pick(&mut self) -> Verdict {
        self.inbox.recv().await.unwrap_or(Verdict::Fail)
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut state = self.desk.0.state.borrow_mut();
        let open = state.open.remove(&self.request);
        if open.is_some() {
            state.queue.push(Event::Withdrawn { request: self.request.clone() });
        }
        // The sender goes last, with the borrow ended: what is still in the channel may be an errand, whose
        // own drop reports to the desk.
        drop(state);
        drop(open);
        self.desk.0.woken.notify_one();
    }
}

/// An attempt to make. It is reported exactly once: by [`Errand::report`], or when it is dropped.
#[derive(Debug)]
pub struct Errand {
    desk: Desk,
    request: RequestId,
    attempt: u32,
    /// The member to send to.
    pub host: MemberId,
    /// Clock time at which to give it up.
    pub until: Time,
    sent: Time,
    called_off: oneshot::Receiver<()>,
    open: bool,
}

impl Errand {
    /// Waits until the attempt is to be given up before its time.
    pub async fn called_off(&mut self) {
        if (&mut self.called_off).await.is_err() {
            std::future::pending().await
        }
    }

    /// Reports how the attempt ended. True if it was served and its request is still open: then what the
    /// member served is the request's final answer, and the caller owes it to the client.
    pub fn report(mut self, now: Time, outcome: Outcome) -> bool {
        self.tell(now, outcome)
    }

    fn tell(&mut self, now: Time, outcome: Outcome) -> bool {
        self.open = false;
        let mut state = self.desk.0.state.borrow_mut();
        state.out.remove(&(self.request.clone(), self.attempt));
        let served = outcome.ending == Ending::Served;
        // Closed here and not by the next step: no refusal may overtake an answer.
        let finished = if served { state.open.remove(&self.request) } else { None };
        let closed = served || !state.open.contains_key(&self.request);
        state.queue.push(Event::Outcome {
            request: self.request.clone(),
            attempt: self.attempt,
            member: self.host,
            ending: outcome.ending,
            took: (now - self.sent).max(0),
            closed,
            position: outcome.position,
            role: outcome.role,
            report: outcome.report,
        });
        drop(state);
        self.desk.0.woken.notify_one();
        finished.is_some()
    }
}

impl Drop for Errand {
    fn drop(&mut self) {
        if self.open {
            // Never tried: its client left before it was taken up.
            self.tell(self.sent, Outcome::silent(Ending::NotSent));
        }
    }
}

impl std::fmt::Debug for Desk {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Desk")
    }
}
