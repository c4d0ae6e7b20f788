//! The decisions in asynchronous style, for code that serves connections: admit, pick, report, tick.
//!
//! A [`Facade`] owns the [`RequestTable`]. A client session admits a [`Request`] and gets a [`Ticket`]; [`Ticket::pick`]
//! waits for the next [`Decision`]. A send comes with an [`Attempt`], which is reported once. This module knows neither
//! protocols nor sockets and decides nothing; callers never see the router's events and actions.
//!
//! The owner of the facade calls [`Facade::tick`] at the time that it returned, or when [`Facade::woken`] returns.

mod sessions;

use petrelgauge_lifecycle::request_table::{Order, RequestTable, Send};
pub use petrelgauge_lifecycle::request_table::{
    Outcome, Request, SessionRef, SessionTracking, SettingsRejected,
};
use petrelgauge_policy::*;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot, Notify};

/// A decision on a request.
#[derive(Debug)]
pub enum Decision {
    /// Send it to the attempt's member. Another decision may follow.
    Send(Attempt),
    /// Final answer: rejected, safe to retry.
    Reject {
        /// Retry-After for the client (microseconds); 0 for none.
        wait: Time,
    },
    /// Final answer: failed, nothing promised.
    Fail,
}

/// The decisions, shared by all tasks of a gateway.
#[derive(Clone)]
pub struct Facade(Rc<Inner>);

struct Inner {
    table: RefCell<RequestTable>,
    /// Where the decisions on each open request go.
    decision_senders: RefCell<BTreeMap<RequestId, DecisionSender>>,
    /// Where the cancellation of each attempt goes.
    cancel_senders: RefCell<BTreeMap<AttemptId, oneshot::Sender<()>>>,
    woken: Notify,
}

type DecisionSender = mpsc::UnboundedSender<Decision>;

/// An attempt, by its request and its number.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptId {
    request: RequestId,
    attempt: u32,
}

impl Facade {
    /// A facade for these settings. The seed is its only source of random numbers.
    ///
    /// # Errors
    ///
    /// Fails if the settings are not valid.
    pub fn new(settings: Settings, seed: u64) -> Result<Facade, SettingsError> {
        Facade::with_sessions(settings, seed, None)
    }

    /// A facade that tracks sessions.
    ///
    /// # Errors
    ///
    /// Fails if the settings are not valid.
    pub fn with_sessions(
        settings: Settings,
        seed: u64,
        sessions: Option<SessionTracking>,
    ) -> Result<Facade, SettingsError> {
        Ok(Facade(Rc::new(Inner {
            table: RefCell::new(RequestTable::new(settings, seed, sessions)?),
            decision_senders: RefCell::default(),
            cancel_senders: RefCell::default(),
            woken: Notify::new(),
        })))
    }

    /// Replaces the settings; see [`RequestTable::apply_settings`].
    ///
    /// # Errors
    ///
    /// Fails if the settings are not valid, have too many classes beside those of open requests, or ask for sessions that
    /// were not switched on at the start. Those before them stay in force then.
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

    /// Gossip: another gateway had an answer of this member as its group's primary.
    pub fn gossiped_primary(&self, now: Time, member: MemberId, at: Time) {
        self.0.table.borrow_mut().gossiped_primary(now, member, at);
        self.0.woken.notify_one();
    }

    /// Sets the factor on the interval between two attempts to find the primary of a group.
    pub fn set_discovery_interval_factor(&self, times: Time) {
        self.0.table.borrow_mut().set_discovery_interval_factor(times);
    }

    /// Adjusts this gateway's quota of the concurrency limits of a group's members. The step that applies it comes before
    /// whatever the caller does next has an effect elsewhere.
    pub fn adjust_quota(&self, group: GroupId, adjustment: QuotaAdjustment) {
        self.0.table.borrow_mut().adjust_quota(group, adjustment);
        self.0.woken.notify_one();
    }

