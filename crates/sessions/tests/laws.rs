//! The laws of the merge, the bounds of the summary, and what cannot be read.

mod common;
use common::*;
use petrelgauge_policy::{Role, Time};
use petrelgauge_sessions::*;
use proptest::prelude::*;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(3),
        ..Default::default()
    }
}

fn a_watermark() -> impl Strategy<Value = Watermark> {
    (0..1i64 << 44, 0..1i64 << 44).prop_map(|(wrote, read)| Watermark { written: wrote, read })
}

fn a_key() -> impl Strategy<Value = SessionKey> {
    (0..4u64, 0..300u64).prop_map(|(group, name)| SessionKey { group, name_hash: name })
}

fn sender(instance: u16) -> BroadcastSender {
    BroadcastSender { instance, group: G, epoch: MS }
}

fn broadcast(entries: Vec<BroadcastEntry>, until: Time) -> WatermarkBroadcast {
    WatermarkBroadcast { sender: sender(1), from: until - 20 * MS, until, omitted_bound: 0, entries }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn merging_is_commutative_associative_idempotent_and_never_lowers(a in a_watermark(), b in a_watermark(), c in a_watermark()) {
        prop_assert_eq!(a.join(b), b.join(a));
        prop_assert_eq!(a.join(b).join(c), a.join(b.join(c)));
        prop_assert_eq!(a.join(a), a);
        prop_assert!(a.join(b).covers(a) && a.join(b).covers(b));
        prop_assert_eq!(a.join(Watermark::NONE), a);
    }

    #[test]
    fn memory_never_errs_downward_and_keeps_its_bound(puts in prop::collection::vec((a_key(), a_watermark()), 1..400)) {
        let mut memory = SessionMemory::new(32, 64, 5);
        let mut truth = std::collections::BTreeMap::<SessionKey, Watermark>::new();
        for (key, watermark) in &puts {
            memory.join(*key, *watermark, 0);
            let known = truth.entry(*key).or_default();
            *known = known.join(*watermark);
            prop_assert!(memory.len() <= 32);
        }
        for (key, watermark) in truth {
            prop_assert!(memory.get(key).watermark.covers(watermark));
        }
    }

    #[test]
    fn a_token_round_trips_rounded_up_and_rejects_alterations(key in a_key(), watermark in a_watermark(), issued_at in 0..1i64 << 44, at in 0..60usize, bit in 0..8u8) {
        let text = Token { key, watermark, issued_at }.encode(9);
        let token = Token::decode(&text, 9).expect("its own token");
        prop_assert_eq!(token.key, key);
        let less = Watermark { written: token.watermark.written - MS, read: token.watermark.read - MS };
        prop_assert!(token.watermark.covers(watermark) && watermark.covers(less));
        prop_assert!(token.issued_at <= issued_at);
        prop_assert_eq!(Token::decode(&text, 10).err(), Some(TokenError::InvalidChecksum));
        let mut bytes = text.clone().into_bytes();
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        let altered = String::from_utf8_lossy(&bytes).into_owned();
        prop_assert!(altered == text || Token::decode(&altered, 9).is_err());
    }

    #[test]
    fn garbage_is_rejected_as_token_and_broadcast(bytes in prop::collection::vec(any::<u8>(), 0..300), cut in 0..256usize) {
        prop_assert!(Token::decode(&String::from_utf8_lossy(&bytes), 9).is_err());
        prop_assert!(WatermarkBroadcast::decode(&bytes, 9).is_err());
        let complete = broadcast(vec![BroadcastEntry { name_hash: 7, watermark: Watermark { written: 990 * MS, read: 0 } }], 1_000 * MS).encode(9);
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
            .map(|(name, wrote, read)| BroadcastEntry { name_hash: *name, watermark: Watermark { written: until - wrote * MS - 1, read: until - read * MS } })
            .collect();
        let sent = broadcast(entries.clone(), until);
        let bytes = sent.encode(9);
        prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        let received = WatermarkBroadcast::decode(&bytes, 9).expect("its own broadcast");
        prop_assert_eq!((received.sender, received.from, received.until), (sender(1), sent.from, sent.until));
        for (sent, back) in entries.iter().zip(&received.entries) {
            prop_assert_eq!(sent.name_hash, back.name_hash);
            prop_assert!(back.watermark.covers(sent.watermark), "{:?} came back as {:?}", sent, back);
        }
    }

    #[test]
    fn what_an_outbox_omits_is_bounded(made in prop::collection::vec((0..80u64, 0..200i64), 1..200)) {
        let start = 1_000 * MS;
        let sender = BroadcastSender { instance: 0, group: G, epoch: start };
        let mut outbox = Outbox::new(sender, Promise::Writes);
        let mut now = start;
        for (name, age) in &made {
            now += MS / 2;
            let watermark = Watermark { written: now - age * MS, read: 0 };
            outbox.push(now, BroadcastEntry { name_hash: *name, watermark });
        }
        let sent = outbox.next_broadcast(now + 2 * MS);
        prop_assert!(sent.until >= now && sent.from <= start);
        now = start;
        for (name, age) in &made {
            now += MS / 2;
            let watermark = now - age * MS;
            let entry = sent.entries.iter().find(|entry| entry.name_hash == *name);
            let line = entry.map_or(0, |entry| entry.watermark.written);
            prop_assert!(watermark <= line.max(sent.omitted_bound), "{watermark} is neither sent nor bounded");
        }
    }
}

