//! Algebraic laws of joins, bounds of memory and sketch, and rejection of invalid tokens, broadcasts and
//! settings.

mod common;
use common::*;
use petrelgauge_policy::{Role, Time};
use petrelgauge_sessions::*;
use proptest::prelude::*;

fn proptest_config() -> ProptestConfig {
    ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(3),
        ..Default::default()
    }
}

fn watermark_strategy() -> impl Strategy<Value = Watermark> {
    (0..1i64 << 44, 0..1i64 << 44).prop_map(|(written, read)| Watermark { written, read })
}

fn key_strategy() -> impl Strategy<Value = SessionKey> {
    (0..4u64, 0..300u64).prop_map(|(group, name)| SessionKey { group, name_hash: name })
}

fn sender(instance: u16) -> BroadcastSender {
    BroadcastSender { instance, group: GROUP, epoch: MS }
}

fn broadcast(entries: Vec<BroadcastEntry>, until: Time) -> WatermarkBroadcast {
    WatermarkBroadcast { sender: sender(1), from: until - 20 * MS, until, omitted_bound: 0, entries }
}

proptest! {
    #![proptest_config(proptest_config())]

    #[test]
    fn merging_is_commutative_associative_idempotent_and_never_lowers(
        a in watermark_strategy(),
        b in watermark_strategy(),
        c in watermark_strategy(),
    ) {
        prop_assert_eq!(a.join(b), b.join(a));
        prop_assert_eq!(a.join(b).join(c), a.join(b.join(c)));
        prop_assert_eq!(a.join(a), a);
        prop_assert!(a.join(b).covers(a) && a.join(b).covers(b));
        prop_assert_eq!(a.join(Watermark::NONE), a);
    }

    #[test]
    fn memory_never_underestimates_and_keeps_its_capacity(
        joins in prop::collection::vec((key_strategy(), watermark_strategy()), 1..400),
    ) {
        let mut memory = SessionMemory::new(32, 64, 5);
        let mut expected = std::collections::BTreeMap::<SessionKey, Watermark>::new();
        for (key, watermark) in &joins {
            memory.join(*key, *watermark, 0);
            let known = expected.entry(*key).or_default();
            *known = known.join(*watermark);
            prop_assert!(memory.len() <= 32);
        }
        for (key, watermark) in expected {
            prop_assert!(memory.get(key).watermark.covers(watermark));
        }
    }

    #[test]
    fn a_token_round_trips_rounded_up_and_rejects_alterations(
        key in key_strategy(),
        watermark in watermark_strategy(),
        issued_at in 0..1i64 << 44,
        index in 0..60usize,
        bit in 0..8u8,
    ) {
        let text = Token { key, watermark, issued_at }.encode(9);
        let token = Token::decode(&text, 9).expect("a valid token");
        prop_assert_eq!(token.key, key);
        let less = Watermark { written: token.watermark.written - MS, read: token.watermark.read - MS };
        prop_assert!(token.watermark.covers(watermark) && watermark.covers(less));
        prop_assert!(token.issued_at <= issued_at);
        prop_assert_eq!(Token::decode(&text, 10).err(), Some(TokenError::InvalidChecksum));
        let mut bytes = text.clone().into_bytes();
        let index = index % bytes.len();
        bytes[index] ^= 1 << bit;
        let altered = String::from_utf8_lossy(&bytes).into_owned();
        prop_assert!(altered == text || Token::decode(&altered, 9).is_err());
    }

    #[test]
    fn garbage_is_rejected_as_token_and_broadcast(
        bytes in prop::collection::vec(any::<u8>(), 0..300),
        cut in 0..256usize,
    ) {
        prop_assert!(Token::decode(&String::from_utf8_lossy(&bytes), 9).is_err());
        prop_assert!(WatermarkBroadcast::decode(&bytes, 9).is_err());
        let complete = broadcast(
            vec![BroadcastEntry { name_hash: 7, watermark: Watermark { written: 990 * MS, read: 0 } }],
            1_000 * MS,
        )
        .encode(9);
        prop_assert!(WatermarkBroadcast::decode(&complete[..cut.min(complete.len() - 1)], 9).is_err());
        let mut altered = complete.clone();
        altered[cut % complete.len()] ^= 1 << (cut % 8);
        prop_assert!(WatermarkBroadcast::decode(&altered, 9).is_err());
    }

    #[test]
    fn a_broadcast_round_trips_with_watermarks_rounded_up(
        ages in prop::collection::vec((0..1u64 << 40, -900..200_000i64, 0..3_000i64), 0..=MAX_ENTRIES),
    ) {
        let until = 5_000_000 * MS;
        let entries: Vec<BroadcastEntry> = ages.iter()
            .map(|(name, written, read)| BroadcastEntry {
                name_hash: *name,
                watermark: Watermark { written: until - written * MS - 1, read: until - read * MS },
            })
            .collect();
        let sent = broadcast(entries.clone(), until);
        let bytes = sent.encode(9);
        prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        let received = WatermarkBroadcast::decode(&bytes, 9).expect("a valid broadcast");
        prop_assert_eq!((received.sender, received.from, received.until), (sender(1), sent.from, sent.until));
        for (sent, decoded) in entries.iter().zip(&received.entries) {
            prop_assert_eq!(sent.name_hash, decoded.name_hash);
            prop_assert!(decoded.watermark.covers(sent.watermark), "{:?} was decoded as {:?}", sent, decoded);
        }
    }

    #[test]
    fn watermarks_that_an_outbox_omits_are_bounded(
        recorded in prop::collection::vec((0..80u64, 0..200i64), 1..200),
    ) {
        let start = 1_000 * MS;
        let sender = BroadcastSender { instance: 0, group: GROUP, epoch: start };
        let mut outbox = Outbox::new(sender, SessionGuarantee::ReadYourWrites);
        let mut now = start;
        for (name, age) in &recorded {
            now += MS / 2;
            let watermark = Watermark { written: now - age * MS, read: 0 };
            outbox.push(now, BroadcastEntry { name_hash: *name, watermark });
        }
        let sent = outbox.next_broadcast(now + 2 * MS);
        prop_assert!(sent.until >= now && sent.from <= start);
        now = start;
        for (name, age) in &recorded {
            now += MS / 2;
            let watermark = now - age * MS;
            let entry = sent.entries.iter().find(|entry| entry.name_hash == *name);
            let sent_watermark = entry.map_or(0, |entry| entry.watermark.written);
            prop_assert!(
                watermark <= sent_watermark.max(sent.omitted_bound),
                "watermark {watermark} is neither sent nor bounded"
            );
        }
    }
}

