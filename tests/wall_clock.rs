//! A gateway whose wall clock is wrong. The tests shift the positions and start times of the hosts and leave
//! the machine's clock unchanged.

mod facade_simulation;

use facade_simulation::*;
use petrelgauge::facade::{Attempt, Outcome, RequestHandle};
use petrelgauge::*;
use petrelgauge_test_support::{
    gateway_program, insert, kinds, select, unix_ms, with_unchecked_reads, Harness, ReadClass, Reply,
};

/// How far the hosts' clock is ahead of the gateway's (milliseconds).
const SHIFTS_MS: [i64; 7] = [0, 3_000, 60_000, 3_600_000, -3_000, -60_000, -3_600_000];

/// Reads of data no older than 1 s.
const BOUNDED: ReadClass =
    ReadClass { name: "bounded", read_level: "lag_bound", staleness_bound_us: 1_000_000 };

/// Extra delay of the primary's answers (milliseconds). The faster of two fresh members gets more reads;
/// with equal delays the machine's load would decide.
const PRIMARY_DELAY_MS: u64 = 10;

/// Sends `count` bounded reads in sequence and returns how many the primary, a fresh replica and a stale
/// replica answered. The stale replica lags about as much as the gateway's clock is behind the hosts' clock,
/// at least 2.8 s.
fn bounded_reads(shift_ms: i64, count: usize) -> [usize; 3] {
    let harness = Harness::new(gateway_program!());
    let stale_ms = shift_ms.max(3_000) - 200;
    let primary = || Reply::Delayed(PRIMARY_DELAY_MS, Box::new(Reply::RowByClock(b"primary", shift_ms)));
    let hosts = [
        harness.host((0..300).map(|_| primary()).collect()),
        harness.host((0..300).map(|_| Reply::ReplicaByClock(b"fresh", shift_ms, 10)).collect()),
        harness.host((0..300).map(|_| Reply::ReplicaByClock(b"stale", shift_ms, stale_ms)).collect()),
    ];
    let harness = harness.list(&[
        (&hosts[0], "up", "primary"),
        (&hosts[1], "up", "standby"),
        (&hosts[2], "up", "standby"),
    ]);
    let started_ms = unix_ms() as i64 + shift_ms - 1_800_000;
    let config = with_unchecked_reads(&harness.config(), &[BOUNDED])
        .replace(r#""up_since_ms":0"#, &format!(r#""up_since_ms":{started_ms}"#));
    let gateway = harness.start_with_config(&config);
    let mut client = gateway.client();
    let mut answered = [0; 3];
    for round in 0..count {
        if round % 5 == 0 {
            client.query(&insert("a", 20_000).replace("9b1f", &format!("write-{round}")));
            client.query(&select("a", "view", 20_000));
        }
        let answer = client.query(&select("a", "bounded", 20_000));
        assert_eq!(kinds(&answer), "TDCZ", "{shift_ms}");
        let index =
            [&b"primary"[..], b"fresh", b"stale"].iter().position(|value| answer[1].1[6..] == **value);
        answered[index.expect("one of the hosts")] += 1;
    }
    answered
}

#[test]
fn bounded_reads_go_to_fresh_replicas_only_with_any_clock_shift() {
    for shift_ms in SHIFTS_MS {
        let [primary, fresh, stale] = bounded_reads(shift_ms, 60);
        println!("{shift_ms}: {primary} {fresh} {stale}");
        assert_eq!(stale, 0, "{shift_ms}");
        assert!(fresh >= 20, "{shift_ms}: {primary} at the primary, {fresh} at the replica");
    }
}

/// Start time by the hosts' clock (microseconds).
const START: Time = 1_000_000_000 * MS;

/// Simulates the router of one gateway whose clock is behind the hosts' clock by `offset`.
struct ShiftedGateway {
    simulation: Simulation,
    offset: Time,
}

impl ShiftedGateway {
    fn new(shift_ms: i64, sessions: Option<petrelgauge_sessions::Settings>) -> ShiftedGateway {
        let offset = shift_ms * MS;
        let settings = Settings { may_probe: false, clock_may_be_wrong: true, ..settings() };
        ShiftedGateway { simulation: Simulation::new(START - offset, settings, sessions), offset }
    }

    fn hosts_now(&self) -> Time {
        self.simulation.now + self.offset
    }

    fn step(&mut self) {
        self.simulation.step();
    }

    /// Admits a request of session `one` and returns it with its first attempt.
    fn send(&mut self, class: usize) -> (RequestHandle, Attempt) {
        let mut ticket = self.simulation.admit(class, 900 * MS, &[]);
        let attempt = self.simulation.send(&mut ticket);
        (ticket, attempt)
    }

    /// Reports a served answer at this position. Returns whether it becomes the answer of the request.
    fn answer(&mut self, attempt: Attempt, position: Time, role: Role) -> bool {
        self.simulation.now += 2 * MS;
        let without_report = Outcome::without_report(Ending::Served);
        let mut outcome = Outcome { position: Some(position), role: Some(role), ..without_report };
        attempt.validate_times(self.simulation.now, &mut outcome);
        attempt.report(self.simulation.now, outcome)
    }

    /// Sends a write that is served. Returns the member that served it and the commit position.
    fn write(&mut self) -> (MemberId, Time) {
        let (_ticket, attempt) = self.send(WRITE);
        let (host, commit) = (attempt.host(), self.hosts_now() + MS);
        assert!(self.answer(attempt, commit, Role::Primary));
        self.step();
        (host, commit)
    }

    fn primary(&self) -> Option<MemberId> {
        self.simulation.facade.read(|table| table.primaries()).first().map(|primary| primary.member)
    }
}

// One gateway's clock is wrong: it must accept the other gateways' announcements of a new primary, and its
// own announcement must not outlast a newer one.
#[test]
fn a_gossiped_primary_is_accepted_with_any_clock_shift() {
    for shift_ms in SHIFTS_MS {
        let (mut right, mut wrong) = (ShiftedGateway::new(0, None), ShiftedGateway::new(shift_ms, None));
        for _ in 0..3 {
            right.write();
            wrong.write();
        }
        assert_eq!((right.primary(), wrong.primary()), (Some(1), Some(1)));
        let announced_at =
            |from: &ShiftedGateway| from.simulation.facade.read(|table| table.primaries())[0].evidence_at;
        let (by_right, by_wrong) = (announced_at(&right), announced_at(&wrong));
        assert!((by_right - by_wrong).abs() <= 20 * MS, "{shift_ms}: {by_right} and {by_wrong}");
        // Member 2 has become primary, and the announcement of another gateway arrives.
        for gateway in [&mut right, &mut wrong] {
            gateway.simulation.now += 1_000 * MS;
            let at = by_right + 900 * MS;
            gateway
                .simulation
                .facade
                .update(|table| table.record_gossiped_primary(gateway.simulation.now, 2, at));
            gateway.step();
            assert_eq!(gateway.primary(), Some(2), "{shift_ms}");
        }
    }
}

// Regression: commit positions were limited to the gateway's clock. With a clock that was behind, session
// reads required a lower position than the session had written.
#[test]
fn a_session_read_requires_its_write_and_no_more_with_any_clock_shift() {
    let kept = petrelgauge_sessions::Settings { roams: false, tokens: false, ..Default::default() };
    for shift_ms in SHIFTS_MS {
        let mut shifted = ShiftedGateway::new(shift_ms, Some(kept.clone()));
        for n in 0..4 {
            let (_, commit) = shifted.write();
            let (_ticket, attempt) = shifted.send(READ);
            assert!(
                !shifted.answer(attempt, commit - MS, Role::Replica),
                "{shift_ms} {n}: it lacks the write"
            );
            shifted.step();
            let (_ticket, attempt) = shifted.send(READ);
            assert!(
                shifted.answer(attempt, commit + 20 * MS, Role::Replica),
                "{shift_ms} {n}: it has the write"
            );
            shifted.step();
        }
    }
}

// A write without an answer may have committed at any position up to the present time of the hosts' clock.
#[test]
fn a_write_without_an_answer_raises_the_minimum_position_by_the_hosts_clock() {
    let kept = petrelgauge_sessions::Settings { roams: false, tokens: false, ..Default::default() };
    for shift_ms in SHIFTS_MS {
        let mut shifted = ShiftedGateway::new(shift_ms, Some(kept.clone()));
        shifted.write();
        let (ticket, attempt) = shifted.send(WRITE);
        shifted.simulation.now += 50 * MS;
        let lost_at = shifted.hosts_now();
        assert!(!attempt.report(shifted.simulation.now, Outcome::without_report(Ending::ConnectionLost)));
        drop(ticket);
        shifted.step();
        let (_ticket, attempt) = shifted.send(READ);
        assert!(!shifted.answer(attempt, lost_at - 10 * MS, Role::Replica), "{shift_ms}: it may lack it");
        shifted.simulation.now += 100 * MS;
        shifted.step();
        let (_ticket, attempt) = shifted.send(READ);
        assert!(shifted.answer(attempt, lost_at + 20 * MS, Role::Replica), "{shift_ms}: it has all of it");
    }
}
