//! The encoding of records must not change. `fixtures/record-version-2.bin` was recorded from commit a97f0e8.

use petrelgauge_handover::{HandoverRecord, Reservation};
use serde::Deserialize;

const STORED: &[u8] = include_bytes!("fixtures/record-version-2.bin");
/// Length of magic and version.
const HEADER_BYTES: usize = 7;
const CHECKSUM_BYTES: usize = 4;

type Samples<T> = Vec<(i64, T)>;

/// The stored fields in order, in types that are independent of the program's.
#[derive(Debug, PartialEq, Deserialize)]
struct StoredRecord {
    gateway: String,
    settings_digest: u64,
    process: u64,
    written_at: i64,
    /// Sockets, memory, open requests.
    reservation: (usize, usize, usize),
    member_ids: Vec<(String, u32)>,
    learned_state: StoredState,
}

#[derive(Debug, PartialEq, Deserialize)]
struct StoredState {
    members: Vec<(u32, StoredMember)>,
    groups: Vec<(u64, StoredGroup)>,
    sojourns: Samples<f64>,
    served_rate: f64,
    served_rate_at: i64,
    service_time: [f64; 2],
    shed_share: f64,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
struct StoredMember {
    group: u64,
    zone: String,
    weight: f64,
    status: u32,
    listed_draining: bool,
    started: i64,
    recovered_at: i64,
    primary_evidence_at: i64,
    replica_evidence_at: i64,
    position: i64,
    lags: Samples<i64>,
    sojourns: Samples<f64>,
    mean_sojourn: f64,
    concurrency_limit: f64,
    paced_until: i64,
    in_flight: u32,
    presumed_lost: u32,
    silent_waits: (f64, i64),
    last_listed_at: i64,
    last_heard_at: i64,
    last_loss_at: i64,
    suspected: bool,
    down: bool,
    consecutive_failures: u32,
    ejected_until: i64,
    probe_in_flight: bool,
    probed_at: i64,
    slow_start_tokens: f64,
    slow_start_refilled_at: i64,
}

#[derive(Debug, PartialEq, Deserialize)]
struct StoredGroup {
    members: Vec<u32>,
    waiting: Vec<u64>,
    commits: Vec<i64>,
    last_discovery_at: i64,
    /// Extra quota, and when it expires.
    quota_adjustment: (f64, i64),
}

fn primary() -> StoredMember {
    let early = [1_370_000, 1_420_000, 1_470_000, 1_520_000, 1_570_000].map(|at| (at, 0.1));
    let late = [2_670_000, 2_710_000, 2_750_000, 2_790_000, 2_870_000, 2_910_000, 2_950_000];
    StoredMember {
        group: 9,
        zone: "here".into(),
        weight: 1.0,
        status: 0,
        listed_draining: false,
        started: 0,
        recovered_at: 0,
        primary_evidence_at: 2_950_000,
        replica_evidence_at: 0,
        position: 2_920_000,
        lags: vec![],
        sojourns: early.into_iter().chain(late.map(|at| (at, 0.15))).collect(),
        mean_sojourn: 0.1265460369623311,
        concurrency_limit: 6.0,
        paced_until: 2_950_000,
        in_flight: 0,
        presumed_lost: 0,
        silent_waits: (0.0, 0),
        last_listed_at: 2_950_000,
        last_heard_at: 2_950_000,
        last_loss_at: 0,
        suspected: false,
        down: false,
        consecutive_failures: 0,
        ejected_until: 2_670_000,
        probe_in_flight: false,
        probed_at: 0,
        slow_start_tokens: 9.807948470645663,
        slow_start_refilled_at: 2_920_000,
    }
}

fn replica() -> StoredMember {
    let late = [2_470_000, 2_510_000, 2_550_000, 2_590_000];
    StoredMember {
        primary_evidence_at: 0,
        replica_evidence_at: 2_590_000,
        position: 2_560_000,
        lags: [(1_120_000, 20_000)].into_iter().chain(late.map(|at| (at, 30_000))).collect(),
        sojourns: [(1_120_000, 0.1)].into_iter().chain(late.map(|at| (at, 0.15))).collect(),
        mean_sojourn: 0.07952915625,
        paced_until: 2_830_000,
        last_heard_at: 2_590_000,
        suspected: true,
        consecutive_failures: 6,
        ejected_until: 3_150_000,
        slow_start_tokens: 12.196232206243419,
        slow_start_refilled_at: 2_800_000,
        ..primary()
    }
}

fn group() -> StoredGroup {
    StoredGroup {
        members: vec![1, 2],
        waiting: vec![],
        commits: vec![],
        last_discovery_at: 0,
        quota_adjustment: (0.0, 0),
    }
}

fn learned_state() -> StoredState {
    let late = [2_470_000, 2_510_000, 2_550_000, 2_590_000, 2_670_000, 2_710_000, 2_750_000, 2_790_000];
    let last = [2_870_000, 2_910_000, 2_950_000];
    let late = late.into_iter().chain(last).map(|at| (at, 0.15));
    StoredState {
        members: vec![(1, primary()), (2, replica())],
        groups: vec![(9, group())],
        sojourns: [(1_570_000, 0.1)].into_iter().chain(late).collect(),
        served_rate: 4.264272860550044,
        served_rate_at: 2_950_000,
        service_time: [485206.00929876644, 0.0],
        shed_share: 0.0,
    }
}

fn member_ids() -> Vec<(String, u32)> {
    [("s-1", 1), ("s-2", 2), ("s-ü-3", 70_003)].map(|(name, number)| (name.to_string(), number)).to_vec()
}

#[test]
fn the_stored_record_has_these_fields_in_this_order() {
    let (head, checksum) = STORED.split_at(STORED.len() - CHECKSUM_BYTES);
    let (header, body) = head.split_at(HEADER_BYTES);
    assert_eq!(header, b"petrel\x02");
    assert_eq!(checksum, crc32c::crc32c(head).to_be_bytes());
    let (stored, rest) = postcard::take_from_bytes::<StoredRecord>(body).expect("the fields of version 2");
    assert!(rest.is_empty());
    let expected = StoredRecord {
        gateway: "10.0.0.5:5433 n1".into(),
        settings_digest: 0x1234_5678_9abc_def0,
        process: 0xfeed_beef_0000_0007,
        written_at: 1_764_670_000_123_456,
        reservation: (123, 4_567_890, 45),
        member_ids: member_ids(),
        learned_state: learned_state(),
    };
    assert_eq!(stored, expected);
}

#[test]
fn the_stored_record_is_decoded_and_encoded_to_the_same_bytes() {
    let record = HandoverRecord::decode(STORED).expect("a record of version 2");
    assert_eq!(record.gateway, "10.0.0.5:5433 n1");
    assert_eq!(record.settings_digest, 0x1234_5678_9abc_def0);
    assert_eq!(record.process, 0xfeed_beef_0000_0007);
    assert_eq!(record.written_at, 1_764_670_000_123_456);
    assert_eq!(record.reservation, Reservation { sockets: 123, memory: 4_567_890, open_requests: 45 });
    assert_eq!(record.member_ids, member_ids());
    let stored = postcard::to_allocvec(&record.learned_state).expect("plain data");
    assert_eq!(postcard::from_bytes::<StoredState>(&stored).expect("the stored fields"), learned_state());
    assert_eq!(record.encode(), STORED);
}
