//! Compares the actions of long seeded workloads with digests that were recorded before the router's
//! bookkeeping was reworked. A change that only makes a step cheaper must leave all actions and all random
//! numbers drawn unchanged.
//!
//! A change that is meant to alter decisions replaces the constants and states the reason in its commit
//! message.

mod common;
use common::counts::ActionCounts;
use common::workload::*;

const STEPS: usize = 24_000;
const GROUPS: u64 = 5;
const IDLE_GROUPS: u64 = 500;
/// Enough steps to go through all phases of settings.
const STEPS_WITH_IDLE_GROUPS: usize = 7_000;
/// The changes since commit a97f0e8 that account for the current digests:
///
/// - At that commit the digests were 14703266976131508814 and 9074794261805414333.
/// - Retry windows that end earlier changed them to 7367233686425600756 and 4699539928221495563.
/// - Trial requests in groups that have only suspected members changed them again.
/// - Notes that a member has recovered, and the count of suppressed notes, changed the digests from
///   4992800167470626976 and 9432004523501019584. Without the text of the notes the actions were unchanged.
/// - A slow-start budget counted in work instead of requests changed them from 6567121506933414339 and
///   18263758132930562174. Where members are warm from the start, 16054235187610760304 and
///   16893193918594458724 were unchanged (their order was not recorded).
const FIRST_DIGEST: u64 = 8_566_661_806_064_578_650;
const SECOND_DIGEST: u64 = 17_623_473_532_089_784_920;

fn assert_covers_all_actions(counts: &ActionCounts) {
    assert!(counts.events >= 20_000, "{counts:?}");
    assert!(counts.sends >= 5_000, "{counts:?}");
    assert!(counts.rejections >= 1_000, "{counts:?}");
    let rare = [
        counts.failures,
        counts.cancellations,
        counts.health_checks,
        counts.list_watches,
        counts.notes,
        counts.timers,
    ];
    assert!(rare.iter().all(|count| *count >= 10), "{counts:?}");
}

#[test]
fn actions_of_the_first_seed_are_unchanged() {
    let mut workload = Workload::new(1, GROUPS);
    let digest = workload.run(STEPS);
    assert_covers_all_actions(&workload.counts);
    assert_eq!(digest, FIRST_DIGEST);
}

#[test]
fn actions_of_the_second_seed_are_unchanged() {
    let mut workload = Workload::new(2, GROUPS);
    let digest = workload.run(STEPS);
    assert_covers_all_actions(&workload.counts);
    assert_eq!(digest, SECOND_DIGEST);
}

#[test]
fn idle_groups_change_no_action() {
    let mut without_idle = Workload::with_idle_groups(3, GROUPS, 0);
    let mut with_idle = Workload::with_idle_groups(3, GROUPS, IDLE_GROUPS);
    let digest = without_idle.run(STEPS_WITH_IDLE_GROUPS);
    assert!(without_idle.counts.sends >= 2_000, "{:?}", without_idle.counts);
    assert_eq!(with_idle.run(STEPS_WITH_IDLE_GROUPS), digest);
}
