//! The accepting of clients, and the session that each of them gets.

use crate::client::accept_loop::{AcceptLoop, ClientHandler};
use crate::client::context::ClientContext;
use crate::client::reader::ClientReader;
use crate::client::session::ClientSession;
use crate::resources::budget::DescriptorSlot;
use petrelgauge_sessions::SessionTokens;
use std::cell::Cell;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

impl ClientContext {
    /// Accepts clients until the gateway stops. It never pauses: what waits in the kernel's backlog counts
    /// as taken, and so what is there goes before the stop; unless the socket is `shared` with the process that
    /// comes next, whose they are.
    pub async fn accept(self: Rc<Self>, listener: TcpListener, shared: bool) {
        // Whoever waits to be accepted is held too, up to the moment at which the listener is closed.
        let _accepting = self.open_sessions.enter();
        let accept_loop = AcceptLoop { clock: self.clock, state: self.serving_state.clone(), shared };
        accept_loop.run(&listener, &Handler { context: self.clone(), accepted: Cell::new(0) }).await;
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream, number: u32, _slot: DescriptorSlot) {
        let _open = self.open_sessions.enter();
        let _ = stream.set_nodelay(true);
        let (reader, writer) = stream.split();
        let mut session = ClientSession {
            context: self.clone(),
            reader: ClientReader::new(reader, &self),
            writer,
            shed: Rc::new(Notify::new()),
            serving_state: self.serving_state.clone(),
            close_from: 0,
            cancel_key: self.cancel_registry.register(number),
            session_tokens: SessionTokens::default(),
        };
        let end = session.run().await;
        log::debug!("client ended client={number} end={end:?}");
        self.counters.ended(end);
    }
}

/// Opens sessions for the clients that are accepted.
struct Handler {
    context: Rc<ClientContext>,
    /// Clients so far.
    accepted: Cell<u32>,
}

impl ClientHandler<TcpStream> for Handler {
    fn on_client(&self, stream: TcpStream) {
        let (context, number) = (&self.context, self.accepted.get().wrapping_add(1));
        self.accepted.set(number);
        context.counters.clients.add();
        context.host_pool.ensure_descriptor();
        // Counted here: of many that come at once, each must see those before it.
        let slot = context.budget.acquire_client_slot();
        tokio::task::spawn_local(context.clone().serve(stream, number, slot));
    }

    fn on_shortage(&self) {
        self.context.host_pool.ensure_descriptor();
    }
}