#[test]
fn the_sketch_overestimates_at_the_predicted_rate() {
    let (width, higher) = (4096, 3_000);
    let mut sketch = MaxSketch::new(width, 11);
    for name in 0..higher {
        sketch.insert(SessionKey { group: GROUP, name_hash: name }, Watermark { written: 100, read: 0 });
    }
    let others = 20_000u64;
    let overestimated = (0..others)
        .filter(|n| sketch.upper_bound(SessionKey { group: GROUP, name_hash: 1_000_000 + n }).written > 0)
        .count();
    let (rate, predicted) = (overestimated as f64 / others as f64, overestimate_rate(higher as f64, width));
    assert!((rate - predicted).abs() < 0.02, "{rate} measured, {predicted} predicted");
}

#[test]
fn a_gap_is_awaited_then_closed_with_an_upper_bound() {
    let interval = |epoch, from, until| PeerInterval { epoch, from, until, omitted_bound: 0 };
    let mut range = KnownRange::default();
    range.record_interval(0, interval(10, 10, 20));
    assert_eq!(
        (range.known_until(), range.gap_end()),
        (20, 10),
        "everything before the first interval is unknown"
    );
    range.record_interval(1, interval(10, 30, 40));
    range.record_interval(1, interval(10, 30, 40));
    assert_eq!((range.known_until(), range.gap_end()), (20, 10), "the missing interval may still arrive");
    range.record_interval(2, interval(10, 18, 30));
    assert_eq!((range.known_until(), range.gap_end()), (40, 10), "the missing interval has arrived");
    range.record_interval(3, interval(10, 50, 60));
    range.expire_gaps(100, 50);
    assert_eq!((range.known_until(), range.gap_end()), (60, 50));
    range.record_interval(101, interval(10, 40, 50));
    assert_eq!((range.known_until(), range.gap_end()), (60, 50), "a late interval changes nothing");
    // The sender has restarted: watermarks that it had not sent before are lost.
    range.record_interval(102, interval(70, 70, 80));
    assert_eq!((range.known_until(), range.gap_end(), range.closed_gaps()), (80, 70, 3));
    range.record_interval(103, interval(10, 60, 200));
    assert_eq!(range.known_until(), 80, "intervals from before the restart are ignored");
}