#[test]
fn the_sketch_overestimates_at_the_predicted_rate() {
    let (width, higher) = (4096, 3_000);
    let mut sketch = MaxSketch::new(width, 11);
    for name in 0..higher {
        sketch.insert(SessionKey { group: G, name_hash: name }, Watermark { written: 100, read: 0 });
    }
    let others = 20_000u64;
    let wrong = (0..others)
        .filter(|n| sketch.upper_bound(SessionKey { group: G, name_hash: 1_000_000 + n }).written > 0)
        .count();
    let (share, predicted) = (wrong as f64 / others as f64, overestimate_rate(higher as f64, width));
    assert!((share - predicted).abs() < 0.02, "{share} measured, {predicted} predicted");
}

#[test]
fn a_gap_is_awaited_then_closed_with_an_upper_bound() {
    let interval = |epoch, from, until| PeerInterval { epoch, from, until, omitted_bound: 0 };
    let mut range = KnownRange::default();
    range.record_interval(0, interval(10, 10, 20));
    assert_eq!((range.known_until(), range.gap_end()), (20, 10), "what was before the first one is unknown");
    range.record_interval(1, interval(10, 30, 40));
    range.record_interval(1, interval(10, 30, 40));
    assert_eq!((range.known_until(), range.gap_end()), (20, 10), "the one between may yet come");
    range.record_interval(2, interval(10, 18, 30));
    assert_eq!((range.known_until(), range.gap_end()), (40, 10), "it came");
    range.record_interval(3, interval(10, 50, 60));
    range.expire_gaps(100, 50);
    assert_eq!((range.known_until(), range.gap_end()), (60, 50));
    range.record_interval(101, interval(10, 40, 50));
    assert_eq!((range.known_until(), range.gap_end()), (60, 50), "too late: nothing is taken back");
    // A new run: what the old one made last is lost at once.
    range.record_interval(102, interval(70, 70, 80));
    assert_eq!((range.known_until(), range.gap_end(), range.gaps()), (80, 70, 3));
    range.record_interval(103, interval(10, 60, 200));
    assert_eq!(range.known_until(), 80, "the old run has nothing more to say");
}

#[test]
fn forged_and_foreign_tokens_are_rejected_or_affect_only_their_session() {
    let now = 9_000_000 * MS;
    let mut tracker = SessionTracker::new(settings(0, 0), now - 60_000 * MS).expect("sound");
    let (key, other) = (tracker.session_key(G, "one"), tracker.session_key(G, "two"));
    let write = |key, watermark, issued_at| Token { key, watermark, issued_at }.encode(99);
    let none = write(key, Watermark::NONE, now);
    assert_eq!(tracker.parse_token(now, &none, other).err(), Some(TokenError::WrongSession));
    assert_eq!(
        tracker.parse_token(now, &none, SessionKey { group: 3, ..key }).err(),
        Some(TokenError::WrongGroup)
    );
    assert_eq!(tracker.parse_token(now, "x", key).err(), Some(TokenError::Malformed));
    // Far ahead of the clock: held down to it, and never taken to be complete.
    let ahead = Watermark { written: now + 1_000_000 * MS, read: 0 };
    let ahead = tracker.parse_token(now, &write(key, ahead, now + 10 * MS), key).expect("sound");
    let minimum = tracker.begin_read(now, key, Some(&ahead));
    assert_eq!((minimum.position(), minimum.source), (now, PositionSource::Unknown));
    assert_eq!(
        tracker.begin_read(now, other, None).position(),
        now,
        "no other session is asked for more than before"
    );
    // Too old to stand for all that the session did since.
    let old =
        tracker.parse_token(now, &write(other, Watermark::NONE, now - 31_000 * MS), other).expect("sound");
    assert_eq!(tracker.begin_read(now, other, Some(&old)).source, PositionSource::Unknown);
    let off = SessionTracker::new(Settings { tokens: false, ..settings(0, 0) }, now).expect("sound");
    assert_eq!(off.parse_token(now, &none, key).err(), Some(TokenError::Disabled));
    assert_eq!(off.issue_token(now, key), None);
}

#[test]
fn broadcasts_from_the_future_or_unknown_instances_are_rejected() {
    let now = 1_000 * MS;
    let mut tracker = SessionTracker::new(settings(3, 0), now).expect("sound");
    let say = |instance, until| {
        WatermarkBroadcast { sender: sender(instance), ..broadcast(Vec::new(), until) }.encode(99)
    };
    assert_eq!(tracker.receive(now, &say(1, now + MS)).err(), Some(BroadcastError::InvalidInterval));
    assert_eq!(tracker.receive(now, &say(0, now)).err(), Some(BroadcastError::UnknownInstance));
    assert_eq!(tracker.receive(now, &say(3, now)).err(), Some(BroadcastError::UnknownInstance));
    let mut later = say(1, now);
    later[0] = 2;
    assert_eq!(tracker.receive(now, &later).err(), Some(BroadcastError::UnsupportedVersion));
    assert!(tracker.receive(now, &say(1, now)).is_ok());
    assert_eq!((tracker.counts().received, tracker.counts().rejected), (1, 4));
}

