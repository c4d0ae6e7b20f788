//! Datagrams that are cut, altered, replayed, or of another fleet.

use petrelgauge_ownership::*;
use proptest::prelude::*;

const FLEET: u32 = 77;
const SECRET: u64 = 5;

fn word(term: Term) -> Message {
    Message::Notification(
        LeadershipRole { kind: 2, shard: u64::MAX },
        term,
        Notification::Primary { member: u64::MAX, position: i64::MAX },
    )
}

fn manager() -> LeaseManager {
    let settings = Settings { self_id: 0, gateways: 4, acceptors: vec![0, 1, 2], ..Settings::default() };
    LeaseManager::new(settings, 0, 1).expect("sound settings")
}

#[test]
fn the_longest_datagrams_fit_and_round_trip() {
    let bytes = word(Term::MAX).write(u16::MAX, FLEET, SECRET);
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
    assert_eq!(Message::read(&bytes, FLEET, SECRET), Ok((u16::MAX, word(Term::MAX))));
}

#[test]
fn another_fleet_version_or_secret_is_a_typed_error() {
    let mut bytes = word(1).write(3, FLEET, SECRET);
    assert_eq!(Message::read(&bytes, FLEET + 1, SECRET), Err(MessageError::Fleet));
    assert_eq!(Message::read(&bytes, FLEET, SECRET + 1), Err(MessageError::Check));
    assert!(!Message::is_one(&[1, 2, 3]) && !Message::is_one(&[]));
    bytes.truncate(9);
    assert_eq!(Message::read(&bytes, FLEET, SECRET), Err(MessageError::Shape));
}

#[test]
fn implausibly_high_terms_are_rejected_and_not_remembered() {
    let mut manager = manager();
    for term in [Term::MAX, Term::MAX - 1, 1 << 62] {
        assert!(!manager.would_admit(LeadershipRole { kind: 2, shard: u64::MAX }, term));
        let answers = manager.on_message(1, 1, word(term));
        assert!(matches!(answers[..], [(1, Message::StaleTerm(_, 0))]), "{answers:?}");
    }
    assert!(manager.would_admit(LeadershipRole { kind: 2, shard: u64::MAX }, 5));
    assert_eq!(manager.counts().rejected, 3);
}

#[test]
fn unknown_senders_are_counted_and_replayed_notifications_rejected() {
    let mut manager = manager();
    let role = LeadershipRole { kind: 2, shard: u64::MAX };
    assert!(manager.on_message(1, 9, word(5)).is_empty());
    assert_eq!(manager.counts().unknown_senders, 1);
    manager.on_message(1, 1, word(5));
    manager.on_message(2, 2, word(6));
    assert!(!manager.would_admit(role, 5) && manager.would_admit(role, 6));
    assert!(matches!(manager.on_message(3, 1, word(5))[..], [(1, Message::StaleTerm(_, 6))]));
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
    assert_eq!(check(|s| s.max_delay = s.lease / 4), Err(SettingsError::Lease));
    assert_eq!(check(|s| s.max_delay = 0), Err(SettingsError::Lease));
    assert_eq!(check(|s| s.drift_bound = 0.5), Err(SettingsError::Drift));
    assert_eq!(check(|s| s.drift_bound = f64::NAN), Err(SettingsError::Drift));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: proptest::test_runner::RngSeed::Fixed(4), ..Default::default() })]

    #[test]
    fn truncated_altered_and_random_bytes_are_rejected(
        cut in 0usize..200, place in 0usize..200, bit in 0u8..8,
        garbage in proptest::collection::vec(any::<u8>(), 0..300),
    ) {
        let whole = word(9).write(1, FLEET, SECRET);
        prop_assert!(Message::read(&whole[..cut % whole.len()], FLEET, SECRET).is_err());
        let mut altered = whole.clone();
        let place = place % altered.len();
        altered[place] ^= 1 << bit;
        prop_assert!(Message::read(&altered, FLEET, SECRET).is_err());
        prop_assert!(Message::read(&garbage, FLEET, SECRET).is_err());
    }
}