#[test]
fn forged_and_foreign_tokens_are_rejected_or_affect_only_their_session() {
    let now = 9_000_000 * MS;
    let mut tracker = SessionTracker::new(settings(0, 0), now - 60_000 * MS).expect("valid");
    let (key, other) = (tracker.session_key(GROUP, "one"), tracker.session_key(GROUP, "two"));
    let encoded = |key, watermark, issued_at| Token { key, watermark, issued_at }.encode(99);
    let none = encoded(key, Watermark::NONE, now);
    assert_eq!(tracker.parse_token(now, &none, other).err(), Some(TokenError::WrongSession));
    assert_eq!(
        tracker.parse_token(now, &none, SessionKey { group: 3, ..key }).err(),
        Some(TokenError::WrongGroup)
    );
    assert_eq!(tracker.parse_token(now, "x", key).err(), Some(TokenError::Malformed));
    // The watermark of a token from the future is capped at the current time and counts as incomplete.
    let ahead = Watermark { written: now + 1_000_000 * MS, read: 0 };
    let ahead = tracker.parse_token(now, &encoded(key, ahead, now + 10 * MS), key).expect("valid");
    let minimum = tracker.begin_read(now, key, Some(&ahead));
    assert_eq!((minimum.position(), minimum.source), (now, PositionSource::Unknown));
    assert_eq!(
        tracker.begin_read(now, other, None).position(),
        now,
        "the minimum position of other sessions is unchanged"
    );
    // An expired token does not cover the later requests of its session.
    let old =
        tracker.parse_token(now, &encoded(other, Watermark::NONE, now - 31_000 * MS), other).expect("valid");
    assert_eq!(tracker.begin_read(now, other, Some(&old)).source, PositionSource::Unknown);
    let disabled = SessionTracker::new(Settings { tokens: false, ..settings(0, 0) }, now).expect("valid");
    assert_eq!(disabled.parse_token(now, &none, key).err(), Some(TokenError::Disabled));
    assert_eq!(disabled.issue_token(now, key), None);
}

#[test]
fn broadcasts_from_the_future_or_unknown_instances_are_rejected() {
    let now = 1_000 * MS;
    let mut tracker = SessionTracker::new(settings(3, 0), now).expect("valid");
    let datagram = |instance, until| {
        WatermarkBroadcast { sender: sender(instance), ..broadcast(Vec::new(), until) }.encode(99)
    };
    assert_eq!(tracker.receive(now, &datagram(1, now + MS)).err(), Some(BroadcastError::InvalidInterval));
    assert_eq!(tracker.receive(now, &datagram(0, now)).err(), Some(BroadcastError::UnknownInstance));
    assert_eq!(tracker.receive(now, &datagram(3, now)).err(), Some(BroadcastError::UnknownInstance));
    let mut next_version = datagram(1, now);
    next_version[0] = 2;
    assert_eq!(tracker.receive(now, &next_version).err(), Some(BroadcastError::UnsupportedVersion));
    assert!(tracker.receive(now, &datagram(1, now)).is_ok());
    assert_eq!((tracker.counts().broadcasts_received, tracker.counts().broadcasts_rejected), (1, 4));
}

#[test]
fn invalid_settings_are_rejected_with_the_reason() {
    let reason =
        |settings: Settings| settings.check().err().map(|cause| cause.to_string()).unwrap_or_default();
    assert!(reason(Settings { sketch_width: 1000, ..settings(0, 0) }).contains("power of two"));
    assert!(reason(Settings { exact_sessions: 0, ..settings(0, 0) }).contains("exact"));
    assert!(reason(settings(3, 3)).contains("instance number 3 is not below the number of instances, 3"));
    assert_eq!(reason(settings(3, 2)), "");
}

