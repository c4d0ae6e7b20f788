//! One session of a client: writes and reads through all gateways, sometimes two reads at a time.

use super::gateway_connections::GatewayConnections;
use super::run_state::{RunState, GATEWAYS, ROWS};
use super::variants::TOKEN_SECRET;
use crate::client::{Answer, SQLSTATE_REJECTED};
use crate::gateways::CLASSES;
use crate::ledger::ExpectedVersions;
use crate::statements::{group_of_row, insert_row, select_row, FIRST_GROUP};
use crate::test_cluster::STALENESS_BOUND;
use petrelgauge::Time;
use petrelgauge_sessions::{Token, Watermark};
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// Mean pause between two requests (seconds).
const MEAN_PAUSE_SECONDS: f64 = 0.04;
/// Maximum pause between two requests (seconds).
const MAX_PAUSE_SECONDS: f64 = 1.0;
/// Number of rows of one session. Neighbouring sessions share some of them.
const ROWS_OF_SESSION: u64 = 3;
/// Share of the writes after which the session reads the row at another gateway.
const READ_AFTER_WRITE_SHARE: f64 = 0.6;
/// Pause between a write and that read (microseconds).
const READ_AFTER_WRITE_PAUSE: Time = 2_000;
/// Maximum number of tokens in a request.
const MAX_TOKENS: usize = 5;
/// Index of the class whose reads have a staleness bound.
const BOUNDED_CLASS: usize = 0;
/// Number of read classes, which precede the class of writes.
const READ_CLASSES: usize = 2;
/// Index of the class of writes.
const WRITE_CLASS: usize = 2;
/// Deadline of a read (milliseconds).
const READ_DEADLINE_MS: u64 = 1_200;
/// How long the client waits for a read's answer.
pub(super) const READ_TIMEOUT: Duration = Duration::from_millis(1_400);
/// Deadline of a write (milliseconds).
const WRITE_DEADLINE_MS: u64 = 3_000;
/// How long the client waits for a write's answer.
const WRITE_TIMEOUT: Duration = Duration::from_millis(3_200);

/// One session.
pub(super) struct SessionClient {
    state: Rc<RunState>,
    pub(super) number: u32,
    rng: Pcg64Mcg,
    pub(super) connections: GatewayConnections,
    /// Tokens of the newest answers.
    pub(super) tokens: Vec<String>,
    /// Groups from which the session has received a token.
    groups_with_token: BTreeSet<u64>,
    requests: u64,
}

/// A read in flight.
struct PendingRead {
    row: u64,
    class: usize,
    began_at: Time,
    /// Tokens in the request.
    tokens: Vec<String>,
    /// The versions that the answer must reach.
    expected: ExpectedVersions,
    /// Whether any replica could serve it.
    replica_suffices: bool,
}

impl SessionClient {
    pub(super) fn new(state: Rc<RunState>, number: u32, seed: u64) -> SessionClient {
        SessionClient {
            state,
            number,
            rng: Pcg64Mcg::seed_from_u64(seed ^ (u64::from(number) + 1) << 20),
            connections: GatewayConnections::default(),
            tokens: Vec::new(),
            groups_with_token: BTreeSet::new(),
            requests: 0,
        }
    }

    /// Sends requests until the run is over.
    pub(super) async fn run(mut self) {
        let state = self.state.clone();
        let pause = Exp::new(1.0 / MEAN_PAUSE_SECONDS);
        let pause = pause.unwrap_or_else(|cause| unreachable!("a constant rate: {cause}"));
        while !state.is_over() {
            let seconds = pause.sample(&mut self.rng).min(MAX_PAUSE_SECONDS);
            state.sleep((seconds * 1e6) as Time).await;
            self.send_next().await;
        }
    }

    /// Sends a write (30%), two concurrent reads (10%) or one read.
    async fn send_next(&mut self) {
        let row = (u64::from(self.number) + self.rng.random_range(0..ROWS_OF_SESSION)) % ROWS;
        let gateway = self.rng.random_range(0..GATEWAYS);
        match self.rng.random_range(0..10) {
            0..3 => {
                self.write(gateway, row).await;
                if self.rng.random_bool(READ_AFTER_WRITE_SHARE) {
                    self.state.sleep(READ_AFTER_WRITE_PAUSE).await;
                    self.read((gateway + 1) % GATEWAYS, row).await;
                }
            }
            3 => self.read_twice([gateway, (gateway + 2) % GATEWAYS], row).await,
            _ => self.read(gateway, row).await,
        }
    }

    /// The number of the next request.
    pub(super) fn next_request(&mut self) -> u64 {
        self.requests += 1;
        self.requests
    }

    /// The comment of a request.
    fn comment(&mut self, class: usize, row: u64, deadline_ms: u64, tokens: &[String]) -> String {
        self.state.count_request();
        let (number, request) = (self.number, self.next_request());
        let (class, group) = (CLASSES[class], group_of_row(row));
        let mut comment =
            format!("id={number}x{request},c={class},d={deadline_ms},cluster={group},session=s{number}");
        if !tokens.is_empty() {
            comment += &format!(",mark={}", tokens.join("+"));
        } else if self.state.uses_tokens && !self.groups_with_token.contains(&group) {
            comment += ",mark=new";
        }
        comment
    }

    /// The tokens for a request about this row.
    fn tokens_for(&self, row: u64) -> Vec<String> {
        let group = group_of_row(row);
        let group_tokens = self.tokens.iter().filter(|token| group_of_token(token) == Some(group));
        group_tokens.take(MAX_TOKENS).cloned().collect()
    }

