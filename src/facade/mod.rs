//! An asynchronous interface to the routing decisions, for code that serves connections: admit a request,
//! wait for decisions on it, report each attempt.
//!
//! A [`Facade`] owns the gateway's [`RequestTable`] and knows who waits for which decision: one entry for
//! each open request and each attempt in flight. A client session admits a [`Request`] and gets a [`Ticket`];
//! [`Ticket::pick`] waits for the next [`Decision`]. A decision to send carries an [`Attempt`], which is
//! reported exactly once, whether it was made or dropped.
//!
//! One task drives it: it calls [`Facade::tick`] at the time that the last call returned, or earlier when
//! [`Facade::woken`] returns. Everything that is neither a request nor an attempt is read with
//! [`Facade::read`] and changed with [`Facade::update`], which wakes that task.
//!
//! The facade decides nothing and knows neither protocols nor sockets. It may import no other folder of the
//! gateway.

use petrelgauge_lifecycle::request_table::{AttemptId, AttemptSpec, RequestTable, TableCommand, Tick};
pub use petrelgauge_lifecycle::request_table::{
    Outcome, Request, SessionRef, SessionTracking, SettingsRejected,
};
use petrelgauge_policy::{
    Ending, LogEntry, MemberId, Note, RequestId, Settings, SettingsError, SlowStart, Time,
};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot, Notify};

/// A decision on a request.
#[derive(Debug)]
pub enum Decision {
    /// Send the request to the attempt's member. Another decision may follow.
    Send(Attempt),
    /// Final: the request is rejected and has not run.
    Reject {
        /// Retry-After for the client (microseconds); 0 for none.
        wait: Time,
    },
    /// Final: the request failed, and may have run.
    Fail,
}

/// The request table of a gateway, shared by all of its tasks.
#[derive(Clone)]
pub struct Facade {
    inner: Rc<Inner>,
}

struct Inner {
    table: RefCell<RequestTable>,
    /// The channel for the decisions on each open request.
    decision_senders: RefCell<BTreeMap<RequestId, DecisionSender>>,
    /// The channel for the cancellation of each attempt in flight.
    cancel_senders: RefCell<BTreeMap<AttemptId, oneshot::Sender<()>>>,
    /// Notified when the table changes.
    table_changed: Notify,
}

type DecisionSender = mpsc::UnboundedSender<Decision>;

impl Facade {
    /// A facade without session consistency. `seed` is its only source of random numbers.
    ///
    /// # Errors
    ///
    /// Fails if the settings are invalid.
    pub fn new(settings: Settings, seed: u64) -> Result<Facade, SettingsError> {
        Facade::with_sessions(settings, seed, None)
    }

    /// A facade that also tracks the sessions of some request classes.
    ///
    /// # Errors
    ///
    /// Fails if the settings are invalid.
    pub fn with_sessions(
        settings: Settings,
        seed: u64,
        sessions: Option<SessionTracking>,
    ) -> Result<Facade, SettingsError> {
        let inner = Inner {
            table: RefCell::new(RequestTable::new(settings, seed, sessions)?),
            decision_senders: RefCell::default(),
            cancel_senders: RefCell::default(),
            table_changed: Notify::new(),
        };
        Ok(Facade { inner: Rc::new(inner) })
    }

    /// Reads from the request table.
    ///
    /// # Panics
    ///
    /// If `read` changes the facade's table, for example by dropping a [`Ticket`].
    pub fn read<T>(&self, read: impl FnOnce(&RequestTable) -> T) -> T {
        read(&self.inner.table.borrow())
    }

    /// Changes the request table and wakes the task that drives the facade.
    ///
    /// Requests and attempts don't go this way: the facade has to know who waits for their decisions, see
    /// [`Facade::admit`] and [`Attempt::report`].
    ///
    /// # Panics
    ///
    /// If `change` uses the facade itself.
    pub fn update<T>(&self, change: impl FnOnce(&mut RequestTable) -> T) -> T {
        let result = change(&mut self.inner.table.borrow_mut());
        self.inner.table_changed.notify_one();
        result
    }

    /// Admits a request. Decisions on it are delivered through the returned [`Ticket`].
    pub fn admit(&self, request: Request) -> Ticket {
        let (sender, decisions) = mpsc::unbounded_channel();
        let id = self.update(|table| table.admit(request));
        self.inner.decision_senders.borrow_mut().insert(id.clone(), sender);
        Ticket { facade: self.clone(), id, decisions }
    }

    /// Waits until the table has changed since the last tick. Cancel safe.
    pub async fn woken(&self) {
        self.inner.table_changed.notified().await;
    }

    /// Steps the router if a step is due, and delivers its decisions. Returns the clock time of the next
    /// call, if one is needed although nothing changes.
    pub fn tick(&self, now: Time) -> Option<Time> {
        let Tick { commands, next_at } = self.inner.table.borrow_mut().tick(now);
        commands.into_iter().for_each(|command| self.execute(command));
        next_at
    }

    fn execute(&self, command: TableCommand) {
        match command {
            TableCommand::Send(spec) => self.start_attempt(spec),
            TableCommand::Reject { request, wait } => {
                self.decide_finally(&request, Decision::Reject { wait })
            }
            TableCommand::Fail { request } => self.decide_finally(&request, Decision::Fail),
            TableCommand::Cancel(attempt) => self.cancel(&attempt),
            TableCommand::Log(entry) => log_note(&entry),
        }
    }

