//! Asynchronous interface to the routing decisions, for code that serves connections: admits requests,
//! delivers the decisions on them and takes the report of each attempt.
//!
//! A [`Facade`] owns the gateway's [`RequestTable`] and a channel for each open request and each attempt in
//! flight. A client session admits a [`Request`] and gets a [`RequestHandle`], whose
//! [`next_decision`](RequestHandle::next_decision) waits for the next [`Decision`]. A decision to send has an
//! [`Attempt`], which is reported exactly once, whether it was made or dropped.
//!
//! One task drives the facade: it calls [`Facade::tick`] at the time that the last call returned, or earlier
//! when [`Facade::changed`] returns. State other than requests and attempts is read with [`Facade::read`] and
//! changed with [`Facade::update`], which wakes that task. Whoever reads queries of clients follows changes of
//! the settings with [`Facade::watch_settings`], and keeps a [`SettingsHold`] of the settings under which it
//! received a query until the query is admitted.
//!
//! The facade makes no decisions itself and handles neither protocols nor sockets. It may import no other
//! folder of the gateway.

use petrelgauge_lifecycle::class_table::ClassSetVersion;
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
use tokio::sync::{mpsc, oneshot, watch, Notify};

/// A decision on a request.
#[derive(Debug)]
pub enum Decision {
    /// Send the request to the attempt's member. Another decision may follow.
    Send(Attempt),
    /// Final: the request is rejected and was not executed.
    Reject {
        /// Retry-After for the client (microseconds); 0 for none.
        wait: Time,
    },
    /// Final: the request failed and may have been executed.
    Fail,
}

/// The request table of a gateway, shared by all of its tasks.
#[derive(Clone)]
pub struct Facade {
    inner: Rc<Inner>,
}

struct Inner {
    table: RefCell<RequestTable>,
    /// Delivers the decisions on each open request.
    decision_senders: RefCell<BTreeMap<RequestId, DecisionSender>>,
    /// Delivers the cancellation of each attempt in flight.
    cancel_senders: RefCell<BTreeMap<AttemptId, oneshot::Sender<()>>>,
    /// Notified when the table changes.
    table_changed: Notify,
    /// The version of the classes in force.
    class_version: watch::Sender<ClassSetVersion>,
}

type DecisionSender = mpsc::UnboundedSender<Decision>;

impl Facade {
    /// Creates a facade without session consistency. All random numbers are derived from `seed`.
    ///
    /// # Errors
    ///
    /// Fails if the settings are invalid.
    pub fn new(settings: Settings, seed: u64) -> Result<Facade, SettingsError> {
        Facade::with_sessions(settings, seed, None)
    }

