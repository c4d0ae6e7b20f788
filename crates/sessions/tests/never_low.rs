//! No stale read follows from any loss, restart or clock; and the oracle that says so sees planted faults.

mod common;
use common::*;
use petrelgauge_sessions::*;
use proptest::prelude::*;

fn play(settings: Settings, tokens: bool) -> Play {
    let instances = if settings.instances > 0 { settings.instances } else { 3 };
    Play { settings, instances, loss: 0.3, restarts: 0.01, tokens, steps: 1_500, plant: Plant::Nothing }
}

/// Without tokens and with one clock, sessions that stay with one instance: the weakest knowledge of restarts.
fn pinned() -> Play {
    play(Settings { roams: false, tokens: false, ..settings(0, 0) }, false)
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 24,
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(7),
        ..Default::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn nothing_stale_passes_whatever_is_lost(
        seed in any::<u32>(),
        loss in 0.0..0.9f64,
        restarts in 0.0..0.05f64,
        error in prop::sample::select(vec![0, 10 * MS, 50 * MS]),
        instances in 0..5u16,
        (roams, tokens, both) in any::<(bool, bool, bool)>(),
    ) {
        let promise = if both { Promise::WritesAndReads } else { Promise::Writes };
        let instances = if instances == 1 { 0 } else { instances };
        let set = Settings { clock_error: error, roams, tokens, promise, ..settings(instances, 0) };
        let found = run(&Play { loss, restarts, ..play(set, tokens) }, u64::from(seed));
        prop_assert_eq!((found.stale, found.blocked, found.deposed), (0, 0, 0), "{:?}", found);
        prop_assert!(found.reads > 500);
    }
}

#[test]
fn replicas_serve_where_something_is_known() {
    for play in
        [pinned(), play(settings(0, 0), true), play(Settings { tokens: false, ..settings(3, 0) }, false)]
    {
        let found = run(&Play { loss: 0.0, restarts: 0.0, ..play }, 5);
        assert_eq!(found.stale, 0);
        assert!(found.by_replicas * 4 > found.reads, "{found:?}");
    }
}

#[test]
fn planted_faults_are_seen() {
    let carried = play(settings(0, 0), true);
    let exchanged = play(Settings { tokens: false, ..settings(3, 0) }, false);
    let cases = [
        (Plant::FloorForgotten, pinned()),
        (Plant::AgeForgotten, pinned()),
        (Plant::MergeLowers, pinned()),
        (Plant::TokenUnverified, carried),
        (Plant::GapIgnored, Play { loss: 0.8, ..exchanged }),
    ];
    for (place, (plant, play)) in cases.into_iter().enumerate() {
        let sound = (1..20).map(|seed| run(&play, seed).stale).sum::<usize>();
        let found = (1..20).map(|seed| run(&Play { plant, ..play.clone() }, seed).stale).sum::<usize>();
        assert_eq!(sound, 0, "case {place} without a fault");
        assert!(found > 0, "the fault of case {place} goes unseen");
    }
}