    /// Requests that came so far for each group in the endpoint list.
    pub fn requests_by_group(&self) -> BTreeMap<GroupId, u64> {
        self.0.table.borrow().requests_by_group()
    }

    /// The group of a member.
    pub fn group_of(&self, member: MemberId) -> Option<GroupId> {
        self.0.table.borrow().group_of(member)
    }

    /// The members taken for primaries, with the time of their evidence by the hosts' clock.
    pub fn primaries(&self) -> Vec<KnownPrimary> {
        self.0.table.borrow().primaries()
    }

    /// What the router has learned of the members so far.
    pub fn learned_state(&self) -> LearnedState {
        self.0.table.borrow().learned_state()
    }

    /// Starts from what another process has learned; to be called before the first list.
    pub fn adopt_learned_state(&self, learned_state: LearnedState) {
        self.0.table.borrow_mut().adopt_learned_state(learned_state);
    }

    /// Requests without a final answer (count).
    pub fn open_requests(&self) -> usize {
        self.0.table.borrow().in_flight().0
    }

    /// Sets how many requests clients can have open at this gateway.
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

    /// Every request admitted from now on gets its final answer by this time.
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

    /// Takes in a request. The decisions on it come by its ticket.
    pub fn admit(&self, request: Request) -> Ticket {
        let (sender, decisions) = mpsc::unbounded_channel();
        let id = self.0.table.borrow_mut().admit(request);
        self.0.decision_senders.borrow_mut().insert(id.clone(), sender);
        self.0.woken.notify_one();
        Ticket { facade: self.clone(), id, decisions }
    }

    /// Takes in the endpoint list: complete, or only the entries that changed.
    pub fn update_endpoints(&self, complete: bool, entries: Vec<Entry>) {
        self.0.table.borrow_mut().update_endpoints(complete, entries);
        self.0.woken.notify_one();
    }

    /// Learns from a late report of a member what time it is on the hosts' clock, and drops times that cannot be; see
    /// [`RequestTable::validate_times`].
    pub fn validate_times(&self, now: Time, host: MemberId, report: &mut Outcome) -> bool {
        self.0.table.borrow_mut().validate_times(now, host, None, report)
    }

    /// Takes in what a member reports of itself after its attempt was reported.
    pub fn record_late_report(&self, now: Time, host: MemberId, report: Outcome) {
        self.0.table.borrow_mut().record_late_report(now, host, report);
        self.0.woken.notify_one();
    }

    /// Whether the group may be in the endpoint list: the list has named it since it was last complete, or none so far.
    pub fn may_serve_group(&self, group: GroupId) -> bool {
        self.0.table.borrow().may_serve_group(group)
    }

    /// Waits until something came in that a step has not seen.
    pub async fn woken(&self) {
        self.0.woken.notified().await;
    }

    /// Steps the router if it is time, and returns when to call again at the latest.
    pub fn tick(&self, now: Time) -> Option<Time> {
        let (orders, next) = self.0.table.borrow_mut().tick(now);
        orders.into_iter().for_each(|order| self.carry_out(order));
        next
    }

    fn carry_out(&self, order: Order) {
        match order {
            Order::Send(send) => self.start_attempt(send),
            Order::Reject { request, wait } => self.close(&request, Decision::Reject { wait }),
            Order::Fail { request } => self.close(&request, Decision::Fail),
            Order::Cancel { request, attempt } => self.cancel(AttemptId { request, attempt }),
            Order::Log(text) => log::info!("decision note text={text}"),
        }
    }

    fn start_attempt(&self, send: Send) {
        let (cancel_sender, cancelled) = oneshot::channel();
        let sender = self.0.decision_senders.borrow().get(&send.request).cloned();
        let attempt = Attempt {
            facade: self.clone(),
            host: send.host,
            until: send.until,
            write_by: send.write_by,
            send,
            cancelled,
            is_cancelled: false,
            is_reported: false,
        };
        self.0.cancel_senders.borrow_mut().insert(attempt.id(), cancel_sender);
        // Without a receiver the attempt is dropped here, and so reports itself.
        if let Some(sender) = sender {
            let _ = sender.send(Decision::Send(attempt));
        }
    }