    /// Creates a facade that also tracks the sessions of some request classes.
    ///
    /// # Errors
    ///
    /// Fails if the settings are invalid.
    pub fn with_sessions(
        settings: Settings,
        seed: u64,
        sessions: Option<SessionTracking>,
    ) -> Result<Facade, SettingsError> {
        let table = RequestTable::new(settings, seed, sessions)?;
        let inner = Inner {
            class_version: watch::Sender::new(table.class_version()),
            table: RefCell::new(table),
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
    /// If `read` changes the request table, for example by dropping a [`RequestHandle`].
    pub fn read<T>(&self, read: impl FnOnce(&RequestTable) -> T) -> T {
        read(&self.inner.table.borrow())
    }

    /// Changes the request table and wakes the task that drives the facade.
    ///
    /// Not for requests and attempts, whose channels the facade has to register and remove: use
    /// [`Facade::admit`] and [`Attempt::report`] for them.
    ///
    /// # Panics
    ///
    /// If `change` uses the facade.
    pub fn update<T>(&self, change: impl FnOnce(&mut RequestTable) -> T) -> T {
        let result = change(&mut self.inner.table.borrow_mut());
        self.inner.table_changed.notify_one();
        result
    }

    /// Applies new settings; see [`RequestTable::apply_settings`].
    ///
    /// # Errors
    ///
    /// Returns why the settings were rejected; nothing has changed then.
    pub fn apply_settings(
        &self,
        now: Time,
        settings: Settings,
        session_classes: &[usize],
    ) -> Result<(), SettingsRejected> {
        self.update(|table| table.apply_settings(now, settings, session_classes))?;
        let new = self.read(RequestTable::class_version);
        self.inner.class_version.send_if_modified(|version| std::mem::replace(version, new) != new);
        Ok(())
    }

    /// Notifies of each change of the classes in force.
    pub fn watch_settings(&self) -> watch::Receiver<ClassSetVersion> {
        self.inner.class_version.subscribe()
    }

    /// Holds the settings in force for queries that are received under them.
    pub fn hold_settings(&self) -> SettingsHold {
        let version = self.inner.table.borrow_mut().hold_classes();
        SettingsHold { held: Rc::new(HeldSettings { facade: self.clone(), version }) }
    }

    /// Admits a request. Decisions on it are delivered through the returned [`RequestHandle`].
    pub fn admit(&self, request: Request) -> RequestHandle {
        let (sender, decisions) = mpsc::unbounded_channel();
        let id = self.update(|table| table.admit(request));
        self.inner.decision_senders.borrow_mut().insert(id.clone(), sender);
        RequestHandle { facade: self.clone(), id, decisions }
    }

    /// Waits until the table has changed since the last tick. Cancel safe.
    pub async fn changed(&self) {
        self.inner.table_changed.notified().await;
    }

    /// Steps the router if a step is due, and delivers its decisions. Returns the clock time at which to call
    /// again if the table does not change before; none if no such call is needed.
    pub fn tick(&self, now: Time) -> Option<Time> {
        let Tick { commands, next_at } = self.inner.table.borrow_mut().tick(now);
        commands.into_iter().for_each(|command| self.execute(command));
        next_at
    }

    fn execute(&self, command: TableCommand) {
        match command {
            TableCommand::Send(spec) => self.start_attempt(spec),
            TableCommand::Reject { request, wait } => {
                self.deliver_final_decision(&request, Decision::Reject { wait })
            }
            TableCommand::Fail { request } => self.deliver_final_decision(&request, Decision::Fail),
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
        // If the request is no longer open, the attempt is dropped here, which reports it as not sent.
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

    fn deliver_final_decision(&self, request: &RequestId, decision: Decision) {
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

/// The settings under which a query was received. Their classes are kept until the last clone is dropped.
#[derive(Clone)]
pub struct SettingsHold {
    held: Rc<HeldSettings>,
}

struct HeldSettings {
    facade: Facade,
    version: ClassSetVersion,
}

impl SettingsHold {
    /// The version of their classes.
    pub fn version(&self) -> ClassSetVersion {
        self.held.version
    }
}

impl Drop for HeldSettings {
    fn drop(&mut self) {
        self.facade.inner.table.borrow_mut().release_classes(self.version);
    }
}

/// An admitted request. Dropping it before its final decision abandons the request.
pub struct RequestHandle {
    facade: Facade,
    id: RequestId,
    decisions: mpsc::UnboundedReceiver<Decision>,
}

impl RequestHandle {
    /// Waits for the next decision. After the final one it returns [`Decision::Fail`]. Cancel safe.
    pub async fn next_decision(&mut self) -> Decision {
        self.decisions.recv().await.unwrap_or(Decision::Fail)
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        self.facade.inner.decision_senders.borrow_mut().remove(&self.id);
        self.facade.update(|table| table.abandon(&self.id));
        // Decisions that were not received are dropped with the channel, after this function returns. An
        // attempt among them is reported as not sent when it is dropped.
    }
}

/// An attempt to make. It is reported exactly once: by [`Attempt::report`], or as not sent when it is
/// dropped. An attempt that is never reported would count as in flight forever and permanently reduce the
/// capacity of its member.
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

    /// Clock time at which the attempt is abandoned.
    pub fn deadline(&self) -> Time {
        self.spec.deadline
    }

    /// Clock time after which the request may no longer be written; see [`AttemptSpec::write_deadline`].
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

    /// Whether the attempt may still be sent: it was not cancelled and [`RequestTable::may_send`] allows it.
    pub fn is_wanted(&mut self, now: Time) -> bool {
        // A cancellation may have arrived since `cancelled` was last polled.
        self.is_cancelled = self.is_cancelled || self.cancelled.try_recv().is_ok();
        !self.is_cancelled && self.facade.read(|table| table.may_send(now, &self.spec))
    }

    /// Updates the estimate of the hosts' clock from the answer and removes implausible times from `outcome`;
    /// see [`RequestTable::validate_times`]. Must be called before the attempt is reported. Returns whether
    /// the load report was kept.
    pub fn validate_times(&self, now: Time, outcome: &mut Outcome) -> bool {
        self.facade.update(|table| table.validate_times(now, self.spec.host, Some(&self.spec), outcome))
    }

    /// Reports how the attempt ended. Returns whether the member's answer is the final answer of the request,
    /// in which case the caller must deliver it to the client.
    pub fn report(mut self, now: Time, outcome: Outcome) -> bool {
        self.report_outcome(now, outcome)
    }

    /// The slow start of the attempt's member; none if the member is not in slow start.
    pub fn slow_start(&self) -> Option<SlowStart> {
        self.facade.read(|table| table.slow_start(self.spec.host))
    }

    fn report_outcome(&mut self, now: Time, outcome: Outcome) -> bool {
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
            // The request was abandoned before its session received the attempt.
            self.report_outcome(self.spec.issued_at, Outcome::without_report(Ending::NotSent));
        }
    }
}

impl std::fmt::Debug for Attempt {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "attempt {} of {} at {}", self.spec.id.number, self.spec.id.request, self.spec.host)
    }
}
