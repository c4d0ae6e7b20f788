//! The emulated discovery: pushes the list of hosts to every gateway that watches, unless it is told to be silent or to
//! refuse.

use super::hosts::{Host, Mode};
use super::{Clock, Time};
use petrelgauge_test_support::{chunk, list_line, LoopbackNetwork, RESPONSE_HEAD};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Last byte of the address of discovery.
const LIST_HOST: u8 = 200;
/// An empty line comes so often while nothing changes.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// A change that a silent or refusing discovery could not bring counts as notified so long after it could.
pub const NOTIFIED_AFTER_OUTAGE: Time = 6_000_000;
/// How late gateways that watch may read what was written to them.
pub const PUSH_SLACK: Time = 100_000;

/// What discovery does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Service {
    Up,
    /// Open watches get nothing more, and new ones neither.
    Silent,
    /// Connections are reset, new ones too.
    Refusing,
}

#[derive(Clone)]
struct Row {
    phase: &'static str,
    started_ms: u64,
    is_primary: bool,
    revision: u64,
}

/// A host that the list says drains.
pub struct Drain {
    pub host: usize,
    /// When it counted as notified.
    pub notified_at: Time,
    /// When the list said that the host is up again.
    pub ended_at: Time,
}

pub struct EndpointList {
    clock: Clock,
    pub address: SocketAddr,
    hosts: Vec<Rc<Host>>,
    rows: RefCell<Vec<Row>>,
    revision: watch::Sender<u64>,
    service: watch::Sender<Service>,
    pub drains: RefCell<Vec<Drain>>,
    /// Until when a change published before counts as not notified.
    outage_until: RefCell<Option<Time>>,
}

impl EndpointList {
    pub async fn start(network: LoopbackNetwork, clock: Clock, hosts: Vec<Rc<Host>>) -> Rc<EndpointList> {
        let listener = TcpListener::bind((network.address(LIST_HOST), 0)).await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let row = |host: &Rc<Host>| Row {
            phase: "up",
            started_ms: 0,
            is_primary: host.is_primary.get(),
            revision: 1,
        };
        let rows = RefCell::new(hosts.iter().map(row).collect());
        let service = Rc::new(EndpointList {
            clock,
            address,
            hosts,
            rows,
            revision: watch::Sender::new(1),
            service: watch::Sender::new(Service::Up),
            drains: RefCell::default(),
            outage_until: RefCell::default(),
        });
        tokio::task::spawn_local(service.clone().listen(listener));
        tokio::task::spawn_local(service.clone().elect_primaries());
        service
    }

    /// The complete list as it is now.
    pub fn complete(&self) -> String {
        list_line(*self.revision.borrow(), true, &self.rows_since(0))
    }

    /// What discovery does from now on. What it could not bring counts as notified a while after its return.
    pub fn set_service(&self, service: Service) {
        let until = if service == Service::Up { self.clock.now() + NOTIFIED_AFTER_OUTAGE } else { Time::MAX };
        *self.outage_until.borrow_mut() = Some(until);
        if service == Service::Up {
            for drain in self.drains.borrow_mut().iter_mut() {
                drain.notified_at = drain.notified_at.min(until);
            }
            for host in &self.hosts {
                let mut starts = host.starts.borrow_mut();
                let notified = starts.iter_mut().filter_map(|start| start.notified_at.as_mut());
                notified.for_each(|at| *at = (*at).min(until));
            }
        }
        self.service.send_replace(service);
    }

    /// When a change that is published now counts as notified to all gateways.
    fn notified_at(&self) -> Time {
        let by_push = self.clock.now() + PUSH_SLACK;
        self.outage_until.borrow().map_or(by_push, |until| until.max(by_push))
    }

    pub fn publish_start(&self, host: usize) {
        let notified_at = self.notified_at();
        if let Some(start) = self.hosts[host].starts.borrow_mut().last_mut() {
            start.notified_at = Some(notified_at);
        }
        for drain in self.drains.borrow_mut().iter_mut().filter(|drain| drain.host == host) {
            drain.ended_at = drain.ended_at.min(self.clock.now());
        }
        let started_ms = self.hosts[host].started_ms.get();
        self.change(host, |row| (row.phase, row.started_ms) = ("up", started_ms));
    }

    pub fn publish_drain(&self, host: usize) {
        let drain = Drain { host, notified_at: self.notified_at(), ended_at: Time::MAX };
        self.drains.borrow_mut().push(drain);
        self.change(host, |row| row.phase = "draining");
    }

    pub fn is_up(&self, host: usize) -> bool {
        self.rows.borrow()[host].phase == "up"
    }

