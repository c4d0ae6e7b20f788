//! The decisions in blocking style, for code that serves connections: ask, pick, report, tick.
//!
//! A [`Facade`] owns the [`RequestTable`]. A front admits a [`Request`] and gets a [`Ticket`]; [`Ticket::pick`] waits for the
//! next [`Decision`]. A send comes with an [`Attempt`], which is reported once. Nothing in here knows of a protocol or
//! of sockets, nothing in here decides, and nobody outside sees the module's events and actions.
//!
//! Whoever owns the facade calls [`Facade::tick`] at the time it names, or when [`Facade::woken`] returns.

use petrelgauge_lifecycle::request_table::{Order, RequestTable, Send};
pub use petrelgauge_lifecycle::request_table::{Outcome, Request, SessionRef, SettingsRejected};
use petrelgauge_policy::*;
use petrelgauge_sessions::{
    BroadcastError, Counts, SessionKey, SessionTokens, SessionTracker, Snapshot, TokenError,
};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot, Notify};

/// What the decisions say of a request.
#[derive(Debug)]
pub enum Decision {
    /// Send it; the attempt says where to and until when. Another decision may follow.
    Send(Attempt),
    /// Final: refused, harmless to try again, after `wait` if that is not 0.
    Reject {
        /// How long the client should stay away.
        wait: Time,
    },
    /// Final: failed, nothing promised.
    Fail,
}

/// The decisions, shared by all tasks of a gateway.
#[derive(Clone)]
pub struct Facade(Rc<Inner>);

struct Inner {
    table: RefCell<RequestTable>,
    /// Who waits for the decisions on a request, and for the calling off of an attempt.
    asking: RefCell<BTreeMap<RequestId, Inbox>>,
    callers: RefCell<BTreeMap<(RequestId, u32), oneshot::Sender<()>>>,
    woken: Notify,
}

type Inbox = mpsc::UnboundedSender<Decision>;

impl Facade {
    /// A facade for these settings. The seed is its only source of chance.
    pub fn new(settings: Settings, seed: u64) -> Result<Facade, SettingsError> {
        Facade::with_sessions(settings, seed, None)
    }

    /// A facade that keeps sessions, for the classes of these places.
    pub fn with_sessions(
        settings: Settings,
        seed: u64,
        sessions: Option<(SessionTracker, Vec<usize>)>,
    ) -> Result<Facade, SettingsError> {
        let table = RefCell::new(RequestTable::new(settings, seed, sessions)?);
        let (asking, callers) = (RefCell::default(), RefCell::default());
        Ok(Facade(Rc::new(Inner { table, asking, callers, woken: Notify::new() })))
    }

    /// New settings hold from now on; see [`RequestTable::apply_settings`].
    pub fn apply_settings(
        &self,
        now: Time,
        settings: Settings,
        carrying: &[usize],
    ) -> Result<(), SettingsRejected> {
        self.0.table.borrow_mut().apply_settings(now, settings, carrying)?;
        self.0.woken.notify_one();
        Ok(())
    }

    /// Another gateway had an answer of this member as its group's primary.
    pub fn gossiped_primary(&self, now: Time, member: MemberId, at: Time) {
        self.0.table.borrow_mut().gossiped_primary(now, member, at);
        self.0.woken.notify_one();
    }

    /// Members of a group without a primary are tried so many times as rarely as usual from now on.
    pub fn set_discovery_interval_factor(&self, times: Time) {
        self.0.table.borrow_mut().set_discovery_interval_factor(times);
    }

    /// What this gateway may use of the limits of a group's members, from the next step on, which comes before whatever
    /// the caller does next has an effect elsewhere.
    pub fn adjust_quota(&self, group: GroupId, adjustment: QuotaAdjustment) {
        self.0.table.borrow_mut().adjust_quota(group, adjustment);
        self.0.woken.notify_one();
    }

    /// Requests that came for each group that the list names.
    pub fn requests_by_group(&self) -> BTreeMap<GroupId, u64> {
        self.0.table.borrow().requests_by_group()
    }

    /// The group of a member that the list names.
    pub fn group_of(&self, member: MemberId) -> Option<GroupId> {
        self.0.table.borrow().group_of(member)
    }

    /// Members taken for primaries, and when they last said so.
    pub fn primaries(&self) -> Vec<(GroupId, MemberId, Time)> {
        self.0.table.borrow().primaries()
    }

    /// What the decisions have learned of the members so far.
    pub fn learned_state(&self) -> LearnedState {
        self.0.table.borrow().learned_state()
    }

    /// Starts from what another process has learned; to be called before the first list.
    pub fn adopt_learned_state(&self, learned_state: LearnedState) {
        self.0.table.borrow_mut().adopt_learned_state(learned_state);
    }