    fn cancel(&self, attempt: AttemptId) {
        let cancel_sender = self.0.cancel_senders.borrow_mut().remove(&attempt);
        if let Some(cancel_sender) = cancel_sender {
            let _ = cancel_sender.send(());
        }
    }

    fn close(&self, request: &RequestId, final_decision: Decision) {
        let sender = self.0.decision_senders.borrow_mut().remove(request);
        if let Some(sender) = sender {
            let _ = sender.send(final_decision);
        }
    }
}

/// An admitted request. Dropped before its final decision, the request is abandoned.
pub struct Ticket {
    facade: Facade,
    id: RequestId,
    decisions: mpsc::UnboundedReceiver<Decision>,
}

impl Ticket {
    /// Waits for the next decision. After the final one it returns [`Decision::Fail`].
    pub async fn pick(&mut self) -> Decision {
        self.decisions.recv().await.unwrap_or(Decision::Fail)
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.facade.0.decision_senders.borrow_mut().remove(&self.id);
        self.facade.0.table.borrow_mut().abandon(&self.id);
        // Decisions not yet received are dropped after this: an attempt among them reports itself.
        self.facade.0.woken.notify_one();
    }
}

/// An attempt to make. It is reported exactly once: by [`Attempt::report`], or when it is dropped. Without that it would
/// count as in flight for good, and its member would lose capacity.
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
    /// The cancellation has been received.
    is_cancelled: bool,
    is_reported: bool,
}

impl Attempt {
    /// Waits until the attempt is cancelled.
    pub async fn cancelled(&mut self) {
        if !self.is_cancelled && (&mut self.cancelled).await.is_err() {
            std::future::pending().await
        }
        self.is_cancelled = true;
    }

    /// Whether it may still be made, as of now: it has not been cancelled, and see [`RequestTable::may_send`].
    pub fn is_wanted(&mut self, now: Time) -> bool {
        // A cancellation may have arrived while the caller did other work.
        self.is_cancelled = self.is_cancelled || self.cancelled.try_recv().is_ok();
        !self.is_cancelled && self.facade.0.table.borrow().may_send(now, &self.send)
    }

    /// Learns from the answer what time it is on the hosts' clock, before the attempt is reported, and drops times that
    /// cannot be; see [`RequestTable::validate_times`].
    pub fn validate_times(&self, now: Time, outcome: &mut Outcome) -> bool {
        self.facade.0.table.borrow_mut().validate_times(now, self.host, Some(&self.send), outcome)
    }

    /// Reports how the attempt ended. True if the member answered and its request is still open: then that answer is the
    /// request's final one, and the caller must deliver it to the client.
    pub fn report(mut self, now: Time, outcome: Outcome) -> bool {
        self.report_once(now, outcome)
    }

    /// Where the attempt's member stands in its slow start; none for one that is warm.
    pub fn slow_start(&self) -> Option<SlowStart> {
        self.facade.0.table.borrow().slow_start(self.host)
    }

    fn id(&self) -> AttemptId {
        AttemptId { request: self.send.request.clone(), attempt: self.send.attempt }
    }

    fn report_once(&mut self, now: Time, outcome: Outcome) -> bool {
        self.is_reported = true;
        self.facade.0.cancel_senders.borrow_mut().remove(&self.id());
        let is_final_answer = self.facade.0.table.borrow_mut().report(now, &self.send, outcome);
        if is_final_answer {
            self.facade.0.decision_senders.borrow_mut().remove(&self.send.request);
        }
        self.facade.0.woken.notify_one();
        is_final_answer
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !self.is_reported {
            // Never made: its client left before the attempt was received.
            self.report_once(self.send.at, Outcome::silent(Ending::NotSent));
        }
    }
}

impl std::fmt::Debug for Attempt {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "attempt {} of {} at {}", self.send.attempt, self.send.request, self.host)
    }
}
