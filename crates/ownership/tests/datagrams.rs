//! Datagrams that are cut, altered, replayed, or of another fleet.

use petrelgauge_ownership::*;
use proptest::prelude::*;

const FLEET: u32 = 77;
const SECRET: u64 = 5;

fn word(term: Term) -> Message {
    Message::Word(
        Duty { kind: 2, group: u64::MAX },
        term,
        Word::Primary { member: u64::MAX, position: i64::MAX },
    )
}

fn office() -> Office {
    let settings = Settings { me: 0, gateways: 4, electors: vec![0, 1, 2], ..Settings::default() };
    Office::new(settings, 0, 1).expect("sound settings")
}

#[test]
fn the_longest_ones_fit_and_come_back_as_they_were() {
    let bytes = word(Term::MAX).write(u16::MAX, FLEET, SECRET);
    assert!(bytes.len() <= MOST_BYTES, "{}", bytes.len());
    assert_eq!(Message::read(&bytes, FLEET, SECRET), Ok((u16::MAX, word(Term::MAX))));
}

#[test]
fn another_fleet_version_or_secret_is_named_and_a_bulletin_is_none_of_these() {
    let mut bytes = word(1).write(3, FLEET, SECRET);
    assert_eq!(Message::read(&bytes, FLEET + 1, SECRET), Err(MessageError::Fleet));
    assert_eq!(Message::read(&bytes, FLEET, SECRET + 1), Err(MessageError::Check));
    assert!(!Message::is_one(&[1, 2, 3]) && !Message::is_one(&[]));
    bytes.truncate(9);
    assert_eq!(Message::read(&bytes, FLEET, SECRET), Err(MessageError::Shape));
}

#[test]
fn terms_near_the_end_of_their_range_lock_nobody_out() {
    let mut office = office();
    for term in [Term::MAX, Term::MAX - 1, 1 << 62] {
        assert!(!office.takes(Duty { kind: 2, group: u64::MAX }, term));
        let answers = office.hear(1, 1, word(term));
        assert!(matches!(answers[..], [(1, Message::Turned(_, 0))]), "{answers:?}");
    }
    assert!(office.takes(Duty { kind: 2, group: u64::MAX }, 5));
    assert_eq!(office.counts().turned, 3);
}

#[test]
fn words_from_nowhere_are_counted_and_replayed_ones_take_nothing_back() {
    let mut office = office();
    let duty = Duty { kind: 2, group: u64::MAX };
    assert!(office.hear(1, 9, word(5)).is_empty());
    assert_eq!(office.counts().odd, 1);
    office.hear(1, 1, word(5));
    office.hear(2, 2, word(6));
    assert!(!office.takes(duty, 5) && office.takes(duty, 6));
    assert!(matches!(office.hear(3, 1, word(5))[..], [(1, Message::Turned(_, 6))]));
}

#[test]
fn settings_that_cannot_be_are_named() {
    let base = Settings { me: 0, gateways: 5, electors: vec![0, 1, 2], ..Settings::default() };
    let check = |change: fn(&mut Settings)| {
        let mut settings = base.clone();
        change(&mut settings);
        settings.check()
    };
    assert_eq!(check(|_| ()), Ok(()));
    assert_eq!(check(|s| s.electors = vec![0, 1]), Err(SettingsError::Electors(2)));
    assert_eq!(check(|s| s.electors.clear()), Err(SettingsError::Electors(0)));
    assert_eq!(check(|s| s.electors = vec![0, 1, 1]), Err(SettingsError::Twice(1)));
    assert_eq!(check(|s| s.electors = vec![0, 1, 9]), Err(SettingsError::Unknown(9)));
    assert_eq!(check(|s| s.delay = s.lease / 4), Err(SettingsError::Lease));
    assert_eq!(check(|s| s.delay = 0), Err(SettingsError::Lease));
    assert_eq!(check(|s| s.drift = 0.5), Err(SettingsError::Drift));
    assert_eq!(check(|s| s.drift = f64::NAN), Err(SettingsError::Drift));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: proptest::test_runner::RngSeed::Fixed(4), ..Default::default() })]

    #[test]
    fn cut_altered_and_random_bytes_are_never_taken(
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
