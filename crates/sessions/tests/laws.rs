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

fn a_mark() -> impl Strategy<Value = Mark> {
    (0..1i64 << 44, 0..1i64 << 44).prop_map(|(wrote, read)| Mark { wrote, read })
}

fn a_key() -> impl Strategy<Value = Key> {
    (0..4u64, 0..300u64).prop_map(|(group, name)| Key { group, name })
}

fn bulletin(lines: Vec<(u64, Mark)>, until: Time) -> Bulletin {
    Bulletin { instance: 1, group: G, epoch: MS, from: until - 20 * MS, until, base: 0, lines }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn merging_is_commutative_associative_idempotent_and_never_lowers(a in a_mark(), b in a_mark(), c in a_mark()) {
        prop_assert_eq!(a.join(b), b.join(a));
        prop_assert_eq!(a.join(b).join(c), a.join(b.join(c)));
        prop_assert_eq!(a.join(a), a);
        prop_assert!(a.join(b).covers(a) && a.join(b).covers(b));
        prop_assert_eq!(a.join(Mark::NONE), a);
    }

    #[test]
    fn memory_never_errs_downward_and_keeps_its_bound(puts in prop::collection::vec((a_key(), a_mark()), 1..400)) {
        let mut memory = Memory::new(32, 64, 5);
        let mut truth = std::collections::BTreeMap::<Key, Mark>::new();
        for (key, mark) in &puts {
            memory.join(*key, *mark, 0);
            let known = truth.entry(*key).or_default();
            *known = known.join(*mark);
            prop_assert!(memory.len() <= 32);
        }
        for (key, mark) in truth {
            prop_assert!(memory.get(key).mark.covers(mark));
        }
    }

    #[test]
    fn a_token_comes_back_rounded_up_and_only_as_it_was(key in a_key(), mark in a_mark(), issued in 0..1i64 << 44, at in 0..60usize, bit in 0..8u8) {
        let text = Token { key, mark, issued }.write(9);
        let token = Token::read(&text, 9).expect("its own token");
        prop_assert_eq!(token.key, key);
        let less = Mark { wrote: token.mark.wrote - MS, read: token.mark.read - MS };
        prop_assert!(token.mark.covers(mark) && mark.covers(less));
        prop_assert!(token.issued <= issued);
        prop_assert_eq!(Token::read(&text, 10).err(), Some(TokenError::Check));
        let mut bytes = text.clone().into_bytes();
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        let altered = String::from_utf8_lossy(&bytes).into_owned();
        prop_assert!(altered == text || Token::read(&altered, 9).is_err());
    }

    #[test]
    fn garbage_is_no_token_and_no_bulletin(bytes in prop::collection::vec(any::<u8>(), 0..300), cut in 0..256usize) {
        prop_assert!(Token::read(&String::from_utf8_lossy(&bytes), 9).is_err());
        prop_assert!(Bulletin::read(&bytes, 9).is_err());
        let whole = bulletin(vec![(7, Mark { wrote: 990 * MS, read: 0 })], 1_000 * MS).write(9);
        prop_assert!(Bulletin::read(&whole[..cut.min(whole.len() - 1)], 9).is_err());
        let mut altered = whole.clone();
        altered[cut % whole.len()] ^= 1 << (cut % 8);
        prop_assert!(Bulletin::read(&altered, 9).is_err());
    }

    #[test]
    fn a_bulletin_comes_back_with_its_marks_rounded_up(
        ages in prop::collection::vec((0..1u64 << 40, -900..200_000i64, 0..3_000i64), 0..=MOST_LINES),
    ) {
        let until = 5_000_000 * MS;
        let lines: Vec<(u64, Mark)> = ages.iter()
            .map(|(name, wrote, read)| (*name, Mark { wrote: until - wrote * MS - 1, read: until - read * MS }))
            .collect();
        let told = bulletin(lines.clone(), until);
        let bytes = told.write(9);
        prop_assert!(bytes.len() <= MOST_BYTES);
        let heard = Bulletin::read(&bytes, 9).expect("its own bulletin");
        prop_assert_eq!((heard.instance, heard.group, heard.from, heard.until), (1, G, told.from, told.until));
        for ((name, mark), (other, back)) in lines.iter().zip(&heard.lines) {
            prop_assert_eq!(name, other);
            prop_assert!(back.covers(*mark), "{:?} came back as {:?}", mark, back);
        }
    }

    #[test]
    fn what_an_outbox_leaves_out_is_bounded_by_its_base(made in prop::collection::vec((0..80u64, 0..200i64), 1..200)) {
        let (mut outbox, start) = (Outbox::new(G, 1_000 * MS), 1_000 * MS);
        let mut now = start;
        for (name, age) in &made {
            now += MS / 2;
            outbox.push(now, *name, Mark { wrote: now - age * MS, read: 0 }, Promise::Writes);
        }
        let told = outbox.tell(now + 2 * MS, 0, start, Promise::Writes);
        prop_assert!(told.until >= now && told.from <= start);
        now = start;
        for (name, age) in &made {
            now += MS / 2;
            let mark = now - age * MS;
            let line = told.lines.iter().find(|(other, _)| other == name).map_or(0, |(_, mark)| mark.wrote);
            prop_assert!(mark <= line.max(told.base), "{mark} is neither told nor bounded");
        }
    }
}

