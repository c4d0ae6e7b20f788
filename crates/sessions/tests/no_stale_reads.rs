//! No loss, restart or clock error leads to a stale read; and the oracle that checks it detects injected
//! faults.

mod common;
use common::*;
use petrelgauge_sessions::*;
use proptest::prelude::*;

fn scenario(settings: Settings, tokens: bool) -> Scenario {
    let instances = if settings.instances > 0 { settings.instances } else { 3 };
    Scenario {
        settings,
        instances,
        loss: 0.3,
        restarts: 0.01,
        tokens,
        steps: 1_500,
        fault: InjectedFault::Nothing,
    }
}

/// Without tokens and with one clock, sessions that stay with one instance: the weakest knowledge of
/// restarts.
fn pinned() -> Scenario {
    scenario(Settings { roams: false, tokens: false, ..settings(0, 0) }, false)
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
    fn no_stale_answer_passes_under_any_loss(
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
        let findings = run(&Scenario { loss, restarts, ..scenario(set, tokens) }, u64::from(seed));
        prop_assert_eq!((findings.stale, findings.blocked, findings.deposed), (0, 0, 0), "{:?}", findings);
        prop_assert!(findings.reads > 500);
    }
}

#[test]
fn replicas_serve_where_something_is_known() {
    for scenario in [
        pinned(),
        scenario(settings(0, 0), true),
        scenario(Settings { tokens: false, ..settings(3, 0) }, false),
    ] {
        let findings = run(&Scenario { loss: 0.0, restarts: 0.0, ..scenario }, 5);
        assert_eq!(findings.stale, 0);
        assert!(findings.by_replicas * 4 > findings.reads, "{findings:?}");
    }
}

#[test]
fn injected_faults_are_detected() {
    let carried = scenario(settings(0, 0), true);
    let exchanged = scenario(Settings { tokens: false, ..settings(3, 0) }, false);
    let cases = [
        (InjectedFault::WatermarkLossForgotten, pinned()),
        (InjectedFault::AgeForgotten, pinned()),
        (InjectedFault::MergeTakesNewer, pinned()),
        (InjectedFault::TokenUnverified, carried),
        (InjectedFault::GapIgnored, Scenario { loss: 0.8, ..exchanged }),
    ];
    for (place, (fault, scenario)) in cases.into_iter().enumerate() {
        let sound = (1..20).map(|seed| run(&scenario, seed).stale).sum::<usize>();
        let findings =
            (1..20).map(|seed| run(&Scenario { fault, ..scenario.clone() }, seed).stale).sum::<usize>();
        assert_eq!(sound, 0, "case {place} without a fault");
        assert!(findings > 0, "the fault of case {place} is not detected");
    }
}