    /// Requests without an end.
    pub fn open_requests(&self) -> usize {
        self.0.table.borrow().in_flight().0
    }

    /// Clients can hold so many requests open here from now on.
    pub fn set_max_open_requests(&self, most: u32) {
        self.0.table.borrow_mut().set_max_open_requests(most);
        self.0.woken.notify_one();
    }

    /// The place of the class that a new request names, and the class; see [`RequestTable::find_class`].
    pub fn find_class(&self, now: Time, name: &str, keyed: bool) -> Option<(usize, Class)> {
        self.0.table.borrow().find_class(now, name, keyed)
    }

    /// The longest that clients of this class wait; see [`RequestTable::longest_wait`].
    pub fn longest_wait(&self, now: Time, name: &str) -> Time {
        self.0.table.borrow().longest_wait(now, name)
    }

    /// Every request that is taken in from now on has its final answer by this time.
    pub fn set_final_answer_by(&self, at: Time) {
        self.0.table.borrow_mut().set_final_answer_by(at);
    }

    /// The longest deadline of any class in force; see [`RequestTable::longest_deadline`].
    pub fn longest_deadline(&self, now: Time) -> Time {
        self.0.table.borrow().longest_deadline(now)
    }

    /// Counts the settings that were in force, from 1.
    pub fn version(&self) -> u64 {
        self.0.table.borrow().version()
    }

    /// Whether requests of the class of this place carry sessions.
    pub fn class_has_sessions(&self, class: usize) -> bool {
        self.0.table.borrow().class_has_sessions(class)
    }

    /// Whether sessions are kept at all.
    pub fn tracks_sessions(&self) -> bool {
        self.0.table.borrow().tracks_sessions()
    }

    /// Stores the tokens that a client has set for its connection.
    pub fn set_tokens(&self, tokens: &mut SessionTokens, text: &str) -> Result<(), TokenError> {
        self.0.table.borrow().set_tokens(tokens, text)
    }

    /// The session that a request belongs to, with the tokens that its client sent joined into one.
    /// An unusable token is an error.
    pub fn session_ref(
        &self,
        at: Time,
        group: GroupId,
        name: &str,
        tokens: &[&str],
    ) -> Result<Option<SessionRef>, TokenError> {
        self.0.table.borrow().session_ref(at, group, name, tokens)
    }

    /// The token that goes with an answer to this session, where clients carry tokens.
    pub fn token(&self, now: Time, key: SessionKey) -> Option<String> {
        self.0.table.borrow().token(now, key)
    }

    /// Entries about other gateways' sessions.
    pub fn session_entries(&self) -> usize {
        self.0.table.borrow().session_entries()
    }

    /// Counts of the sessions, if they are kept.
    pub fn session_counts(&self) -> Option<(Counts, u64)> {
        self.0.table.borrow().session_counts()
    }

    /// The watermarks of this moment, if sessions are tracked.
    pub fn snapshot(&self, now: Time, clean: bool) -> Option<Snapshot> {
        self.0.table.borrow().snapshot(now, clean)
    }

    /// A datagram of another instance came. Reads that wait may need less now.
    pub fn receive_broadcast(&self, now: Time, bytes: &[u8]) -> Result<(), BroadcastError> {
        self.0.table.borrow_mut().receive_broadcast(now, bytes)?;
        self.0.woken.notify_one();
        Ok(())
    }

    /// Datagrams for every other instance that are due now, and when to call again.
    pub fn due_broadcasts(&self, now: Time) -> (Vec<Vec<u8>>, Option<Time>) {
        self.0.table.borrow_mut().due_broadcasts(now)
    }

    /// Takes a request in.
    pub fn admit(&self, request: Request) -> Ticket {
        let (decisions, inbox) = mpsc::unbounded_channel();
        let id = self.0.table.borrow_mut().admit(request);
        self.0.asking.borrow_mut().insert(id.clone(), decisions);
        self.0.woken.notify_one();
        Ticket { facade: self.clone(), id, inbox }
    }

    /// News of the list: whole, or only what changed.
    pub fn update_endpoints(&self, complete: bool, entries: Vec<Entry>) {
        self.0.table.borrow_mut().update_endpoints(complete, entries);
        self.0.woken.notify_one();
    }

    /// Takes what a member's word tells of the hosts' clock; see [`RequestTable::validate_times`].
    pub fn validate_times(&self, now: Time, host: MemberId, said: &mut Outcome) -> bool {
        self.0.table.borrow_mut().validate_times(now, host, None, said)
    }

    /// A member said this of itself outside of an attempt's report.
    pub fn record_late_report(&self, now: Time, host: MemberId, said: Outcome) {
        self.0.table.borrow_mut().record_late_report(now, host, said);
        self.0.woken.notify_one();
    }

