//! The emulated list service: thousands of entries in groups, changed at a stated rate and pushed to every watch. It
//! counts what its clients get.

use super::addresses::zone_name;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Members of each group of entries that stand for no host.
pub const MEMBERS: usize = 6;
/// Groups of such entries are numbered from here.
pub const FIRST_GROUP: u64 = 1_000;
/// Changes that are remembered for watches that come back.
const REMEMBERED: usize = 20_000;
/// An empty line is sent this often (the protocol page).
const BEAT: Duration = Duration::from_secs(2);
/// Longest request.
const MOST_HEAD: usize = 8_192;

#[derive(Clone)]
struct Entry {
    name: String,
    address: SocketAddr,
    zone: usize,
    group: u64,
    primary: bool,
    draining: bool,
    started_ms: u64,
}

impl Entry {
    fn json(&self) -> String {
        let Entry { name, address, zone, group, primary, draining, started_ms } = self;
        let (zone, phase) = (zone_name(*zone), if *draining { "draining" } else { "up" });
        let role = if *primary { "primary" } else { "standby" };
        format!(
            r#"{{"id":"{name}","host_port":"{address}","locality":"{zone}","flavor":"m2","cell":{group},"phase":"{phase}","replication":"{role}","size":1.0,"up_since_ms":{started_ms}}}"#
        )
    }
}

#[derive(Default)]
struct State {
    entries: Vec<Entry>,
    /// Entries of real emulated hosts, as JSON: they never change.
    fixed: String,
    /// Revision and entry of each change.
    log: VecDeque<(u64, String)>,
}

/// The service.
pub struct ListService {
    state: RefCell<State>,
    revision: watch::Sender<u64>,
    /// Bytes that were sent.
    pub bytes: Cell<u64>,
    /// Whole lists that were sent.
    pub complete_lists: Cell<u64>,
    /// Bytes of the last whole list.
    pub complete_list_bytes: Cell<u64>,
    /// Changes that were made.
    pub changes: Cell<u64>,
}

/// The name of a member of a group of entries that stand for no host; the first one is its primary.
pub fn member_name(group: u64, member: usize) -> String {
    format!("h{group}-{member}")
}

impl ListService {
    /// Starts it with so many entries that stand for no host, beside the fixed ones.
    pub async fn start(
        count: usize,
        fixed: String,
    ) -> Result<(Rc<ListService>, SocketAddr), crate::error::LabError> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let entry = |place: usize| {
            let (group, member) = (FIRST_GROUP + (place / MEMBERS) as u64, place % MEMBERS);
            // Nobody listens there, and no client asks for these groups.
            let address = SocketAddr::from(([127, 21, (place / 250) as u8, (place % 250) as u8 + 1], 5_433));
            let name = member_name(group, member);
            Entry { name, address, zone: place, group, primary: member == 0, draining: false, started_ms: 0 }
        };
        let state = State { entries: (0..count).map(entry).collect(), fixed, log: VecDeque::new() };
        let service = Rc::new(ListService {
            state: RefCell::new(state),
            revision: watch::channel(1).0,
            bytes: Cell::new(0),
            complete_lists: Cell::new(0),
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

    /// Changes the entry of this place: one that is up begins to drain, one that drains has started anew.
    pub fn change(&self, place: usize, now_ms: u64) {
        let mut state = self.state.borrow_mut();
        let count = state.entries.len();
        let Some(entry) = state.entries.get_mut(place % count.max(1)) else { return };
        if entry.draining {
            entry.started_ms = now_ms;
        }
        entry.draining = !entry.draining;
        let (json, revision) = (entry.json(), self.revision() + 1);
        state.log.push_back((revision, json));
        if state.log.len() > REMEMBERED {
            state.log.pop_front();
        }
        self.changes.set(self.changes.get() + 1);
        self.revision.send_replace(revision);
    }

    /// Makes changes at a steady rate, for good.
    pub async fn keep_changing(self: Rc<Self>, per_minute: f64, seed: u64) {
        let pause = Duration::from_secs_f64(60.0 / per_minute);
        let mut next = tokio::time::Instant::now();
        let mut place = seed as usize;
        loop {
            next += pause;
            tokio::time::sleep_until(next).await;
            place = place.wrapping_mul(5).wrapping_add(1_013);
            let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
            self.change(place, now.as_millis() as u64);
        }
    }

    fn complete_list(&self) -> String {
        let state = self.state.borrow();
        let mut members: Vec<String> = state.entries.iter().map(Entry::json).collect();
        members.extend((!state.fixed.is_empty()).then(|| state.fixed.clone()));
        self.complete_lists.set(self.complete_lists.get() + 1);
        let line = format!(
            r#"{{"revision":{},"complete":true,"members":[{}]}}"#,
            self.revision(),
            members.join(",")
        );
        self.complete_list_bytes.set(line.len() as u64);
        line
    }

    /// What a watch that holds this revision has to be told.
    fn since(&self, revision: u64) -> String {
        let changed: Option<Vec<String>> = {
            let state = self.state.borrow();
            let first = state.log.front().map_or(u64::MAX, |(first, _)| *first);
            let held = revision > 0 && revision + 1 >= first.min(self.revision() + 1);
            held.then(|| {
                let newer = state.log.iter().filter(|(one, _)| *one > revision);
                newer.map(|(_, json)| json.clone()).collect()
            })
        };
        match changed {
            Some(changed) => {
                format!(
                    r#"{{"revision":{},"complete":false,"members":[{}]}}"#,
                    self.revision(),
                    changed.join(",")
                )
            }
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
        let (mut head, mut bytes) = (Vec::new(), [0; 512]);
        while !head.ends_with(b"\r\n\r\n") {
            let count = stream.read(&mut bytes).await.ok()?;
            if count == 0 || head.len() > MOST_HEAD {
                return None;
            }
            head.extend_from_slice(&bytes[..count]);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let _ = stream.set_nodelay(true);
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await.ok()?;
        if !head.contains("watch=1") {
            self.send(&mut stream, &self.complete_list()).await?;
            return stream.write_all(b"0\r\n\r\n").await.ok();
        }
        let after = head.split_once("after=").map_or("", |(_, rest)| rest);
        let digits: String = after.chars().take_while(char::is_ascii_digit).collect();
        let mut held: u64 = digits.parse().unwrap_or(0);
        let mut revision = self.revision.subscribe();
        loop {
            let newest = *revision.borrow_and_update();
            if newest > held || held == 0 {
                let line = self.since(held);
                held = newest;
                self.send(&mut stream, &line).await?;
            }
            tokio::select! {
                changed = revision.changed() => changed.ok()?,
                () = tokio::time::sleep(BEAT) => self.send(&mut stream, "").await?,
            }
        }
    }

    async fn send(&self, stream: &mut TcpStream, line: &str) -> Option<()> {
        let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
        self.bytes.set(self.bytes.get() + chunk.len() as u64);
        stream.write_all(chunk.as_bytes()).await.ok()
    }
}
