//! Records that are truncated, corrupted, too old or written by another build.

use petrelgauge_handover::{HandoverRecord, RecordError, MAX_RECORD_BYTES};
use petrelgauge_policy::{
    Action, AttemptOutcome, Class, Effect, Ending, Entry, Event, MemberStatus, Need, Report, RequestArrival,
    RequestId, Role, Router, Settings, Update,
};
use proptest::prelude::*;

/// A router that has learned from ten reads.
fn learned_router() -> Router {
    let class = Class {
        name: "view".into(),
        need: Need::Eventual,
        effect: Effect::Safe,
        attempts: 4,
        latency_target: 200_000,
        deadline: 1_000_000,
        priority_weight: 1.0,
        late_share: 0.0,
    };
    let settings = Settings { classes: vec![class], ..Settings::default() };
    let mut router = Router::new(settings, 7).expect("valid settings");
    let entry = |member, primary| Entry {
        member,
        group: 9,
        zone: "here".into(),
        weight: 1.0,
        started: 0,
        status: MemberStatus::Up,
        primary,
    };
    let mut actions = Vec::new();
    let entries = vec![entry(1, true), entry(2, false)].into();
    router.step(1_000_000, &[Event::List { update: Update::Complete, entries }], &mut actions);
    for turn in 0..10 {
        let now = 1_100_000 + turn * 50_000;
        let request: RequestId = turn.to_string().into();
        let arrival = Event::Request(RequestArrival {
            request: request.clone(),
            class: 0,
            group: 9,
            time_left: 900_000,
            is_retry: false,
            minimum_position: None,
        });
        actions.clear();
        router.step(now, &[arrival], &mut actions);
        let Some(Action::Send { member, .. }) =
            actions.iter().find(|action| matches!(action, Action::Send { .. }))
        else {
            continue;
        };
        let outcome = Event::Outcome(AttemptOutcome {
            request,
            attempt: 0,
            member: *member,
            ending: Ending::Served,
            took: 20_000,
            closed: true,
            position: Some(now),
            role: Some(if *member == 1 { Role::Primary } else { Role::Replica }),
            report: Report::default(),
        });
        router.step(now + 20_000, &[outcome], &mut actions);
    }
    router
}

fn record() -> HandoverRecord {
    let member_ids = vec![("s-1".to_string(), 1), ("s-2".to_string(), 2)];
    HandoverRecord {
        process: 5,
        written_at: 1_700_000,
        member_ids,
        learned_state: learned_router().learned_state(),
        ..HandoverRecord::default()
    }
}

#[test]
fn learned_state_is_restored_without_attempts_in_flight() {
    let read = HandoverRecord::decode(&record().encode()).expect("complete");
    assert_eq!(format!("{:?}", read.learned_state), format!("{:?}", record().learned_state));
    assert_eq!((read.process, read.member_ids.len()), (5, 2));
    let text = format!("{:?}", read.learned_state);
    assert!(text.contains("in_flight: 0") && !text.contains("in_flight: 1"), "{text}");
}

#[test]
fn an_old_record_and_one_from_the_future_are_distinct_errors() {
    let record = record();
    assert_eq!(record.check_age(1_700_500, 1_000), Ok(500));
    assert_eq!(record.check_age(1_701_001, 1_000), Err(RecordError::TooOld(1_001)));
    assert_eq!(record.check_age(1_699_999, 1_000), Err(RecordError::InFuture));
}

#[test]
fn an_unknown_version_and_an_oversized_record_are_typed_errors() {
    let mut bytes = record().encode();
    bytes[6] = 9;
    let end = bytes.len() - 4;
    let checksum = crc32c::crc32c(&bytes[..end]).to_be_bytes();
    bytes[end..].copy_from_slice(&checksum);
    assert_eq!(HandoverRecord::decode(&bytes).err(), Some(RecordError::UnknownVersion(9)));
    assert_eq!(HandoverRecord::decode(&vec![0; MAX_RECORD_BYTES + 1]).err(), Some(RecordError::TooLong));
}

#[test]
fn an_oversized_record_is_written_without_learned_state() {
    let member_ids = (0..100_000).map(|number| (format!("member-{number:020}"), number)).collect();
    let bytes = HandoverRecord { member_ids, ..record() }.encode();
    assert!(bytes.len() <= MAX_RECORD_BYTES);
    assert_eq!(
        HandoverRecord::decode(&bytes).map(|record| (record.process, record.member_ids.len())),
        Ok((5, 0))
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        ..Default::default()
    })]

    #[test]
    fn a_truncated_or_corrupted_record_is_rejected(
        cut in 0usize..4000,
        index in 0usize..4000,
        bit in 0u8..8,
    ) {
        let complete = record().encode();
        let truncated = &complete[..cut % complete.len()];
        prop_assert_eq!(HandoverRecord::decode(truncated).err(), Some(RecordError::Damaged));
        let mut corrupted = complete.clone();
        let index = index % complete.len();
        corrupted[index] ^= 1 << bit;
        prop_assert!(HandoverRecord::decode(&corrupted).is_err());
    }
}

#[test]
fn learned_state_of_other_settings_is_rejected_and_a_long_identity_truncated() {
    let record = HandoverRecord { settings_digest: 7, ..record() };
    let read = HandoverRecord::decode(&record.encode()).expect("complete");
    assert_eq!((read.check_settings(7), read.check_settings(8)), (Ok(()), Err(RecordError::OtherSettings)));
    let gateway = petrelgauge_handover::gateway_identity(&"ü".repeat(4000), "127.0.0.1:5433");
    assert!(gateway.len() <= 256 && gateway.starts_with("127.0.0.1:5433 ü"));
    assert_ne!(
        petrelgauge_handover::gateway_identity("n1", "127.0.0.1:5433"),
        petrelgauge_handover::gateway_identity("n1", "127.0.0.1:5434")
    );
}

/// The record of `record` as the code of commit 2247fe6 wrote it, and its checksum.
const EARLIER_RECORD: &[u8] = include_bytes!("fixtures/record-of-2247fe6.bin");
const EARLIER_CHECKSUM: u32 = 1_755_156_702;

// Records of earlier builds must stay readable. Postcard encodes fields by order and type, without names, so
// reordering or retyping a field would break them. The values in a record may change with the decisions of
// the router, so this build's own record may have other bytes.
#[test]
fn a_record_of_an_earlier_build_round_trips_byte_for_byte() {
    assert_eq!(crc32c::crc32c(EARLIER_RECORD), EARLIER_CHECKSUM);
    let read = HandoverRecord::decode(EARLIER_RECORD).expect("complete");
    assert_eq!((read.process, read.written_at, read.member_ids.len()), (5, 1_700_000, 2));
    assert!(!read.learned_state.is_empty());
    assert_eq!(read.encode(), EARLIER_RECORD);
}

#[test]
fn a_record_of_this_build_has_the_layout_of_an_earlier_one() {
    let own = record().encode();
    let read = HandoverRecord::decode(&own).expect("complete");
    assert_eq!(read.encode(), own);
    // Only the values of fixed-size numbers may differ, so the length is the same.
    assert_eq!(own.len(), EARLIER_RECORD.len());
}