    /// Whether the list may hold this group: it named it since it was last whole, or has named none so far.
    pub fn may_serve_group(&self, group: GroupId) -> bool {
        self.0.table.borrow().may_serve_group(group)
    }

    /// Waits until something came in that a step has not seen.
    pub async fn woken(&self) {
        self.0.woken.notified().await;
    }

    /// Steps the decisions if it is time, and says when to call again at the latest.
    pub fn tick(&self, now: Time) -> Option<Time> {
        let (orders, next) = self.0.table.borrow_mut().tick(now);
        orders.into_iter().for_each(|order| self.carry_out(order));
        next
    }

    fn carry_out(&self, order: Order) {
        match order {
            Order::Send(send) => {
                let (caller, cancelled) = oneshot::channel();
                self.0.callers.borrow_mut().insert((send.request.clone(), send.attempt), caller);
                let inbox = self.0.asking.borrow().get(&send.request).cloned();
                let (host, until, write_by) = (send.host, send.until, send.write_by);
                let facade = self.clone();
                let attempt =
                    Attempt { facade, send, host, until, write_by, cancelled, off: false, reported: false };
                // One that nobody takes reports itself, here and now.
                if let Some(inbox) = inbox {
                    let _ = inbox.send(Decision::Send(attempt));
                }
            }
            Order::Reject { request, wait } => self.close(&request, Decision::Reject { wait }),
            Order::Fail { request } => self.close(&request, Decision::Fail),
            Order::Cancel { request, attempt } => {
                if let Some(caller) = self.0.callers.borrow_mut().remove(&(request, attempt)) {
                    let _ = caller.send(());
                }
            }
            Order::Log(text) => log::info!("decision note text={text}"),
        }
    }

    fn close(&self, request: &RequestId, last: Decision) {
        let inbox = self.0.asking.borrow_mut().remove(request);
        if let Some(inbox) = inbox {
            let _ = inbox.send(last);
        }
    }
}

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
        self.facade.0.asking.borrow_mut().remove(&self.id);
        self.facade.0.table.borrow_mut().abandon(&self.id);
        // What is still in the inbox goes after this: that may be an attempt, which reports itself.
        self.facade.0.woken.notify_one();
    }
}

/// An attempt to make. It is reported exactly once: by [`Attempt::report`], or when it is dropped. Without that the
/// decisions would count it as out for good, and its member would lose room.
pub struct Attempt {
    facade: Facade,
    send: Send,
    /// The member to send to.
    pub host: MemberId,
    /// Clock time at which to give it up.
    pub until: Time,
    /// Clock time by which it must be written, if at all.
    pub write_by: Time,
    cancelled: oneshot::Receiver<()>,
    /// The calling off has been heard.
    off: bool,
    reported: bool,
}

impl Attempt {
    /// Waits until the attempt is to be given up before its time.
    pub async fn cancelled(&mut self) {
        if !self.off && (&mut self.cancelled).await.is_err() {
            std::future::pending().await
        }
        self.off = true;
    }

    /// Whether it may still be made, as of now: it has not been called off, and see [`RequestTable::may_go`].
    pub fn is_wanted(&mut self, now: Time) -> bool {
        // The word may lie there while nobody waits for it: the caller's own work goes first.
        self.off = self.off || self.cancelled.try_recv().is_ok();
        !self.off && self.facade.0.table.borrow().may_send(now, &self.send)
    }

    /// Takes what the answer tells of the hosts' clock, before it is reported; see [`RequestTable::validate_times`].
    pub fn validate_times(&self, now: Time, outcome: &mut Outcome) -> bool {
        self.facade.0.table.borrow_mut().validate_times(now, self.host, Some(&self.send), outcome)
    }

    /// Reports how the attempt ended. True if the member answered and its request is still open: then what the member
    /// said is the request's final answer, and the caller owes it to the client.
    pub fn report(mut self, now: Time, outcome: Outcome) -> bool {
        self.tell(now, outcome)
    }

    fn tell(&mut self, now: Time, outcome: Outcome) -> bool {
        self.reported = true;
        self.facade.0.callers.borrow_mut().remove(&(self.send.request.clone(), self.send.attempt));
        let owed = self.facade.0.table.borrow_mut().report(now, &self.send, outcome);
        if owed {
            self.facade.0.asking.borrow_mut().remove(&self.send.request);
        }
        self.facade.0.woken.notify_one();
        owed
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !self.reported {
            // Never tried: its client left before it was taken up.
            self.tell(self.send.at, Outcome::silent(Ending::NotSent));
        }
    }
}

impl std::fmt::Debug for Attempt {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "attempt {} of {} at {}", self.send.attempt, self.send.request, self.host)
    }
}
