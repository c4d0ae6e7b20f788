//! The client of discovery: one watch over HTTP/1.1, kept open, its answer read line by line.

use crate::facade::Facade;
use crate::net::clock::Clock;
use crate::net::counters::Counters;
use crate::net::hosts::{Hosts, Site};
use crate::{Entry, MemberId, Standing, Time};
use petrelgauge_lifecycle::backoff::{Backoff, Cause};
use serde::Deserialize;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Discovery writes an empty line every 2 s; silent for this span (microseconds), the watch is taken for
/// dead. What it has to tell counts as told after 6 s, so little of that may be spent on waiting.
const SILENCE: Time = 3_000_000;
/// Span in which a host that was removed keeps its number (microseconds). Nothing of it is out by then, and
/// the decisions remember it no longer.
const REMEMBERED: Time = 60_000_000;
/// What is said of a call that was answered, but not with a list.
const REFUSED: &str = "its status is not 200";
/// Longest head and longest line taken from discovery.
const MOST_HEAD: usize = 16 * 1024;
const MOST_LINE: usize = 4 * 1024 * 1024;

/// A list as discovery writes it: whole, or what changed.
#[derive(Debug, Clone, Deserialize)]
pub struct List {
    revision: u64,
    complete: bool,
    members: Vec<Row>,
}

#[derive(Debug, Clone, Deserialize)]
struct Row {
    id: String,
    host_port: Option<SocketAddr>,
    #[serde(default)]
    locality: String,
    #[serde(default)]
    cell: u64,
    phase: Phase,
    #[serde(default = "one")]
    size: f64,
    #[serde(default)]
    up_since_ms: Time,
    #[serde(default)]
    replication: Option<String>,
}

fn one() -> f64 {
    1.0
}

#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Phase {
    Up,
    Draining,
    Removed,
}

/// Follows discovery and tells the facade and the hosts.
pub struct Follower {
    facade: Facade,
    hosts: Rc<Hosts>,
    counters: Rc<Counters>,
    clock: Clock,
    /// The decisions know hosts by number; discovery's names stay the same at every gateway and restart.
    numbers: BTreeMap<String, Known>,
    next: MemberId,
    revision: Option<u64>,
    backoff: Backoff,
    /// It has spoken since the start.
    told: Rc<Cell<bool>>,
    /// The numbers, for the next process.
    named: Rc<RefCell<BTreeMap<String, MemberId>>>,
}

/// A host that discovery named.
struct Known {
    id: MemberId,
    /// Since when it is named no more.
    gone: Option<Time>,
}

impl Follower {
    /// A follower that starts from the list as it was last known. `numbers` are those that another process of this
    /// gateway has given.
    pub fn new(
        facade: Facade,
        hosts: Rc<Hosts>,
        counters: Rc<Counters>,
        clock: Clock,
        known: Option<List>,
        backoff: Backoff,
        given: Vec<(String, MemberId)>,
    ) -> Follower {
        let next = given.iter().map(|(_, id)| id.wrapping_add(1)).max().unwrap_or(0);
        let gone = Some(clock.now());
        let numbers = given.into_iter().map(|(name, id)| (name, Known { id, gone })).collect();
        let (revision, named) = (None, Rc::default());
        let told = Rc::default();
        let mut follower =
            Follower { facade, hosts, counters, clock, numbers, next, revision, backoff, told, named };
        if let Some(list) = known {
            // Whatever it says of itself, it is all that is known: there is no older list to change.
            follower.take(List { complete: true, ..list });
        }
        follower
    }

    /// The number of each host, as it is now.
    pub fn numbers(&self) -> Rc<RefCell<BTreeMap<String, MemberId>>> {
        self.named.clone()
    }

    /// Turns true once discovery has spoken.
    pub fn told(&self) -> Rc<Cell<bool>> {
        self.told.clone()
    }

    /// Keeps a watch open for good, always at the address that was named last.
    pub async fn follow(mut self, mut addresses: watch::Receiver<SocketAddr>) {
        let clock = self.clock;
        let mut last = String::new();
        loop {
            let address = *addresses.borrow_and_update();
            self.counters.watches.add();
            let cause = tokio::select! {
                ended = self.watch(address) => ended.err().unwrap_or_default(),
                Ok(()) = addresses.changed() => {
                    // Whether the next source counts its revisions alike is not known: it is asked for the
                    // whole list. Until it speaks, the list stays as it is.
                    self.revision = None;
                    last.clear();
                    continue;
                }
            };
            // While discovery is down the same is said once, not at every try.
            if cause != last {
                log::warn!("the watch of discovery ended: {cause}; the last list still holds");
                last = cause;
            }
            // Also a try that waits is over when the address moves.
            let pause = self.backoff.pause(if last == REFUSED { Cause::Refused } else { Cause::Lost });
            log::debug!("the watch of discovery ended: {last}; the next in {pause} us");
            tokio::select! {
                () = clock.sleep_until(clock.now() + pause) => {}
                Ok(()) = addresses.changed() => {
                    self.revision = None;
                }
            }
        }
    }