    fn start_attempt(&self, spec: AttemptSpec) {
        let (cancel_sender, cancelled) = oneshot::channel();
        let sender = self.inner.decision_senders.borrow().get(&spec.id.request).cloned();
        let attempt =
            Attempt { facade: self.clone(), spec, cancelled, is_cancelled: false, is_reported: false };
        self.inner.cancel_senders.borrow_mut().insert(attempt.spec.id.clone(), cancel_sender);
        // Without a receiver the attempt is dropped here, which reports it as not sent.
        if let Some(sender) = sender {
            let _ = sender.send(Decision::Send(attempt));
        }
    }

    fn cancel(&self, attempt: &AttemptId) {
        let cancel_sender = self.inner.cancel_senders.borrow_mut().remove(attempt);
        if let Some(cancel_sender) = cancel_sender {
            let _ = cancel_sender.send(());
        }
    }

    fn decide_finally(&self, request: &RequestId, decision: Decision) {
        let sender = self.inner.decision_senders.borrow_mut().remove(request);
        if let Some(sender) = sender {
            let _ = sender.send(decision);
        }
    }
}

fn log_note(entry: &LogEntry) {
    let suppressed = entry.suppressed;
    match entry.note {
        Note::MemberSuspected { member, silence, allowed, unanswered_targets } => log::info!(
            "member suspected host={member} silence_us={silence} allowed_us={allowed} unanswered_targets={unanswered_targets:.1} suppressed={suppressed}"
        ),
        Note::MemberDown { member } => log::info!("member down host={member} suppressed={suppressed}"),
        Note::MemberRecovered { member } => log::info!("member recovered host={member} suppressed={suppressed}"),
    }
}

/// An admitted request. Dropping it before its final decision abandons the request.
pub struct Ticket {
    facade: Facade,
    id: RequestId,
    decisions: mpsc::UnboundedReceiver<Decision>,
}

impl Ticket {
    /// Waits for the next decision. After the final one it returns [`Decision::Fail`]. Cancel safe.
    pub async fn pick(&mut self) -> Decision {
        self.decisions.recv().await.unwrap_or(Decision::Fail)
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.facade.inner.decision_senders.borrow_mut().remove(&self.id);
        self.facade.update(|table| table.abandon(&self.id));
        // Decisions that were not received are dropped with the channel, after this. An attempt among them
        // reports itself.
    }
}

/// An attempt to make. It is reported exactly once: by [`Attempt::report`], or as not sent when it is
/// dropped. An attempt that was never reported would count as in flight for good, and its member would lose
/// capacity.
pub struct Attempt {
    facade: Facade,
    spec: AttemptSpec,
    cancelled: oneshot::Receiver<()>,
    is_cancelled: bool,
    is_reported: bool,
}

impl Attempt {
    /// The member to send to.
    pub fn host(&self) -> MemberId {
        self.spec.host
    }

    /// Clock time at which to abandon the attempt.
    pub fn deadline(&self) -> Time {
        self.spec.deadline
    }

    /// Clock time by which the request must be written, if at all; see [`AttemptSpec::write_deadline`].
    pub fn write_deadline(&self) -> Time {
        self.spec.write_deadline
    }

    /// Waits until the attempt is cancelled. Cancel safe.
    pub async fn cancelled(&mut self) {
        if !self.is_cancelled && (&mut self.cancelled).await.is_err() {
            std::future::pending().await
        }
        self.is_cancelled = true;
    }

    /// Whether the attempt may still be sent: it has not been cancelled, and see [`RequestTable::may_send`].
    pub fn is_wanted(&mut self, now: Time) -> bool {
        // A cancellation may have arrived while the caller did other work.
        self.is_cancelled = self.is_cancelled || self.cancelled.try_recv().is_ok();
        !self.is_cancelled && self.facade.read(|table| table.may_send(now, &self.spec))
    }

    /// Learns the hosts' clock from the answer and drops implausible times from it; see
    /// [`RequestTable::validate_times`]. To be called before the attempt is reported. Returns whether the
    /// load report was kept.
    pub fn validate_times(&self, now: Time, outcome: &mut Outcome) -> bool {
        self.facade.update(|table| table.validate_times(now, self.spec.host, Some(&self.spec), outcome))
    }

    /// Reports how the attempt ended. Returns whether the member's answer is the final answer of the request:
    /// then the caller must deliver it to the client.
    pub fn report(mut self, now: Time, outcome: Outcome) -> bool {
        self.report_once(now, outcome)
    }

    /// The slow start of the attempt's member; none for a member that is warm.
    pub fn slow_start(&self) -> Option<SlowStart> {
        self.facade.read(|table| table.slow_start(self.spec.host))
    }

    fn report_once(&mut self, now: Time, outcome: Outcome) -> bool {
        self.is_reported = true;
        self.facade.inner.cancel_senders.borrow_mut().remove(&self.spec.id);
        let is_final_answer = self.facade.update(|table| table.report(now, &self.spec, outcome));
        if is_final_answer {
            self.facade.inner.decision_senders.borrow_mut().remove(&self.spec.id.request);
        }
        is_final_answer
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !self.is_reported {
            // Its client left before the attempt was received.
            self.report_once(self.spec.issued_at, Outcome::without_report(Ending::NotSent));
        }
    }
}

impl std::fmt::Debug for Attempt {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "attempt {} of {} at {}", self.spec.id.number, self.spec.id.request, self.spec.host)
    }
}