#[test]
fn the_summary_errs_as_reckoned() {
    let (width, higher) = (4096, 3_000);
    let mut sketch = Sketch::new(width, 11);
    for name in 0..higher {
        sketch.put(Key { group: G, name }, Mark { wrote: 100, read: 0 });
    }
    let others = 20_000u64;
    let wrong = (0..others).filter(|n| sketch.bound(Key { group: G, name: 1_000_000 + n }).wrote > 0).count();
    let (share, reckoned) = (wrong as f64 / others as f64, false_share(higher as f64, width));
    assert!((share - reckoned).abs() < 0.02, "{share} measured, {reckoned} reckoned");
}

#[test]
fn a_gap_is_waited_for_then_closed_by_a_blanket() {
    let mut coverage = Coverage::default();
    coverage.hear(0, 10, 10, 20, 0);
    assert_eq!((coverage.until(), coverage.blanket()), (20, 10), "what was before the first one is unknown");
    coverage.hear(1, 10, 30, 40, 0);
    coverage.hear(1, 10, 30, 40, 0);
    assert_eq!((coverage.until(), coverage.blanket()), (20, 10), "the one between may yet come");
    coverage.hear(2, 10, 18, 30, 0);
    assert_eq!((coverage.until(), coverage.blanket()), (40, 10), "it came");
    coverage.hear(3, 10, 50, 60, 0);
    coverage.expire(100, 50);
    assert_eq!((coverage.until(), coverage.blanket()), (60, 50));
    coverage.hear(101, 10, 40, 50, 0);
    assert_eq!((coverage.until(), coverage.blanket()), (60, 50), "too late: nothing is taken back");
    // A new run: what the old one made last is lost at once.
    coverage.hear(102, 70, 70, 80, 0);
    assert_eq!((coverage.until(), coverage.blanket(), coverage.holes()), (80, 70, 3));
    coverage.hear(103, 10, 60, 200, 0);
    assert_eq!(coverage.until(), 80, "the old run has nothing more to say");
}

#[test]
fn forged_and_foreign_tokens_are_named_or_hurt_only_themselves() {
    let now = 9_000_000 * MS;
    let mut keeper = Keeper::new(settings(0, 0), now - 60_000 * MS).expect("sound");
    let (key, other) = (keeper.key(G, "one"), keeper.key(G, "two"));
    let write = |key, mark, issued| Token { key, mark, issued }.write(99);
    let none = write(key, Mark::NONE, now);
    assert_eq!(keeper.take_token(now, &none, other).err(), Some(TokenError::Session));
    assert_eq!(keeper.take_token(now, &none, Key { group: 3, ..key }).err(), Some(TokenError::Group));
    assert_eq!(keeper.take_token(now, "x", key).err(), Some(TokenError::Shape));
    // Far ahead of the clock: held down to it, and never taken to be complete.
    let ahead = Mark { wrote: now + 1_000_000 * MS, read: 0 };
    let ahead = keeper.take_token(now, &write(key, ahead, now + 10 * MS), key).expect("sound");
    let floor = keeper.ask(now, key, Some(&ahead));
    assert_eq!((floor.need(), floor.source), (now, Source::Open));
    assert_eq!(keeper.ask(now, other, None).need(), now, "no other session is asked for more than before");
    // Too old to stand for all that the session did since.
    let old = keeper.take_token(now, &write(other, Mark::NONE, now - 31_000 * MS), other).expect("sound");
    assert_eq!(keeper.ask(now, other, Some(&old)).source, Source::Open);
    let off = Keeper::new(Settings { tokens: false, ..settings(0, 0) }, now).expect("sound");
    assert_eq!(off.take_token(now, &none, key).err(), Some(TokenError::Off));
    assert_eq!(off.token(now, key), None);
}

