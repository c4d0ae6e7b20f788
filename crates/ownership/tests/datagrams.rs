//! Rejection of datagrams that are truncated, altered, replayed or from another fleet, and of invalid
//! settings.

use petrelgauge_ownership::{
    DatagramError, LeadershipRole, LeaseManager, Message, Notification, Outgoing, PrimaryAnnouncement,
    ReceivedMessage, Settings, SettingsError, Term, MAX_DATAGRAM_BYTES,
};
use proptest::prelude::*;

const FINGERPRINT: u32 = 77;
const SECRET: u64 = 5;
const ROLE: LeadershipRole = LeadershipRole { kind: 2, shard: u64::MAX };

fn notification(term: Term) -> Message {
    let primary = PrimaryAnnouncement { member: u64::MAX, evidence_at: i64::MAX };
    Message::Notification { role: ROLE, term, notification: Notification::Primary(primary) }
}

/// The response to gateway 1 if its notification is rejected.
fn rejection(highest: Term) -> Outgoing {
    Outgoing { to: 1, message: Message::StaleTerm { role: ROLE, highest } }
}

fn manager() -> LeaseManager {
    let settings = Settings { self_id: 0, gateways: 4, acceptors: vec![0, 1, 2], ..Settings::default() };
    LeaseManager::new(settings, 0, 1).expect("valid settings")
}

#[test]
fn the_longest_datagrams_fit_and_round_trip() {
    let bytes = notification(Term::MAX).encode(u16::MAX, FINGERPRINT, SECRET);
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
    assert_eq!(
        Message::decode(&bytes, FINGERPRINT, SECRET),
        Ok(ReceivedMessage { from: u16::MAX, message: notification(Term::MAX) })
    );
}

#[test]
fn another_fleet_version_or_secret_is_a_typed_error() {
    let mut bytes = notification(1).encode(3, FINGERPRINT, SECRET);
    assert_eq!(Message::decode(&bytes, FINGERPRINT + 1, SECRET), Err(DatagramError::OtherFleet));
    assert_eq!(Message::decode(&bytes, FINGERPRINT, SECRET + 1), Err(DatagramError::ChecksumMismatch));
    assert!(!Message::has_magic_byte(&[1, 2, 3]) && !Message::has_magic_byte(&[]));
    bytes.truncate(9);
    assert_eq!(Message::decode(&bytes, FINGERPRINT, SECRET), Err(DatagramError::Malformed));
}

#[test]
fn implausibly_high_terms_are_rejected_and_not_remembered() {
    let mut manager = manager();
    for term in [Term::MAX, Term::MAX - 1, 1 << 62] {
        assert!(!manager.would_admit(ROLE, term));
        let responses = manager.on_message(1, 1, notification(term));
        assert_eq!(responses, [rejection(0)]);
    }
    assert!(manager.would_admit(ROLE, 5));
    assert_eq!(manager.counts().rejected, 3);
}

#[test]
fn unknown_senders_are_counted_and_replayed_notifications_rejected() {
    let mut manager = manager();
    assert!(manager.on_message(1, 9, notification(5)).is_empty());
    assert_eq!(manager.counts().unknown_senders, 1);
    manager.on_message(1, 1, notification(5));
    manager.on_message(2, 2, notification(6));
    assert!(!manager.would_admit(ROLE, 5) && manager.would_admit(ROLE, 6));
    assert_eq!(manager.on_message(3, 1, notification(5)), [rejection(6)]);
}

#[test]
fn invalid_settings_are_typed_errors() {
    let base = Settings { self_id: 0, gateways: 5, acceptors: vec![0, 1, 2], ..Settings::default() };
    let check = |change: fn(&mut Settings)| {
        let mut settings = base.clone();
        change(&mut settings);
        settings.check()
    };
    assert_eq!(check(|_| ()), Ok(()));
    assert_eq!(check(|s| s.acceptors = vec![0, 1]), Err(SettingsError::AcceptorCount(2)));
    assert_eq!(check(|s| s.acceptors.clear()), Err(SettingsError::AcceptorCount(0)));
    assert_eq!(check(|s| s.acceptors = vec![0, 1, 1]), Err(SettingsError::DuplicateAcceptor(1)));
    assert_eq!(check(|s| s.acceptors = vec![0, 1, 9]), Err(SettingsError::UnknownAcceptor(9)));
    assert_eq!(check(|s| s.max_delay = s.lease / 4), Err(SettingsError::LeaseTooShort));
    assert_eq!(check(|s| s.max_delay = 0), Err(SettingsError::LeaseTooShort));
    assert_eq!(check(|s| s.drift_bound = 0.5), Err(SettingsError::DriftBound));
    assert_eq!(check(|s| s.drift_bound = f64::NAN), Err(SettingsError::DriftBound));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        ..Default::default()
    })]

    #[test]
    fn truncated_altered_and_random_bytes_are_rejected(
        length in 0usize..200, index in 0usize..200, bit in 0u8..8,
        garbage in proptest::collection::vec(any::<u8>(), 0..300),
    ) {
        let complete = notification(9).encode(1, FINGERPRINT, SECRET);
        prop_assert!(Message::decode(&complete[..length % complete.len()], FINGERPRINT, SECRET).is_err());
        let mut altered = complete.clone();
        let index = index % altered.len();
        altered[index] ^= 1 << bit;
        prop_assert!(Message::decode(&altered, FINGERPRINT, SECRET).is_err());
        prop_assert!(Message::decode(&garbage, FINGERPRINT, SECRET).is_err());
    }
}
