//! The emulated list service of a fleet: thousands of entries in groups, changed at a stated rate and pushed to every
//! watch. It counts what its clients receive.

use super::addresses::zone_name;
use petrelgauge_test_support::{
    line_chunk, list_line, read_request_head, Endpoint, LAST_CHUNK, RESPONSE_HEAD,
};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Members of each group of entries that stand for no host.
pub const MEMBERS_OF_GROUP: usize = 6;
/// Groups of such entries are numbered from here.
pub const FIRST_LISTED_ONLY_GROUP: u64 = 1_000;
/// Changes that are kept for watches that come back.
const MAX_LOGGED_CHANGES: usize = 20_000;
/// How often a watch without changes gets a heartbeat, as the protocol page states.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Port of entries that stand for no host.
const LISTED_ONLY_PORT: u16 = 5_433;
/// Entries for each value of an address's third byte.
const ENTRIES_PER_NET: usize = 250;
/// The kind of machine that entries state.
const MACHINE_TYPE: &str = "m2";

/// A change of the list.
struct Change {
    revision: u64,
    /// The entry that changed, as JSON.
    entry: String,
}

struct ListState {
    endpoints: Vec<Endpoint>,
    /// Entries of emulated hosts, as JSON: they never change.
    fixed_entries: String,
    log: VecDeque<Change>,
}

/// The service.
pub struct ListService {
    state: RefCell<ListState>,
    revision: watch::Sender<u64>,
    /// Bytes that were sent.
    pub bytes_sent: Cell<u64>,
    /// Bytes of the last complete list.
    pub complete_list_bytes: Cell<u64>,
    /// Changes that were made.
    pub changes: Cell<u64>,
}

/// The name of a member of a group of entries that stand for no host; member 0 is its primary.
pub fn member_name(group: u64, member: usize) -> String {
    format!("h{group}-{member}")
}

fn listed_only_endpoint(index: usize) -> Endpoint {
    let group = FIRST_LISTED_ONLY_GROUP + (index / MEMBERS_OF_GROUP) as u64;
    let member = index % MEMBERS_OF_GROUP;
    // Nobody listens there, and no client asks for these groups.
    let ip = [127, 21, (index / ENTRIES_PER_NET) as u8, (index % ENTRIES_PER_NET) as u8 + 1];
    Endpoint {
        name: member_name(group, member),
        address: SocketAddr::from((ip, LISTED_ONLY_PORT)),
        zone: zone_name(index),
        machine_type: Some(MACHINE_TYPE),
        group,
        draining: false,
        primary: member == 0,
        started_ms: 0,
    }
}

impl ListService {
    /// Starts the service and returns its address. It lists this many entries that stand for no host, beside the fixed
    /// ones.
    ///
    /// # Errors
    ///
    /// Fails if its listening socket cannot be opened.
    pub async fn start(
        listed_only: usize,
        fixed_entries: String,
    ) -> std::io::Result<(Rc<ListService>, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let endpoints = (0..listed_only).map(listed_only_endpoint).collect();
        let service = Rc::new(ListService {
            state: RefCell::new(ListState { endpoints, fixed_entries, log: VecDeque::new() }),
            revision: watch::channel(1).0,
            bytes_sent: Cell::new(0),
            complete_list_bytes: Cell::new(0),
            changes: Cell::new(0),
        });
        tokio::task::spawn_local(service.clone().listen(listener));
        Ok((service, address))
    }

    /// The newest revision.
    pub fn revision(&self) -> u64 {
        *self.revision.borrow()
    }

    /// Changes the entry of this index: one that is up begins to drain, one that drains has been started anew.
    pub fn change(&self, index: usize, now_ms: i64) {
        let mut state = self.state.borrow_mut();
        let count = state.endpoints.len().max(1);
        let Some(endpoint) = state.endpoints.get_mut(index % count) else { return };
        if endpoint.draining {
            endpoint.started_ms = now_ms;
        }
        endpoint.draining = !endpoint.draining;
        let (entry, revision) = (endpoint.json(), self.revision() + 1);
        state.log.push_back(Change { revision, entry });
        if state.log.len() > MAX_LOGGED_CHANGES {
            state.log.pop_front();
        }
        self.changes.set(self.changes.get() + 1);
        self.revision.send_replace(revision);
    }

    /// Makes changes at a steady rate, for ever.
    pub async fn keep_changing(self: Rc<Self>, per_minute: f64, seed: u64) {
        let pause = Duration::from_secs_f64(60.0 / per_minute);
        let mut next = tokio::time::Instant::now();
        let mut index = seed as usize;
        loop {
            next += pause;
            tokio::time::sleep_until(next).await;
            index = index.wrapping_mul(5).wrapping_add(1_013);
            let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
            self.change(index, now.as_millis() as i64);
        }
    }

    fn complete_list(&self) -> String {
        let state = self.state.borrow();
        let mut entries: Vec<String> = state.endpoints.iter().map(Endpoint::json).collect();
        entries.extend((!state.fixed_entries.is_empty()).then(|| state.fixed_entries.clone()));
        let line = list_line(self.revision(), true, &entries.join(","));
        self.complete_list_bytes.set(line.len() as u64);
        line
    }

    /// The entries that changed after this revision; none if the log does not reach back so far.
    fn changed_entries(&self, revision: u64) -> Option<String> {
        let state = self.state.borrow();
        let first = state.log.front().map_or(u64::MAX, |change| change.revision);
        let is_logged = revision > 0 && revision + 1 >= first.min(self.revision() + 1);
        let newer = state.log.iter().filter(|change| change.revision > revision);
        let entries: Vec<&str> = newer.map(|change| change.entry.as_str()).collect();
        is_logged.then(|| entries.join(","))
    }

    /// What a watch that holds this revision has to receive.
    fn update_since(&self, revision: u64) -> String {
        match self.changed_entries(revision) {
            Some(entries) => list_line(self.revision(), false, &entries),
            None => self.complete_list(),
        }
    }

    async fn listen(self: Rc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let service = self.clone();
            tokio::task::spawn_local(async move { service.serve(stream).await });
        }
    }

    async fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let head = read_request_head(&mut stream).await?;
        let _ = stream.set_nodelay(true);
        stream.write_all(RESPONSE_HEAD).await.ok()?;
        if head.contains("watch=1") {
            self.serve_watch(&mut stream, revision_of_request(&head)).await
        } else {
            self.send(&mut stream, &self.complete_list()).await?;
            stream.write_all(LAST_CHUNK).await.ok()
        }
    }

    async fn serve_watch(&self, stream: &mut TcpStream, mut sent: u64) -> Option<()> {
        let mut revision = self.revision.subscribe();
        loop {
            let newest = *revision.borrow_and_update();
            if newest > sent || sent == 0 {
                let line = self.update_since(sent);
                sent = newest;
                self.send(stream, &line).await?;
            }
            tokio::select! {
                changed = revision.changed() => changed.ok()?,
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

/// The revision that a watch says it holds; 0 for none.
fn revision_of_request(head: &str) -> u64 {
    let after = head.split_once("after=").map_or("", |(_, rest)| rest);
    let digits: String = after.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0)
}
