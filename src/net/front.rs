//! What all client sessions share, and the accepting of clients.

use crate::facade::Facade;
use crate::net::accept_loop::{AcceptLoop, ClientHandler};
use crate::net::budget::{Budget, Slot};
use crate::net::cancel::CancelKeys;
use crate::net::client_reader::ClientReader;
use crate::net::client_session::ClientSession;
use crate::net::clock::Clock;
use crate::net::counters::{Counters, Gauge};
use crate::net::hosts::Hosts;
use crate::net::pg;
use crate::net::read_buffer::ReadBuffer;
use crate::net::set;
use crate::Time;
use petrelgauge_lifecycle::gateway::{LastReads, ServingState};
use petrelgauge_sessions::{SessionKey, SessionTokens};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};

/// What all sessions share.
pub struct Front {
    /// The decisions.
    pub facade: Facade,
    /// The database hosts.
    pub hosts: Rc<Hosts>,
    /// The clock.
    pub clock: Clock,
    /// Descriptors and memory.
    pub budget: Rc<Budget>,
    /// Counts.
    pub counters: Rc<Counters>,
    /// What is read into.
    pub read_buffer: Rc<ReadBuffer>,
    /// What is to be done with clients.
    pub door: watch::Receiver<ServingState>,
    /// Sessions that are open.
    pub open: Gauge,
    /// What clients may cancel their open queries with.
    pub cancel_keys: Rc<CancelKeys>,
    /// What clients call their open requests.
    pub ids: RefCell<BTreeSet<Rc<str>>>,
    /// Clock time of the last answers before the process may be killed, once it is to stop.
    pub last: Cell<Time>,
    /// Up to when clients are read then.
    pub last_reads: Cell<LastReads>,
}

impl Front {
    /// Accepts clients until the gateway stops. It never pauses: what waits in the kernel's backlog counts
    /// as taken, and so what is there goes before the stop; unless the socket is `shared` with the process that
    /// comes next, whose they are.
    pub async fn accept(self: Rc<Self>, listener: TcpListener, shared: bool) {
        // Whoever waits to be accepted is held too, up to the moment at which the listener is closed.
        let _accepting = self.open.enter();
        let accept_loop = AcceptLoop { clock: self.clock, state: self.door.clone(), shared };
        accept_loop.run(&listener, &Handler { front: self.clone(), accepted: Cell::new(0) }).await;
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream, number: u32, _slot: Slot) {
        let _open = self.open.enter();
        let _ = stream.set_nodelay(true);
        let (reader, writer) = stream.split();
        let mut session = ClientSession {
            front: self.clone(),
            reader: ClientReader::new(reader, &self),
            writer,
            shed: Rc::new(Notify::new()),
            door: self.door.clone(),
            close_from: 0,
            cancel_key: self.cancel_keys.register(number),
            session_tokens: SessionTokens::default(),
        };
        let end = session.run().await;
        log::debug!("client {number} ended: {end:?}");
        self.counters.ended(end);
    }

    /// Tells the session's token, where its client carries one.
    pub(super) fn put_mark(&self, out: &mut Vec<u8>, session: Option<SessionKey>) {
        if let Some(token) = session.and_then(|key| self.facade.token(self.clock.now(), key)) {
            pg::put_status(out, set::MARK, &token);
        }
    }

    /// Marks a request as open. None if another with that name is.
    pub(super) fn claim(self: &Rc<Self>, id: &str) -> Option<Claim> {
        let id: Rc<str> = id.into();
        self.ids.borrow_mut().insert(id.clone()).then(|| Claim { front: self.clone(), id })
    }
}

/// Opens sessions for the clients that are accepted.
struct Handler {
    front: Rc<Front>,
    /// Clients so far.
    accepted: Cell<u32>,
}

impl ClientHandler<TcpStream> for Handler {
    fn on_client(&self, stream: TcpStream) {
        let (front, number) = (&self.front, self.accepted.get().wrapping_add(1));
        self.accepted.set(number);
        front.counters.clients.add();
        front.hosts.make_room();
        // Counted here: of many that come at once, each must see those before it.
        let slot = front.budget.take_client();
        tokio::task::spawn_local(front.clone().serve(stream, number, slot));
    }

    fn on_shortage(&self) {
        self.front.hosts.make_room();
    }
}

/// A request's name, its own for as long as it is open.
pub(super) struct Claim {
    front: Rc<Front>,
    id: Rc<str>,
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.front.ids.borrow_mut().remove(&self.id);
    }
}
