//! Emulated database hosts on loopback: they answer PostgreSQL's simple queries from the state of their group.

use crate::replicated_group::{Group, MemberRole};
use crate::statements::FIRST_GROUP;
use petrelgauge::os::clock::Clock;
use petrelgauge::postgres::cancel::CancelKey;
use petrelgauge::postgres::{self, Severity};
use petrelgauge::Time;
use petrelgauge_test_support::{row, Endpoint, HostConnection};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};

/// How long a host works on a statement (microseconds).
const EXECUTION_TIME: Range<Time> = 800..4_000;
/// How often a hung host looks whether it may go on (microseconds).
const HUNG_POLL_INTERVAL: Time = 5_000;
/// Zone of every host.
const ZONE: char = 'a';
/// The class of request whose reads have a bound on staleness.
const BOUNDED_CLASS: &str = "view";
/// SQLSTATE of a read at a replica that is too far behind.
const SQLSTATE_TOO_FAR_BEHIND: &str = "72000";
/// SQLSTATE of a write at a replica.
const SQLSTATE_READ_ONLY: &str = "25006";
/// SQLSTATE of a write at a member that is neither primary nor a replica.
const SQLSTATE_INTERNAL_ERROR: &str = "XX000";

/// All emulated hosts of a cluster.
pub struct EmulatedHosts {
    /// The hosts' clock.
    pub clock: Clock,
    /// The replicated groups.
    pub groups: Vec<RefCell<Group>>,
    /// Where each member of each group listens.
    pub addresses: RefCell<Vec<Vec<SocketAddr>>>,
    /// How old the data of a bounded read may be (microseconds).
    pub staleness_bound: Time,
    /// Share of writes whose answer is lost after they were executed.
    pub lost_answer_share: Cell<f64>,
    /// How far ahead of their data replicas report their position (microseconds): an injected fault.
    pub position_overstatement: Cell<Time>,
    /// Reads that replicas answered.
    pub replica_reads: Cell<u64>,
    /// Reads that primaries answered.
    pub primary_reads: Cell<u64>,
    /// The random generator of hosts and datagram paths.
    pub rng: RefCell<Pcg64Mcg>,
}

/// A statement that a client sent.
struct Statement<'a> {
    row: u64,
    is_write: bool,
    /// The class of the request.
    class: Option<&'a str>,
    idempotency_key: Option<&'a str>,
}

impl Statement<'_> {
    fn parse(text: &str) -> Option<Statement<'_>> {
        let row = text.split_once("'r")?.1.split_once('\'')?.0.parse().ok()?;
        let field = |name: &str| {
            let comment = text.split_once("/*")?.1;
            comment.split([',', ' ']).find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
        };
        let (class, idempotency_key) = (field("c"), field("k"));
        Some(Statement { row, is_write: text.starts_with("INSERT"), class, idempotency_key })
    }
}

impl EmulatedHosts {
    /// Starts every host. The hosts' clock is ahead of the machine's by `ahead` microseconds.
    ///
    /// # Errors
    ///
    /// Fails if a listening socket cannot be opened.
    pub async fn start(
        groups: usize,
        members: usize,
        staleness_bound: Time,
        ahead: Time,
        mut rng: Pcg64Mcg,
    ) -> std::io::Result<Rc<EmulatedHosts>> {
        let clock = Clock::start().ahead(ahead);
        let group = |index: usize| {
            RefCell::new(Group::new(FIRST_GROUP + index as u64, members, clock.now(), &mut rng))
        };
        let hosts = Rc::new(EmulatedHosts {
            clock,
            groups: (0..groups).map(group).collect(),
            addresses: RefCell::default(),
            staleness_bound,
            lost_answer_share: Cell::new(0.0),
            position_overstatement: Cell::new(0),
            replica_reads: Cell::new(0),
            primary_reads: Cell::new(0),
            rng: RefCell::new(rng),
        });
        for group in 0..groups {
            let mut addresses = Vec::new();
            for member in 0..members {
                let listener = TcpListener::bind("127.0.0.1:0").await?;
                addresses.push(listener.local_addr()?);
                tokio::task::spawn_local(hosts.clone().listen(listener, group, member));
            }
            hosts.addresses.borrow_mut().push(addresses);
        }
        Ok(hosts)
    }

