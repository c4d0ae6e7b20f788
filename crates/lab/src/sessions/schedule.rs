//! The schedule of faults: four phases, the same for every variant.

use super::run_state::{RunState, GATEWAYS};
use crate::error::LabError;
use crate::phase_statistics::PhaseStatistics;
use petrelgauge::Time;

/// Names of the phases in the report.
const PHASE_NAMES: [&str; 4] = ["calm", "lag", "wave", "takeover"];
/// Factor by which replicas apply the log more slowly in the phase of lag.
const LAG_SLOWDOWN: f64 = 18.0;
/// Age of the copy that a replaced replica starts from (microseconds).
const REPLACEMENT_COPY_AGE: Time = 5_000_000;
/// The member that is replaced.
const REPLACED_MEMBER: usize = 3;
/// The group whose member is replaced, and whose primary hangs.
const FAULTY_GROUP: usize = 0;
/// A restarted gateway is down for 1 / `DOWNTIME_DIVISOR` of the phase.
const DOWNTIME_DIVISOR: Time = 16;
/// How long a deposed primary still answers as a primary after it has resumed (microseconds).
const DEPOSED_TIME: Time = 400_000;

/// A phase of the run, as an index of its statistics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The only fault is a replaced replica.
    Calm,
    /// All replicas apply the log slowly.
    Lag,
    /// Gateways restart one after the other while replicas catch up.
    RestartWave,
    /// A primary hangs, is replaced, and resumes without knowing that it was deposed.
    Failover,
}

/// Durations of the phases (microseconds).
#[derive(Clone, Copy)]
pub(super) struct PhaseDurations {
    calm: Time,
    lag: Time,
    restart_wave: Time,
    failover: Time,
}

const FULL_DURATIONS: PhaseDurations =
    PhaseDurations { calm: 4_000_000, lag: 22_000_000, restart_wave: 8_900_000, failover: 8_000_000 };
const SHORT_DURATIONS: PhaseDurations =
    PhaseDurations { calm: 2_000_000, lag: 2_000_000, restart_wave: 2_000_000, failover: 2_000_000 };

impl PhaseDurations {
    pub(super) fn new(short: bool) -> PhaseDurations {
        if short {
            SHORT_DURATIONS
        } else {
            FULL_DURATIONS
        }
    }

    pub(super) fn total(&self) -> Time {
        self.calm + self.lag + self.restart_wave + self.failover
    }
}

/// Empty statistics of all phases.
pub(super) fn empty_statistics() -> Vec<PhaseStatistics> {
    PHASE_NAMES.map(PhaseStatistics::new).into()
}

/// Assigns the reads of primaries to the phase in which they were executed.
struct PhaseTracker<'a> {
    state: &'a RunState,
    primary_reads: u64,
}

impl<'a> PhaseTracker<'a> {
    fn new(state: &'a RunState) -> PhaseTracker<'a> {
        PhaseTracker { state, primary_reads: state.cluster.emulated_hosts.primary_reads.get() }
    }

    /// Completes the statistics of the current phase.
    fn finish(&mut self) {
        let primary_reads = self.state.cluster.emulated_hosts.primary_reads.get();
        let executed = primary_reads - std::mem::replace(&mut self.primary_reads, primary_reads);
        self.state.with_phase(|phase| phase.at_primary += executed);
    }

    fn begin(&mut self, phase: Phase) {
        self.finish();
        self.state.current_phase.set(phase as usize);
    }
}

/// Plays all phases.
pub(super) async fn play(state: &RunState, durations: PhaseDurations) -> Result<(), LabError> {
    let mut tracker = PhaseTracker::new(state);
    let mut start = state.clock().now();
    play_calm(state, start, durations.calm).await;
    start += durations.calm;
    tracker.begin(Phase::Lag);
    play_lag(state, start, durations.lag).await;
    start += durations.lag;
    tracker.begin(Phase::RestartWave);
    play_restart_wave(state, start, durations.restart_wave).await?;
    start += durations.restart_wave;
    tracker.begin(Phase::Failover);
    play_failover(state, start, durations.failover).await;
    tracker.finish();
    Ok(())
}

async fn play_calm(state: &RunState, start: Time, duration: Time) {
    let clock = state.clock();
    clock.sleep_until(start + duration / 2).await;
    let group = &state.cluster.emulated_hosts.groups[FAULTY_GROUP];
    group.borrow_mut().replace(REPLACED_MEMBER, REPLACEMENT_COPY_AGE, clock.now());
    clock.sleep_until(start + duration).await;
}

async fn play_lag(state: &RunState, start: Time, duration: Time) {
    set_slowdown(state, LAG_SLOWDOWN);
    state.clock().sleep_until(start + duration).await;
    set_slowdown(state, 1.0);
}

fn set_slowdown(state: &RunState, slowdown: f64) {
    let now = state.clock().now();
    let groups = &state.cluster.emulated_hosts.groups;
    groups.iter().for_each(|group| group.borrow_mut().set_slowdown(slowdown, now));
}

/// Restarts all gateways but one, one after the other.
async fn play_restart_wave(state: &RunState, start: Time, duration: Time) -> Result<(), LabError> {
    let clock = state.clock();
    for number in 0..GATEWAYS - 1 {
        state.cluster.restart(number, duration / DOWNTIME_DIVISOR).await?;
        clock.sleep_until(start + (number as Time + 1) * duration / GATEWAYS as Time).await;
    }
    clock.sleep_until(start + duration).await;
    Ok(())
}

async fn play_failover(state: &RunState, start: Time, duration: Time) {
    let clock = state.clock();
    let group = &state.cluster.emulated_hosts.groups[FAULTY_GROUP];
    let hung = group.borrow_mut().hang_primary(clock.now());
    clock.sleep_until(start + duration / 3).await;
    group.borrow_mut().fail_over(clock.now());
    clock.sleep_until(start + duration / 2).await;
    if let Some(member) = hung {
        group.borrow_mut().resume(member);
        state.sleep(DEPOSED_TIME).await;
        group.borrow_mut().demote(member, clock.now());
    }
    clock.sleep_until(start + duration).await;
}