    async fn watch(&mut self, address: SocketAddr) -> Result<(), String> {
        let clock = self.clock;
        let after = self.revision.map(|revision| format!("&after={revision}")).unwrap_or_default();
        let request = format!("GET /discovery/hosts?watch=1{after} HTTP/1.1\r\nHost: {address}\r\n\r\n");
        let opened = async {
            let mut stream = TcpStream::connect(address).await?;
            stream.write_all(request.as_bytes()).await?;
            Ok::<TcpStream, std::io::Error>(stream)
        };
        let mut stream = tokio::select! {
            stream = opened => stream.map_err(|cause| cause.to_string())?,
            () = clock.sleep_until(clock.now() + SILENCE) => return Err("it does not come up".into()),
        };
        let mut lines = Lines::default();
        let mut bytes = vec![0; 16 * 1024];
        loop {
            let count = tokio::select! {
                count = stream.read(&mut bytes) => count.map_err(|cause| cause.to_string())?,
                () = clock.sleep_until(clock.now() + SILENCE) => return Err("it fell silent".into()),
            };
            if count == 0 {
                return Err("discovery closed it".into());
            }
            let mut got = Vec::new();
            let read = lines.feed(&bytes[..count], &mut got);
            if lines.began() {
                self.backoff.worked();
            }
            got.iter().for_each(|line| self.line(line));
            if let Err(cause) = read {
                self.counters.bad_lists.add();
                return Err(cause.into());
            }
        }
    }

    fn line(&mut self, line: &[u8]) {
        if line.trim_ascii().is_empty() {
            return;
        }
        match serde_json::from_slice::<List>(line) {
            Ok(list) => {
                self.take(list);
                self.told.set(true);
            }
            // One bad line must not take the good list away.
            Err(cause) => {
                self.counters.bad_lists.add();
                log::warn!("news from discovery cannot be used: {cause}");
            }
        }
    }

    fn take(&mut self, list: List) {
        // Half a list is none: nothing of it is used if a host that runs has no address.
        if let Some(row) =
            list.members.iter().find(|row| row.phase != Phase::Removed && row.host_port.is_none())
        {
            self.counters.bad_lists.add();
            return log::warn!("news from discovery cannot be used: {} has no address", row.id);
        }
        self.counters.lists.add();
        if self.revision.is_none() && !self.numbers.is_empty() {
            log::info!("the new discovery begins with revision {}, whole: {}", list.revision, list.complete);
        }
        self.revision = Some(list.revision);
        let mut entries = Vec::new();
        let now = self.clock.now();
        for row in &list.members {
            let next = self.next;
            let known = self.numbers.entry(row.id.clone()).or_insert_with(|| Known { id: next, gone: None });
            let id = known.id;
            self.next = next.max(id.wrapping_add(1));
            known.gone = (row.phase == Phase::Removed).then_some(known.gone.unwrap_or(now));
            let started = row.up_since_ms.saturating_mul(1000).max(0);
            log::debug!(
                "list host={id} name={} cluster={} zone={} phase={:?} up_since_ms={} role={} revision={}",
                row.id,
                row.cell,
                row.locality,
                row.phase,
                row.up_since_ms,
                row.replication.as_deref().unwrap_or("-"),
                list.revision,
            );
            match row.host_port {
                Some(address) if row.phase != Phase::Removed => {
                    self.hosts.place(id, Site { address, started, up: row.phase == Phase::Up });
                }
                _ => self.hosts.remove(id),
            }
            entries.push(Entry {
                member: id,
                group: row.cell,
                zone: row.locality.clone(),
                weight: row.size,
                started,
                standing: match row.phase {
                    Phase::Up => Standing::Up,
                    Phase::Draining => Standing::Draining,
                    Phase::Removed => Standing::Gone,
                },
                primary: row.replication.as_deref() == Some("primary"),
            });
        }
        if list.complete {
            let named: BTreeSet<MemberId> = entries.iter().map(|entry| entry.member).collect();
            self.hosts.keep_only(&|id| named.contains(&id));
            let unnamed = self.numbers.values_mut().filter(|known| !named.contains(&known.id));
            unnamed.for_each(|known| known.gone = known.gone.or(Some(now)));
        }
        // Hosts are replaced for as long as the gateway runs. One that comes back later is a new one.
        self.numbers.retain(|_, known| known.gone.is_none_or(|gone| now - gone < REMEMBERED));
        *self.named.borrow_mut() =
            self.numbers.iter().map(|(name, known)| (name.clone(), known.id)).collect();
        log::debug!("list {}, {} entries, whole: {}", list.revision, entries.len(), list.complete);
        self.facade.list(list.complete, entries);
    }
}

