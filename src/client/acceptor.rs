//! Accepts clients and starts a session for each one.

use crate::client::accept_loop::{AcceptLoop, ClientHandler};
use crate::client::context::ClientContext;
use crate::client::session::ClientSession;
use crate::resources::budget::DescriptorSlot;
use petrelgauge_lifecycle::gateway::ListenerSharing;
use std::cell::Cell;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};

impl ClientContext {
    /// Accepts and serves clients until the gateway stops; see [`AcceptLoop::run`].
    pub async fn accept(self: Rc<Self>, listener: TcpListener, sharing: ListenerSharing) {
        // Counts as a session, since the gateway must not exit while clients may be in the listen backlog.
        let _accepting = self.open_sessions.enter();
        let accept_loop = AcceptLoop { clock: self.clock, state: self.serving_state.clone(), sharing };
        let handler = SessionStarter { context: self.clone(), accepted_count: Cell::new(0) };
        accept_loop.run(&listener, &handler).await;
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream, number: u32, _slot: DescriptorSlot) {
        let _open = self.open_sessions.enter();
        let _ = stream.set_nodelay(true);
        let end = ClientSession::new(self.clone(), &mut stream, number).run_until_closed().await;
        log::debug!("client ended client={number} end={end:?}");
        self.counters.ended(end);
    }
}

/// Starts a session for each accepted client.
struct SessionStarter {
    context: Rc<ClientContext>,
    accepted_count: Cell<u32>,
}

impl ClientHandler<TcpStream> for SessionStarter {
    fn on_client(&self, stream: TcpStream) {
        let context = &self.context;
        let number = self.accepted_count.get().wrapping_add(1);
        self.accepted_count.set(number);
        context.counters.clients.add();
        context.host_pool.ensure_descriptor();
        // Acquired here rather than in the task, so that each of many simultaneous clients counts those that
        // were accepted before it.
        let slot = context.budget.acquire_client_slot();
        tokio::task::spawn_local(context.clone().serve(stream, number, slot));
    }

    fn on_shortage(&self) {
        self.context.host_pool.ensure_descriptor();
    }
}
