//! An emulated list service that pushes endpoint lists to every watching gateway, unless a fault is injected.

use crate::endpoint_list::{line_chunk, list_line, read_request_head, LAST_CHUNK, RESPONSE_HEAD};
use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Interval of heartbeats on a watch without changes, as the protocol page states.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// Whether the service works or has a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceState {
    /// The service answers.
    Up,
    /// Connections receive nothing more, not even after the service has recovered.
    Silent,
    /// Existing and new connections are reset.
    Refusing,
}

/// What a new watch receives first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstUpdate {
    /// The complete list, whatever revision the watch already has.
    CompleteList,
    /// The changes since the revision in the request; the complete list if the request has none.
    Changes,
}

/// A list entry as JSON, and the revision that last changed it.
struct Entry {
    json: String,
    revision: u64,
}

/// An emulated list service.
pub struct ListService {
    /// The address of the service.
    pub address: SocketAddr,
    first_update: FirstUpdate,
    entries: RefCell<Vec<Entry>>,
    /// The last revision that replaced all entries. Watches with an older revision need the complete list.
    replaced_at: Cell<u64>,
    revision: watch::Sender<u64>,
    state: watch::Sender<ServiceState>,
    bytes_sent: Cell<u64>,
    complete_list_bytes: Cell<u64>,
}

impl ListService {
    /// Starts the service at a free port of an address, with these entries as revision 1.
    ///
    /// # Errors
    ///
    /// Fails if its listening socket cannot be opened.
    pub async fn start(
        ip: Ipv4Addr,
        first_update: FirstUpdate,
        entries: Vec<String>,
    ) -> std::io::Result<Rc<ListService>> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let entries = entries.into_iter().map(|json| Entry { json, revision: 1 }).collect();
        let service = Rc::new(ListService {
            address: listener.local_addr()?,
            first_update,
            entries: RefCell::new(entries),
            replaced_at: Cell::new(1),
            revision: watch::Sender::new(1),
            state: watch::Sender::new(ServiceState::Up),
            bytes_sent: Cell::new(0),
            complete_list_bytes: Cell::new(0),
        });
        tokio::task::spawn_local(service.clone().listen(listener));
        Ok(service)
    }

    /// The newest revision.
    pub fn revision(&self) -> u64 {
        *self.revision.borrow()
    }

    /// Bytes of lists and heartbeats sent so far.
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent.get()
    }

    /// Size of the last complete list (bytes).
    pub fn complete_list_bytes(&self) -> u64 {
        self.complete_list_bytes.get()
    }

    /// The current complete list.
    pub fn complete_list(&self) -> String {
        let line = list_line(self.revision(), true, &self.entries_since(0));
        self.complete_list_bytes.set(line.len() as u64);
        line
    }

    /// Publishes a new revision that changes one entry.
    pub fn replace_entry(&self, index: usize, json: String) {
        let revision = self.revision() + 1;
        self.entries.borrow_mut()[index] = Entry { json, revision };
        self.revision.send_replace(revision);
    }

    /// Publishes a new revision that replaces all entries.
    pub fn replace_all(&self, entries: Vec<String>) {
        let revision = self.revision() + 1;
        *self.entries.borrow_mut() = entries.into_iter().map(|json| Entry { json, revision }).collect();
        self.replaced_at.set(revision);
        self.revision.send_replace(revision);
    }

    /// Injects a fault or ends it.
    pub fn set_state(&self, state: ServiceState) {
        self.state.send_replace(state);
    }

    fn entries_since(&self, revision: u64) -> String {
        let entries = self.entries.borrow();
        let newer = entries.iter().filter(|entry| entry.revision > revision);
        newer.map(|entry| entry.json.as_str()).collect::<Vec<_>>().join(",")
    }

    /// The update for a watch that has this revision.
    fn update_since(&self, revision: u64) -> String {
        if revision < self.replaced_at.get() {
            return self.complete_list();
        }
        list_line(self.revision(), false, &self.entries_since(revision))
    }

    async fn listen(self: Rc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::task::spawn_local(self.clone().serve(stream));
        }
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        let mut state = self.state.subscribe();
        let is_refused = tokio::select! {
            biased;
            _ = state.wait_for(|state| *state == ServiceState::Refusing) => true,
            _ = self.answer(&mut stream) => false,
        };
        if is_refused {
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
    }

    /// Answers a poll, or serves a watch until its connection ends. A connection that became silent stays
    /// silent.
    async fn answer(&self, stream: &mut TcpStream) -> Option<()> {
        let head = read_request_head(stream).await?;
        let _ = stream.set_nodelay(true);
        let mut state = self.state.subscribe();
        // `wait_for` returns a guard that locks the state, so the guard is dropped immediately.
        let silent = async { state.wait_for(|state| *state == ServiceState::Silent).await.is_ok() };
        tokio::select! {
            biased;
            _ = silent => std::future::pending().await,
            written = self.write_lists(stream, &head) => written,
        }
    }

    async fn write_lists(&self, stream: &mut TcpStream, head: &str) -> Option<()> {
        stream.write_all(RESPONSE_HEAD).await.ok()?;
        if !head.contains("watch=1") {
            self.send(stream, &self.complete_list()).await?;
            return stream.write_all(LAST_CHUNK).await.ok();
        }
        let mut changes = self.revision.subscribe();
        let mut sent = match self.first_update {
            FirstUpdate::CompleteList => 0,
            FirstUpdate::Changes => revision_of_request(head),
        };
        loop {
            let newest = *changes.borrow_and_update();
            if newest > sent {
                let line = self.update_since(sent);
                sent = newest;
                self.send(stream, &line).await?;
            }
            tokio::select! {
                changed = changes.changed() => changed.ok()?,
                () = tokio::time::sleep(HEARTBEAT_INTERVAL) => self.send(stream, "").await?,
            }
        }
    }

    async fn send(&self, stream: &mut TcpStream, line: &str) -> Option<()> {
        let chunk = line_chunk(line);
        self.bytes_sent.set(self.bytes_sent.get() + chunk.len() as u64);
        stream.write_all(&chunk).await.ok()
    }
}

/// The revision in the request of a watch; 0 if there is none.
fn revision_of_request(head: &str) -> u64 {
    let after = head.split_once("after=").map_or("", |(_, rest)| rest);
    let digits: String = after.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0)
}
