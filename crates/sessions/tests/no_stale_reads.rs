//! Checks that lost datagrams, restarts and clock errors never lead to a stale read, and that the oracle
//! detects injected faults.

mod common;
use common::*;
use petrelgauge_sessions::*;
use proptest::prelude::*;

fn scenario(settings: Settings, tokens: bool) -> Scenario {
    let instances = if settings.instances > 0 { settings.instances } else { 3 };
    Scenario {
        settings,
        instances,
        loss_probability: 0.3,
        restart_probability: 0.01,
        tokens,
        steps: 1_500,
        fault: InjectedFault::None,
    }
}

/// Sessions that use a single instance, without tokens: only that instance knows what they have seen.
fn sticky_sessions() -> Scenario {
    scenario(Settings { roams: false, tokens: false, ..settings(0, 0) }, false)
}

fn proptest_config() -> ProptestConfig {
    ProptestConfig {
        cases: 24,
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(7),
        ..Default::default()
    }
}

proptest! {
    #![proptest_config(proptest_config())]

    #[test]
    fn no_stale_answer_is_accepted_under_any_loss(
        seed in any::<u32>(),
        loss_probability in 0.0..0.9f64,
        restart_probability in 0.0..0.05f64,
        clock_error in prop::sample::select(vec![0, 10 * MS, 50 * MS]),
        instances in 0..5u16,
        (roams, tokens, monotonic_reads) in any::<(bool, bool, bool)>(),
    ) {
        let guarantee = if monotonic_reads {
            SessionGuarantee::ReadYourWritesAndMonotonicReads
        } else {
            SessionGuarantee::ReadYourWrites
        };
        let instances = if instances == 1 { 0 } else { instances };
        let settings = Settings { clock_error, roams, tokens, guarantee, ..settings(instances, 0) };
        let findings = run(
            &Scenario { loss_probability, restart_probability, ..scenario(settings, tokens) },
            u64::from(seed),
        );
        prop_assert_eq!(
            (findings.stale, findings.primary_unproven, findings.deposed_primary_stale),
            (0, 0, 0),
            "{:?}",
            findings
        );
        prop_assert!(findings.reads > 500);
    }
}

#[test]
fn replicas_serve_reads_whose_minimum_position_is_known() {
    for scenario in [
        sticky_sessions(),
        scenario(settings(0, 0), true),
        scenario(Settings { tokens: false, ..settings(3, 0) }, false),
    ] {
        let findings = run(&Scenario { loss_probability: 0.0, restart_probability: 0.0, ..scenario }, 5);
        assert_eq!(findings.stale, 0);
        assert!(findings.by_replicas * 4 > findings.reads, "{findings:?}");
    }
}

#[test]
fn injected_faults_are_detected() {
    let with_tokens = scenario(settings(0, 0), true);
    let with_broadcasts = scenario(Settings { tokens: false, ..settings(3, 0) }, false);
    let cases = [
        (InjectedFault::WatermarkLossIgnored, sticky_sessions()),
        (InjectedFault::SnapshotAgeIgnored, sticky_sessions()),
        (InjectedFault::SnapshotReplacesWatermarks, sticky_sessions()),
        (InjectedFault::TokenWatermarkIgnored, with_tokens),
        (InjectedFault::BroadcastGapIgnored, Scenario { loss_probability: 0.8, ..with_broadcasts }),
    ];
    for (index, (fault, scenario)) in cases.into_iter().enumerate() {
        let stale_reads = |fault| {
            let scenario = Scenario { fault, ..scenario.clone() };
            (1..20).map(|seed| run(&scenario, seed).stale).sum::<usize>()
        };
        assert_eq!(stale_reads(InjectedFault::None), 0, "case {index} without a fault");
        assert!(stale_reads(fault) > 0, "the fault of case {index} is not detected");
    }
}