#[test]
fn invalid_settings_are_rejected_with_the_reason() {
    let bad = |settings: Settings| settings.check().err().map(|cause| cause.to_string()).unwrap_or_default();
    assert!(bad(Settings { sketch_width: 1000, ..settings(0, 0) }).contains("power of two"));
    assert!(bad(Settings { exact_sessions: 0, ..settings(0, 0) }).contains("exact"));
    assert!(bad(settings(3, 3)).contains("instance 3 is none of 3"));
    assert_eq!(bad(settings(3, 2)), "");
}

// Several tokens of a group set at once all count: a client with several requests open holds several.
#[test]
fn session_tokens_keep_all_that_was_set_or_reject_it() {
    let text = |group, wrote| {
        Token {
            key: SessionKey { group, name_hash: 1 },
            watermark: Watermark { written: wrote, read: 0 },
            issued_at: MS,
        }
        .encode(9)
    };
    let (one, two, other) = (text(2, MS), text(2, 2 * MS), text(3, MS));
    let held =
        |tokens: &SessionTokens, group| tokens.for_group(group).map(str::to_string).collect::<Vec<_>>();
    let mut tokens = SessionTokens::default();
    assert_eq!(tokens.set(&format!("{one}+{two}+{other}"), 9), Ok(()));
    assert_eq!(held(&tokens, 2), [one.clone(), two.clone()]);
    assert_eq!(tokens.set(&two, 9), Ok(()));
    assert_eq!(
        (held(&tokens, 2), held(&tokens, 3)),
        (vec![two.clone()], vec![other]),
        "what is set replaces its group's"
    );
    assert_eq!(tokens.set(&format!("{one}+x"), 9), Err(TokenError::Malformed));
    assert_eq!(held(&tokens, 2).len(), 1, "what cannot be used changes nothing");
    let many: Vec<String> = (0..=MAX_TOKENS as u64).map(|group| text(group, MS)).collect();
    assert_eq!(tokens.set(&many.join("+"), 9), Err(TokenError::TooMany));
    assert_eq!(held(&tokens, 2), [two]);
    tokens.clear();
    assert!(held(&tokens, 2).is_empty());
}

// A customer whose hosts report no positions: every answer to a session's read was held for one that proves
// nothing, and no such read was ever served.
#[test]
fn without_reported_positions_an_answer_proves_what_its_host_enforces_or_a_primary_implies() {
    let reporting = Settings { roams: false, tokens: false, ..Default::default() };
    let verdicts = |settings: Settings, position| {
        let mut tracker = SessionTracker::new(settings, 0).expect("sound");
        let (key, now) = (tracker.session_key(G, "member-1"), 9_000 * MS);
        tracker.record_write(now, key, now - MS, Some(now - MS));
        let minimum = tracker.begin_read(now, key, None);
        let roles = [Some(Role::Primary), Some(Role::Replica), None];
        roles.map(|role| {
            tracker.verify_answer(&minimum, &AnswerEvidence { position, position_at_send: None, role })
                == Verdict::Proven
        })
    };
    let silent = Settings { hosts_report_positions: false, ..reporting.clone() };
    assert_eq!(verdicts(silent.clone(), None), [true, false, false]);
    assert_eq!(verdicts(Settings { hosts_enforce_positions: true, ..silent.clone() }, None), [true; 3]);
    // What is reported counts, and where positions are reported an answer without one proves nothing.
    assert_eq!(verdicts(silent, Some(8_000 * MS)), [false; 3]);
    assert_eq!(verdicts(Settings { hosts_enforce_positions: true, ..reporting }, None), [false; 3]);
}

#[test]
fn a_session_without_writes_accepts_any_answer() {
    let settings =
        Settings { roams: false, tokens: false, hosts_report_positions: false, ..Default::default() };
    let mut tracker = SessionTracker::new(settings, 0).expect("sound");
    let key = tracker.session_key(G, "member-1");
    let minimum = tracker.begin_read(9_000 * MS, key, None);
    let replica = AnswerEvidence { role: Some(Role::Replica), ..AnswerEvidence::default() };
    assert_eq!(tracker.verify_answer(&minimum, &replica), Verdict::Proven);
    // A write that is under way may have been answered, and the answer been lost.
    let minimum = minimum.with_pending_write(8_900 * MS);
    assert_eq!((minimum.position(), minimum.with_pending_write(1).position()), (8_900 * MS, 8_900 * MS));
    assert_eq!(tracker.verify_answer(&minimum, &replica), Verdict::Unproven);
}
