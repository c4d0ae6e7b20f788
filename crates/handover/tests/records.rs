//! Records that are cut, changed, old or of another build.

use petrelgauge_handover::{HandoverRecord, RecordError, MAX_RECORD_BYTES};
use petrelgauge_policy::*;
use proptest::prelude::*;

/// A router that has learned something.
fn learned() -> Router {
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
    let mut router = Router::new(settings, 7).expect("sound settings");
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
        let ask = Event::Request(RequestArrival {
            request: request.clone(),
            class: 0,
            group: 9,
            time_left: 900_000,
            is_retry: false,
            minimum_position: None,
        });
        actions.clear();
        router.step(now, &[ask], &mut actions);
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
    let numbers = vec![("s-1".to_string(), 1), ("s-2".to_string(), 2)];
    HandoverRecord {
        process: 5,
        written: 1_700_000,
        numbers,
        learned_state: learned().learned_state(),
        ..HandoverRecord::default()
    }
}

#[test]
fn beliefs_are_restored_without_attempts_in_flight() {
    let read = HandoverRecord::decode(&record().encode()).expect("complete");
    assert_eq!(format!("{:?}", read.learned_state), format!("{:?}", record().learned_state));
    assert_eq!((read.process, read.numbers.len()), (5, 2));
    let text = format!("{:?}", read.learned_state);
    assert!(text.contains("in_flight: 0") && !text.contains("in_flight: 1"), "{text}");
}

#[test]
fn an_old_record_and_one_from_the_future_are_told_apart() {
    let record = record();
    assert_eq!(record.check_age(1_700_500, 1_000), Ok(500));
    assert_eq!(record.check_age(1_701_001, 1_000), Err(RecordError::TooOld(1_001)));
    assert_eq!(record.check_age(1_699_999, 1_000), Err(RecordError::InFuture));
}

#[test]
fn an_unknown_version_is_named_and_an_oversized_record_is_rejected_unread() {
    let mut bytes = record().encode();
    bytes[6] = 9;
    let end = bytes.len() - 4;
    let check = crc32c::crc32c(&bytes[..end]).to_be_bytes();
    bytes[end..].copy_from_slice(&check);
    assert_eq!(HandoverRecord::decode(&bytes).err(), Some(RecordError::UnknownVersion(9)));
    assert_eq!(HandoverRecord::decode(&vec![0; MAX_RECORD_BYTES + 1]).err(), Some(RecordError::TooLong));
}

#[test]
fn an_oversized_record_is_written_without_beliefs() {
    let numbers = (0..100_000).map(|number| (format!("member-{number:020}"), number)).collect();
    let bytes = HandoverRecord { numbers, ..record() }.encode();
    assert!(bytes.len() <= MAX_RECORD_BYTES);
    assert_eq!(
        HandoverRecord::decode(&bytes).map(|record| (record.process, record.numbers.len())),
        Ok((5, 0))
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(3), ..Default::default() })]

    #[test]
    fn a_cut_or_changed_record_is_rejected(cut in 0usize..4000, place in 0usize..4000, bit in 0u8..8) {
        let complete = record().encode();
        let short = &complete[..cut % complete.len()];
        prop_assert_eq!(HandoverRecord::decode(short).err(), Some(RecordError::Damaged));
        let mut changed = complete.clone();
        let place = place % complete.len();
        changed[place] ^= 1 << bit;
        prop_assert!(HandoverRecord::decode(&changed).is_err());
    }
}

#[test]
fn beliefs_of_other_settings_are_rejected_and_a_long_name_is_cut() {
    let record = HandoverRecord { settings: 7, ..record() };
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

// Records of an earlier build must stay readable: postcard writes no names, but order and types of all fields. What a
// router stores in them may change with its decisions, so this build's own record need not have the same bytes.
#[test]
fn a_record_of_an_earlier_build_is_read_and_written_again_byte_for_byte() {
    assert_eq!(crc32c::crc32c(EARLIER_RECORD), EARLIER_CHECKSUM);
    let read = HandoverRecord::decode(EARLIER_RECORD).expect("complete");
    assert_eq!((read.process, read.written, read.numbers.len()), (5, 1_700_000, 2));
    assert!(!read.learned_state.is_empty());
    assert_eq!(read.encode(), EARLIER_RECORD);
}

#[test]
fn a_record_of_this_build_has_the_form_of_an_earlier_one() {
    let own = record().encode();
    let read = HandoverRecord::decode(&own).expect("complete");
    assert_eq!(read.encode(), own);
    // Numbers of fixed size have moved, nothing else: no field is longer or shorter than it was.
    assert_eq!(own.len(), EARLIER_RECORD.len());
}