/// Reads an HTTP/1.1 answer and cuts its body into lines.
#[derive(Debug, Default)]
pub struct Lines {
    raw: Vec<u8>,
    part: Part,
    line: Vec<u8>,
}

#[derive(Debug, Default, Clone, Copy, PartialEq)]
enum Part {
    #[default]
    Head,
    /// Not chunked: all that follows is the body.
    Plain,
    Size,
    Data(usize),
    DataEnd,
    Over,
}

impl Lines {
    /// Takes bytes as they come and appends the lines that are whole now, without their ends.
    pub fn feed(&mut self, bytes: &[u8], lines: &mut Vec<Vec<u8>>) -> Result<(), &'static str> {
        self.raw.extend_from_slice(bytes);
        let mut raw = std::mem::take(&mut self.raw);
        let mut used = 0;
        let read = loop {
            match self.step(&raw[used..], lines) {
                Ok(0) => break Ok(()),
                Ok(count) => used += count,
                Err(cause) => break Err(cause),
            }
        };
        raw.drain(..used);
        self.raw = raw;
        read
    }

    /// Uses up some of the bytes; 0 if more are needed.
    fn step(&mut self, raw: &[u8], lines: &mut Vec<Vec<u8>>) -> Result<usize, &'static str> {
        match self.part {
            Part::Head => {
                let Some(end) = raw.windows(4).position(|four| four == b"\r\n\r\n") else {
                    return if raw.len() > MOST_HEAD { Err("its head is too long") } else { Ok(0) };
                };
                self.part = head(&raw[..end])?;
                Ok(end + 4)
            }
            Part::Size => {
                let Some(end) = raw.windows(2).position(|two| two == b"\r\n") else {
                    return if raw.len() > 256 { Err("a chunk's size is too long") } else { Ok(0) };
                };
                let digits = raw[..end].split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii();
                let text = std::str::from_utf8(digits).unwrap_or_default();
                let hex = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_hexdigit());
                let size = usize::from_str_radix(text, 16).ok().filter(|_| hex);
                self.part = match size.ok_or("a chunk has no size")? {
                    0 => Part::Over,
                    size => Part::Data(size),
                };
                Ok(end + 2)
            }
            Part::Data(left) => {
                let count = left.min(raw.len());
                self.body(&raw[..count], lines)?;
                self.part = if count == left { Part::DataEnd } else { Part::Data(left - count) };
                Ok(count)
            }
            Part::DataEnd if raw.len() < 2 => Ok(0),
            Part::DataEnd if raw.starts_with(b"\r\n") => {
                self.part = Part::Size;
                Ok(2)
            }
            Part::DataEnd => Err("a chunk does not end where it should"),
            Part::Plain => {
                self.body(raw, lines)?;
                Ok(raw.len())
            }
            Part::Over => Err("it is over"),
        }
    }

    /// Whether its head was read, and is that of an answer.
    pub fn began(&self) -> bool {
        self.part != Part::Head
    }

    fn body(&mut self, mut bytes: &[u8], lines: &mut Vec<Vec<u8>>) -> Result<(), &'static str> {
        while let Some(end) = bytes.iter().position(|byte| *byte == b'\n') {
            self.line.extend_from_slice(&bytes[..end]);
            lines.push(std::mem::take(&mut self.line));
            bytes = &bytes[end + 1..];
        }
        self.line.extend_from_slice(bytes);
        if self.line.len() > MOST_LINE {
            return Err("a line is too long");
        }
        Ok(())
    }
}

/// What kind of body follows this head.
fn head(head: &[u8]) -> Result<Part, &'static str> {
    let text = std::str::from_utf8(head).map_err(|_| "its head is not text")?;
    let mut lines = text.split("\r\n");
    let status = lines.next().unwrap_or_default();
    if !status.starts_with("HTTP/1.") || status.split(' ').nth(1) != Some("200") {
        return Err(REFUSED);
    }
    let chunked = lines.filter_map(|line| line.split_once(':')).any(|(name, value)| {
        name.eq_ignore_ascii_case("transfer-encoding") && value.trim().eq_ignore_ascii_case("chunked")
    });
    Ok(if chunked { Part::Size } else { Part::Plain })
}