// A client with several requests in flight holds several tokens of a group, and all of them must be used.
#[test]
fn session_tokens_are_all_kept_or_all_rejected() {
    let text = |group, written| {
        Token {
            key: SessionKey { group, name_hash: 1 },
            watermark: Watermark { written, read: 0 },
            issued_at: MS,
        }
        .encode(9)
    };
    let (one, two, other) = (text(2, MS), text(2, 2 * MS), text(3, MS));
    let group_tokens =
        |tokens: &SessionTokens, group| tokens.for_group(group).map(str::to_string).collect::<Vec<_>>();
    let mut tokens = SessionTokens::default();
    assert_eq!(tokens.set(&format!("{one}+{two}+{other}"), 9), Ok(()));
    assert_eq!(group_tokens(&tokens, 2), [one.clone(), two.clone()]);
    assert_eq!(tokens.set(&two, 9), Ok(()));
    assert_eq!(
        (group_tokens(&tokens, 2), group_tokens(&tokens, 3)),
        (vec![two.clone()], vec![other]),
        "new tokens replace those of their group"
    );
    assert_eq!(tokens.set(&format!("{one}+x"), 9), Err(TokenError::Malformed));
    assert_eq!(group_tokens(&tokens, 2).len(), 1, "invalid tokens change nothing");
    let many: Vec<String> = (0..=MAX_TOKENS as u64).map(|group| text(group, MS)).collect();
    assert_eq!(tokens.set(&many.join("+"), 9), Err(TokenError::TooMany));
    assert_eq!(group_tokens(&tokens, 2), [two]);
    tokens.clear();
    assert!(group_tokens(&tokens, 2).is_empty());
}

// Regression test: with hosts that report no positions, no answer to a read of a session was accepted, so
// that no such read was served.
#[test]
fn without_reported_positions_an_answer_proves_what_its_host_enforces_or_a_primary_implies() {
    let with_positions = Settings { roams: false, tokens: false, ..Default::default() };
    let verdicts = |settings: Settings, position| {
        let mut tracker = SessionTracker::new(settings, 0).expect("valid");
        let (key, now) = (tracker.session_key(GROUP, "member-1"), 9_000 * MS);
        tracker.record_write(now, key, now - MS, Some(now - MS));
        let minimum = tracker.begin_read(now, key, None);
        let roles = [Some(Role::Primary), Some(Role::Replica), None];
        roles.map(|role| {
            tracker.verify_answer(&minimum, &AnswerEvidence { position, position_at_send: None, role })
                == Verdict::Proven
        })
    };
    let without_positions = Settings { hosts_report_positions: false, ..with_positions.clone() };
    assert_eq!(verdicts(without_positions.clone(), None), [true, false, false]);
    assert_eq!(
        verdicts(Settings { hosts_enforce_positions: true, ..without_positions.clone() }, None),
        [true; 3]
    );
    // A reported position is always checked. Where hosts report positions, an answer without one proves
    // nothing.
    assert_eq!(verdicts(without_positions, Some(8_000 * MS)), [false; 3]);
    assert_eq!(verdicts(Settings { hosts_enforce_positions: true, ..with_positions }, None), [false; 3]);
}

#[test]
fn a_session_without_writes_accepts_any_answer() {
    let settings =
        Settings { roams: false, tokens: false, hosts_report_positions: false, ..Default::default() };
    let mut tracker = SessionTracker::new(settings, 0).expect("valid");
    let key = tracker.session_key(GROUP, "member-1");
    let minimum = tracker.begin_read(9_000 * MS, key, None);
    let replica = AnswerEvidence { role: Some(Role::Replica), ..AnswerEvidence::default() };
    assert_eq!(tracker.verify_answer(&minimum, &replica), Verdict::Proven);
    // A write in flight may have been committed although its answer was lost.
    let minimum = minimum.with_pending_write(8_900 * MS);
    assert_eq!((minimum.position(), minimum.with_pending_write(1).position()), (8_900 * MS, 8_900 * MS));
    assert_eq!(tracker.verify_answer(&minimum, &replica), Verdict::Unproven);
}