    async fn listen(self: Rc<Self>, listener: TcpListener, group: usize, member: usize) {
        while let Ok((stream, _)) = listener.accept().await {
            let hosts = self.clone();
            tokio::task::spawn_local(async move { hosts.serve(stream, group, member).await });
        }
    }

    /// Serves one connection, until it ends or an answer is lost on purpose.
    async fn serve(&self, mut stream: TcpStream, group: usize, member: usize) -> Option<()> {
        let mut connection = HostConnection::new(&mut stream);
        let minor = connection.startup().await?;
        let mut welcome = Vec::new();
        postgres::put_startup_answer(&mut welcome, minor, CancelKey { process: 1, secret: 0 });
        connection.write(&welcome).await?;
        loop {
            let text = connection.next_query().await?;
            let answer = self.answer(&Statement::parse(&text)?, group, member).await?;
            connection.write(&answer).await?;
        }
    }

    /// The answer to a statement; none if it is lost.
    async fn answer(&self, statement: &Statement<'_>, group: usize, member: usize) -> Option<Vec<u8>> {
        let execution_time = self.rng.borrow_mut().random_range(EXECUTION_TIME);
        self.clock.sleep_until(self.clock.now() + execution_time).await;
        while self.groups[group].borrow().members[member].hung {
            self.clock.sleep_until(self.clock.now() + HUNG_POLL_INTERVAL).await;
        }
        let now = self.clock.now();
        let mut state = self.groups[group].borrow_mut();
        let is_replica = state.members[member].role == MemberRole::Replica;
        let mut out = Vec::new();
        let mut reported_ms = state.position(member, now) / 1000;
        if !statement.is_write {
            self.put_read(&mut out, statement, &mut state, member, now);
        } else if state.primary() == Some(member) {
            let version = state.write(statement.row, statement.idempotency_key?, now);
            // Rounded up: the reported position covers the commit.
            reported_ms = (version.committed_at + 999) / 1000;
            if self.rng.borrow_mut().random_bool(self.lost_answer_share.get()) {
                return None;
            }
            out.extend(row(version.number.to_string().as_bytes()));
        } else {
            let code = if is_replica { SQLSTATE_READ_ONLY } else { SQLSTATE_INTERNAL_ERROR };
            postgres::put_error(&mut out, Severity::Error, code, "not the primary", None);
        }
        if is_replica {
            reported_ms += self.position_overstatement.get() / 1000;
        }
        postgres::put_parameter_status(
            &mut out,
            "replication_role",
            if is_replica { "standby" } else { "primary" },
        );
        postgres::put_parameter_status(&mut out, "log_position", &reported_ms.to_string());
        postgres::put_ready(&mut out);
        Some(out)
    }

    fn put_read(
        &self,
        out: &mut Vec<u8>,
        statement: &Statement<'_>,
        state: &mut Group,
        member: usize,
        now: Time,
    ) {
        let result = state.read(member, statement.row, now);
        if statement.class == Some(BOUNDED_CLASS) && result.position < now - self.staleness_bound {
            postgres::put_error(out, Severity::Error, SQLSTATE_TOO_FAR_BEHIND, "too far behind", None);
            return;
        }
        let is_replica = state.members[member].role == MemberRole::Replica;
        let count = if is_replica { &self.replica_reads } else { &self.primary_reads };
        count.set(count.get() + 1);
        out.extend(row(result.version.to_string().as_bytes()));
    }
}

/// The list entries of all emulated hosts, as JSON.
pub fn emulated_host_entries(emulated_hosts: &EmulatedHosts) -> Vec<String> {
    let addresses = emulated_hosts.addresses.borrow();
    let mut entries = Vec::new();
    for (group, addresses) in emulated_hosts.groups.iter().zip(addresses.iter()) {
        let group = group.borrow();
        for (member, address) in group.members.iter().zip(addresses) {
            let endpoint = Endpoint {
                name: member.name.clone(),
                address: *address,
                zone: ZONE,
                machine_type: None,
                group: group.id,
                draining: false,
                primary: member.role != MemberRole::Replica,
                started_ms: member.started / 1000,
            };
            entries.push(endpoint.json());
        }
    }
    entries
}