#[test]
fn bulletins_from_the_future_or_from_nowhere_are_turned_away() {
    let now = 1_000 * MS;
    let mut keeper = Keeper::new(settings(3, 0), now).expect("sound");
    let say = |instance, until| Bulletin { instance, ..bulletin(Vec::new(), until) }.write(99);
    assert_eq!(keeper.receive(now, &say(1, now + MS)).err(), Some(BulletinError::Interval));
    assert_eq!(keeper.receive(now, &say(0, now)).err(), Some(BulletinError::Instance));
    assert_eq!(keeper.receive(now, &say(3, now)).err(), Some(BulletinError::Instance));
    let mut later = say(1, now);
    later[0] = 2;
    assert_eq!(keeper.receive(now, &later).err(), Some(BulletinError::Version));
    assert!(keeper.receive(now, &say(1, now)).is_ok());
    assert_eq!((keeper.counts().heard, keeper.counts().bad_bulletins), (1, 4));
}

#[test]
fn settings_that_make_no_sense_are_named() {
    let bad = |settings: Settings| settings.check().err().map(|cause| cause.to_string()).unwrap_or_default();
    assert!(bad(Settings { cells: 1000, ..settings(0, 0) }).contains("power of two"));
    assert!(bad(Settings { exact: 0, ..settings(0, 0) }).contains("exact"));
    assert!(bad(settings(3, 3)).contains("instance 3 is none of 3"));
    assert_eq!(bad(settings(3, 2)), "");
}

// Several tokens of a group set at once all count: a client with several requests open holds several.
#[test]
fn a_wallet_keeps_all_that_was_set_or_says_so() {
    let text = |group, wrote| {
        Token { key: Key { group, name: 1 }, mark: Mark { wrote, read: 0 }, issued: MS }.write(9)
    };
    let (one, two, other) = (text(2, MS), text(2, 2 * MS), text(3, MS));
    let held = |wallet: &SessionTokens, group| wallet.of(group).map(str::to_string).collect::<Vec<_>>();
    let mut wallet = SessionTokens::default();
    assert_eq!(wallet.set(&format!("{one}+{two}+{other}"), 9), Ok(()));
    assert_eq!(held(&wallet, 2), [one.clone(), two.clone()]);
    assert_eq!(wallet.set(&two, 9), Ok(()));
    assert_eq!(
        (held(&wallet, 2), held(&wallet, 3)),
        (vec![two.clone()], vec![other]),
        "what is set replaces its group's"
    );
    assert_eq!(wallet.set(&format!("{one}+x"), 9), Err(TokenError::Shape));
    assert_eq!(held(&wallet, 2).len(), 1, "what cannot be used changes nothing");
    let many: Vec<String> = (0..=MOST_SET as u64).map(|group| text(group, MS)).collect();
    assert_eq!(wallet.set(&many.join("+"), 9), Err(TokenError::TooMany));
    assert_eq!(held(&wallet, 2), [two]);
    wallet.clear();
    assert!(held(&wallet, 2).is_empty());
}

// A customer whose hosts tell no positions: every answer to a session's read was held for one that proves nothing, and no
// such read was ever served.
#[test]
fn where_no_positions_are_told_an_answer_proves_what_its_host_looks_at_or_a_primary_stands_for() {
    let told = Settings { roams: false, tokens: false, ..Default::default() };
    let verdicts = |settings: Settings, position| {
        let mut keeper = Keeper::new(settings, 0).expect("sound");
        let (key, now) = (keeper.key(G, "member-1"), 9_000 * MS);
        keeper.wrote(now, key, now - MS, Some(now - MS));
        let floor = keeper.ask(now, key, None);
        let roles = [Some(Role::Primary), Some(Role::Replica), None];
        roles.map(|role| keeper.judge(&floor, position, None, role) == Verdict::Proven)
    };
    let silent = Settings { positions: false, ..told.clone() };
    assert_eq!(verdicts(silent.clone(), None), [true, false, false]);
    assert_eq!(verdicts(Settings { checks: true, ..silent.clone() }, None), [true; 3]);
    // What is told counts, and where positions are told an answer without one proves nothing.
    assert_eq!(verdicts(silent, Some(8_000 * MS)), [false; 3]);
    assert_eq!(verdicts(Settings { checks: true, ..told }, None), [false; 3]);
}

#[test]
fn a_session_that_has_written_nothing_is_answered_by_whoever_answers() {
    let settings = Settings { roams: false, tokens: false, positions: false, ..Default::default() };
    let mut keeper = Keeper::new(settings, 0).expect("sound");
    let key = keeper.key(G, "member-1");
    let floor = keeper.ask(9_000 * MS, key, None);
    assert_eq!(keeper.judge(&floor, None, None, Some(Role::Replica)), Verdict::Proven);
    // A write that is under way may have been answered, and the answer been lost.
    let floor = floor.with_write(8_900 * MS);
    assert_eq!((floor.need(), floor.with_write(1).need()), (8_900 * MS, 8_900 * MS));
    assert_eq!(keeper.judge(&floor, None, None, Some(Role::Replica)), Verdict::Behind);
}
