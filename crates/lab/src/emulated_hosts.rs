//! Emulated hosts on loopback: PostgreSQL's simple queries from the gateways, answered from a group's state.

use crate::replicated_group::{Group, MemberRole};
use bytes::Bytes;
use petrelgauge::net::cancel::CancelKey;
use petrelgauge::net::clock::Clock;
use petrelgauge::net::pg::{self, Framer, Opening, Severity};
use petrelgauge::Time;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What all hosts of a stage share.
pub struct EmulatedHosts {
    /// The clock.
    pub clock: Clock,
    /// The groups.
    pub groups: Vec<RefCell<Group>>,
    /// Where each member of each group listens.
    pub addresses: RefCell<Vec<Vec<SocketAddr>>>,
    /// How old the data of a bounded read may be.
    pub bound: Time,
    /// Share of writes whose answer is lost after they ran.
    pub lost_answers: Cell<f64>,
    /// Replicas tell positions so far ahead of their data: a fault that checkers must see.
    pub boast: Cell<Time>,
    /// Reads that replicas and primaries answered.
    pub reads: [Cell<u64>; 2],
    /// Chance.
    pub rng: RefCell<Pcg64Mcg>,
}

impl EmulatedHosts {
    /// Starts every host; groups are numbered from 2.
    pub async fn start(
        groups: usize,
        members: usize,
        bound: Time,
        ahead: Time,
        mut rng: Pcg64Mcg,
    ) -> std::io::Result<Rc<EmulatedHosts>> {
        let clock = Clock::start().ahead(ahead);
        let group = |place: usize| RefCell::new(Group::new(place as u64 + 2, members, clock.now(), &mut rng));
        let emulated_hosts = Rc::new(EmulatedHosts {
            clock,
            groups: (0..groups).map(group).collect(),
            addresses: RefCell::default(),
            bound,
            lost_answers: Cell::new(0.0),
            boast: Cell::new(0),
            reads: [Cell::new(0), Cell::new(0)],
            rng: RefCell::new(rng),
        });
        for group in 0..groups {
            let mut addresses = Vec::new();
            for member in 0..members {
                let listener = TcpListener::bind("127.0.0.1:0").await?;
                addresses.push(listener.local_addr()?);
                tokio::task::spawn_local(emulated_hosts.clone().listen(listener, group, member));
            }
            emulated_hosts.addresses.borrow_mut().push(addresses);
        }
        Ok(emulated_hosts)
    }

    async fn listen(self: Rc<Self>, listener: TcpListener, group: usize, member: usize) {
        while let Ok((stream, _)) = listener.accept().await {
            let emulated_hosts = self.clone();
            tokio::task::spawn_local(async move { emulated_hosts.serve(stream, group, member).await });
        }
    }

    /// One connection, until it ends or an answer is lost on purpose.
    async fn serve(&self, mut stream: TcpStream, group: usize, member: usize) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let (mut framer, mut room) = (Framer::default(), vec![0; 16 * 1024]);
        let mut open = false;
        loop {
            if !open {
                if let Some(opening) = framer.opening().ok()? {
                    let Opening::Startup { minor } = opening else { return None };
                    let mut out = Vec::new();
                    pg::put_startup_answer(&mut out, minor, CancelKey { process: 1, secret: 0 });
                    stream.write_all(&out).await.ok()?;
                    open = true;
                    continue;
                }
            } else if let Some(message) = framer.message().ok()? {
                if message.kind() != b'Q' {
                    return None;
                }
                let answer = self.answer(&message.text().ok()?, group, member).await?;
                stream.write_all(&answer).await.ok()?;
                continue;
            }
            match stream.read(&mut room).await {
                Ok(0) | Err(_) => return None,
                Ok(count) => framer.feed(&room[..count]),
            }
        }
    }

    /// What the host says to a statement; nothing if the answer is lost.
    async fn answer(&self, text: &Bytes, group: usize, member: usize) -> Option<Vec<u8>> {
        let text = std::str::from_utf8(text).ok()?;
        let word = |name: &str| {
            let comment = text.split_once("/*")?.1;
            comment.split([',', ' ']).find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
        };
        let row: u64 = text.split_once("'r")?.1.split_once('\'')?.0.parse().ok()?;
        let write = text.starts_with("INSERT");
        let work = self.rng.borrow_mut().random_range(800..4_000);
        self.clock.sleep_until(self.clock.now() + work).await;
        while self.groups[group].borrow().members[member].hung {
            self.clock.sleep_until(self.clock.now() + 5_000).await;
        }
        let now = self.clock.now();
        let mut state = self.groups[group].borrow_mut();
        let (part, leads) = (state.members[member].part, state.leader() == Some(member));
        let (mut out, mut told) = (Vec::new(), state.position(member, now) / 1000);
        if write && leads {
            let (number, commit) = state.write(row, word("k")?, now);
            told = (commit + 999) / 1000;
            if self.rng.borrow_mut().random_bool(self.lost_answers.get()) {
                return None;
            }
            put_row(&mut out, number);
        } else if write {
            let code = if matches!(part, MemberRole::Replica) { "25006" } else { "XX000" };
            pg::put_error(&mut out, Severity::Error, code, "not the primary", None);
        } else {
            let (number, position) = state.read(member, row, now);
            if word("c") == Some("view") && position < now - self.bound {
                pg::put_error(&mut out, Severity::Error, "72000", "too far behind", None);
            } else {
                let count = &self.reads[usize::from(part != MemberRole::Replica)];
                count.set(count.get() + 1);
                put_row(&mut out, number);
            }
        }
        if part == MemberRole::Replica {
            told += self.boast.get() / 1000;
        }
        let role = if part == MemberRole::Replica { "standby" } else { "primary" };
        pg::put_parameter_status(&mut out, "replication_role", role);
        pg::put_parameter_status(&mut out, "log_position", &told.to_string());
        pg::put_ready(&mut out);
        Some(out)
    }
}

/// A row whose one value is a version's number.
fn put_row(out: &mut Vec<u8>, number: u64) {
    pg::put(out, b'T', |body| {
        body.extend_from_slice(b"\0\x01content\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01");
    });
    let value = number.to_string();
    pg::put(out, b'D', |body| {
        body.extend_from_slice(&[0, 1]);
        body.extend_from_slice(&(value.len() as u32).to_be_bytes());
        body.extend_from_slice(value.as_bytes());
    });
    pg::put_complete(out, "SELECT 1");
}