    fn change(&self, host: usize, change: impl FnOnce(&mut Row)) {
        let revision = *self.revision.borrow() + 1;
        let mut rows = self.rows.borrow_mut();
        change(&mut rows[host]);
        rows[host].revision = revision;
        drop(rows);
        self.revision.send_replace(revision);
    }

    fn rows_since(&self, revision: u64) -> String {
        let rows = self.rows.borrow();
        let newer = rows.iter().zip(&self.hosts).filter(|(row, _)| row.revision > revision);
        let text = |(row, host): (&Row, &Rc<Host>)| {
            let role = if row.is_primary { "primary" } else { "standby" };
            format!(
                r#"{{"id":"h-{}","host_port":"{}","locality":"a","cell":2,"phase":"{}","replication":"{role}","size":1.0,"up_since_ms":{}}}"#,
                host.number, host.address, row.phase, row.started_ms
            )
        };
        newer.map(text).collect::<Vec<_>>().join(",")
    }

    async fn listen(self: Rc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let service = self.clone();
            tokio::task::spawn_local(async move {
                let mut state = service.service.subscribe();
                let was_refused = tokio::select! {
                    biased;
                    _ = state.wait_for(|state| *state == Service::Refusing) => true,
                    _ = service.serve(&stream) => false,
                };
                if was_refused {
                    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                }
            });
        }
    }

    /// Answers a call, or a watch until its connection ends. One that has fallen silent stays so.
    async fn serve(&self, stream: &TcpStream) -> Option<()> {
        let mut state = self.service.subscribe();
        let is_watch = read_head(stream).await?;
        // What is waited for holds a lock, which has to be given back.
        let silent = async { state.wait_for(|state| *state == Service::Silent).await.is_ok() };
        tokio::select! {
            biased;
            _ = silent => std::future::pending().await,
            _ = self.write_lists(stream, is_watch) => {}
        }
        Some(())
    }

    async fn write_lists(&self, stream: &TcpStream, is_watch: bool) -> Option<()> {
        let mut changes = self.revision.subscribe();
        let mut sent = *changes.borrow_and_update();
        let first = [RESPONSE_HEAD, &chunk(&format!("{}\n", self.complete()))].concat();
        write(stream, &first).await?;
        if !is_watch {
            return write(stream, &chunk("")).await;
        }
        loop {
            let line = match tokio::time::timeout(HEARTBEAT, changes.changed()).await {
                Err(_) => "\n".to_string(),
                Ok(_) => {
                    let revision = *changes.borrow_and_update();
                    let rows = self.rows_since(sent);
                    sent = revision;
                    format!("{}\n", list_line(revision, false, &rows))
                }
            };
            write(stream, &chunk(&line)).await?;
        }
    }

    /// A primary that cannot serve is replaced after a while, and the list shows it later.
    async fn elect_primaries(self: Rc<Self>) {
        const LOST_AFTER: u32 = 8;
        const STEP: Duration = Duration::from_millis(200);
        let mut lost = 0;
        loop {
            self.clock.sleep(STEP).await;
            let Some(primary) = self.hosts.iter().position(|host| host.is_primary.get()) else { continue };
            let can_serve = |host: usize| self.hosts[host].mode() == Mode::Up && self.is_up(host);
            lost = if can_serve(primary) { 0 } else { lost + 1 };
            let next = (0..self.hosts.len()).find(|host| *host != primary && can_serve(*host));
            if let Some(next) = next.filter(|_| lost >= LOST_AFTER) {
                self.hosts[primary].is_primary.set(false);
                self.hosts[next].is_primary.set(true);
                self.change(primary, |row| row.is_primary = false);
                self.change(next, |row| row.is_primary = true);
                lost = 0;
            }
        }
    }
}

/// Reads the head of a request: whether it asks for a watch.
async fn read_head(stream: &TcpStream) -> Option<bool> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        stream.readable().await.ok()?;
        let mut part = [0; 1024];
        match stream.try_read(&mut part) {
            Ok(0) => return None,
            Ok(count) => bytes.extend_from_slice(&part[..count]),
            Err(cause) if cause.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return None,
        }
    }
    Some(String::from_utf8_lossy(&bytes).contains("watch=1"))
}

async fn write(stream: &TcpStream, mut bytes: &[u8]) -> Option<()> {
    while !bytes.is_empty() {
        stream.writable().await.ok()?;
        match stream.try_write(bytes) {
            Ok(count) => bytes = &bytes[count..],
            Err(cause) if cause.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return None,
        }
    }
    Some(())
}