    /// Replaces the tokens sent with a request by the token of its answer.
    fn replace_tokens(&mut self, sent: &[String], token: Option<String>) {
        if let Some(token) = token.filter(|_| self.state.uses_tokens) {
            self.tokens.retain(|known| !sent.contains(known));
            self.groups_with_token.extend(group_of_token(&token));
            self.tokens.push(if self.state.erases_watermarks { without_watermark(&token) } else { token });
        }
    }

    /// Writes a row through a gateway.
    pub(super) async fn write(&mut self, gateway: usize, row: u64) {
        let sent_tokens = self.tokens_for(row);
        let comment = self.comment(WRITE_CLASS, row, WRITE_DEADLINE_MS, &sent_tokens);
        let (number, request) = (self.number, self.requests);
        let text = insert_row(row, &format!("{comment},k={number}k{request}"));
        let addresses = &self.state.cluster.addresses;
        match self.connections.query(addresses, gateway, &text, WRITE_TIMEOUT).await {
            Answer::Row { version, token } => {
                self.state.ledger.borrow_mut().record_write(self.number, row, version);
                self.replace_tokens(&sent_tokens, token);
            }
            Answer::Error { token, .. } => self.replace_tokens(&sent_tokens, token),
            Answer::NoAnswer => {}
        }
    }

    /// Reads a row through one gateway.
    pub(super) async fn read(&mut self, gateway: usize, row: u64) {
        let read = self.begin_read(row);
        let text = self.read_text(&read);
        let addresses = &self.state.cluster.addresses;
        let answer = self.connections.query(addresses, gateway, &text, READ_TIMEOUT).await;
        let latency = self.state.clock().now() - read.began_at;
        self.finish_read(&read, answer, latency);
    }

    /// Reads a row through two gateways at the same time.
    async fn read_twice(&mut self, gateways: [usize; 2], row: u64) {
        let read = self.begin_read(row);
        let texts = [self.read_text(&read), self.read_text(&read)];
        let addresses = &self.state.cluster.addresses;
        let mut other_connections = GatewayConnections::default();
        let first = self.connections.query(addresses, gateways[0], &texts[0], READ_TIMEOUT);
        let second = other_connections.query(addresses, gateways[1], &texts[1], READ_TIMEOUT);
        let (first, second) = tokio::join!(first, second);
        let latency = self.state.clock().now() - read.began_at;
        self.finish_read(&read, first, latency);
        self.finish_read(&read, second, latency);
    }

    fn begin_read(&mut self, row: u64) -> PendingRead {
        let tokens = self.tokens_for(row);
        let class = self.rng.random_range(0..READ_CLASSES);
        let expected = self.state.ledger.borrow().expected(self.number, row);
        let began_at = self.state.clock().now();
        let replica_suffices = self.replica_suffices(row, class, expected, began_at);
        PendingRead { row, class, began_at, tokens, expected, replica_suffices }
    }

    /// Whether any replica has the versions that a read must return.
    fn replica_suffices(&self, row: u64, class: usize, expected: ExpectedVersions, now: Time) -> bool {
        let index = (group_of_row(row) - FIRST_GROUP) as usize;
        let mut group = self.state.cluster.emulated_hosts.groups[index].borrow_mut();
        let committed_at = group.commit_time(row, expected.written.max(expected.read));
        let oldest = now - STALENESS_BOUND;
        let needed = if class == BOUNDED_CLASS { committed_at.max(oldest) } else { committed_at };
        let primary = group.primary();
        (0..group.members.len())
            .any(|member| Some(member) != primary && group.position(member, now) >= needed)
    }

    fn read_text(&mut self, read: &PendingRead) -> String {
        let comment = self.comment(read.class, read.row, READ_DEADLINE_MS, &read.tokens);
        select_row(read.row, &comment)
    }

    /// Checks an answer to a read and counts it.
    fn finish_read(&mut self, read: &PendingRead, answer: Answer, latency: Time) {
        let state = self.state.clone();
        state.with_phase(|phase| {
            phase.requested += 1;
            phase.oracle += u64::from(read.replica_suffices);
            match &answer {
                Answer::Row { .. } => {
                    phase.served += 1;
                    phase.record_latency(latency);
                }
                Answer::Error { code, .. } if code == SQLSTATE_REJECTED => phase.rejected += 1,
                Answer::Error { .. } | Answer::NoAnswer => phase.failed += 1,
            }
        });
        match answer {
            Answer::Row { version, token } => {
                let index = (group_of_row(read.row) - FIRST_GROUP) as usize;
                let lost = &state.cluster.emulated_hosts.groups[index].borrow().lost_versions;
                let mut ledger = state.ledger.borrow_mut();
                ledger.record_read(self.number, read.row, read.expected, version, lost);
                self.replace_tokens(&read.tokens, token);
            }
            Answer::Error { token, .. } => self.replace_tokens(&read.tokens, token),
            Answer::NoAnswer => {}
        }
    }
}

fn group_of_token(token: &str) -> Option<u64> {
    Token::decode(token, TOKEN_SECRET).ok().map(|token| token.key.group)
}

/// The injected fault `unverified`: erases a token's watermark and renews its checksum.
fn without_watermark(token: &str) -> String {
    let erased = |token| Token { watermark: Watermark::NONE, ..token }.encode(TOKEN_SECRET);
    Token::decode(token, TOKEN_SECRET).map_or(String::new(), erased)
}
