//! The results of all variants: the checks of the experiment and its figures.

use super::run_state::InvalidTokenCounts;
use super::schedule::Phase;
use super::variants::Variant;
use crate::ledger::Findings;
use crate::phase_statistics::PhaseStatistics;
use crate::report::Verdict;
use serde_json::{json, Map, Value};

/// A variant's minimum ratio of reads at replicas to those that an oracle would send there, in the calm
/// phase.
struct MinReplicaRatio {
    variant: &'static str,
    ratio: f64,
}

const MIN_REPLICA_RATIOS: [MinReplicaRatio; 2] =
    [MinReplicaRatio { variant: "tokens", ratio: 0.8 }, MinReplicaRatio { variant: "peers", ratio: 0.6 }];
/// Maximum difference to the served share with all reads at the primary, in the wave of restarts.
const SERVED_SHARE_TOLERANCE: f64 = 0.02;

/// A counter, summed over all gateways.
pub(super) struct SessionCounter {
    /// Its key in the report.
    pub(super) key: &'static str,
    pub(super) value: u64,
}

/// The result of one variant.
pub(super) struct VariantResult {
    pub(super) variant: &'static Variant,
    pub(super) findings: Findings,
    pub(super) phases: Vec<PhaseStatistics>,
    pub(super) invalid_tokens: InvalidTokenCounts,
    pub(super) counters: Vec<SessionCounter>,
    /// Number of datagrams between gateways.
    pub(super) datagrams: u64,
    /// Bytes of these datagrams.
    pub(super) datagram_bytes: u64,
    pub(super) requests: u64,
}

impl VariantResult {
    fn phase(&self, phase: Phase) -> &PhaseStatistics {
        &self.phases[phase as usize]
    }

    fn json(&self) -> Value {
        let phases: Map<String, Value> =
            self.phases.iter().map(|phase| (phase.name.to_string(), phase.json())).collect();
        let counters: Map<String, Value> =
            self.counters.iter().map(|counter| (counter.key.to_string(), json!(counter.value))).collect();
        let requests = self.requests.max(1) as f64;
        json!({
            "reads": self.findings.reads, "writes": self.findings.writes, "stale": self.findings.stale,
            "backwards": self.findings.backwards, "excused": self.findings.excused,
            "messages_a_request": self.datagrams as f64 / requests,
            "message_bytes_a_request": self.datagram_bytes as f64 / requests,
            "phases": phases, "counters": counters,
            "bad_tokens": self.invalid_tokens.answered, "bad_tokens_told": self.invalid_tokens.rejected,
        })
    }
}

/// Checks the results of all variants.
pub(super) fn judge(seed: u64, results: &[VariantResult]) -> Verdict {
    let mut verdict = Verdict::new("sessions", seed);
    for result in results {
        check_consistency(&mut verdict, result);
    }
    let named = |name: &str| results.iter().find(|result| result.variant.name == name);
    if let Some(primary) = named("primary") {
        for MinReplicaRatio { variant, ratio } in &MIN_REPLICA_RATIOS {
            if let Some(result) = named(variant) {
                check_service(&mut verdict, result, primary, *ratio);
            }
        }
    }
    let figures = results.iter().map(|result| (result.variant.name.to_string(), result.json()));
    verdict.figures = Value::Object(figures.collect());
    for result in results {
        add_bars(&mut verdict, result);
    }
    verdict
}

/// Guarded variants must show nothing stale, and unguarded ones something: otherwise the experiment proves
/// nothing.
fn check_consistency(verdict: &mut Verdict, result: &VariantResult) {
    let (variant, violations) = (result.variant, result.findings.violations());
    let name = variant.name;
    if variant.is_guarded {
        verdict.check(format!("{name}: nothing stale and nothing backwards"), violations == 0);
        let InvalidTokenCounts { answered, rejected } = result.invalid_tokens;
        verdict.check(format!("{name}: invalid tokens are rejected"), answered == rejected);
    } else if !variant.primary_reads {
        verdict.check(format!("{name}: the baseline shows stale reads"), violations > 0);
    }
}

/// A guarded variant must use replicas, and serve as much as the variant that sends all reads to the primary.
fn check_service(verdict: &mut Verdict, result: &VariantResult, primary: &VariantResult, min_ratio: f64) {
    let name = result.variant.name;
    let calm = result.phase(Phase::Calm);
    let ratio = calm.replica_share() / calm.oracle_share().max(1e-9);
    let text = format!("{name}: in calm {min_ratio} of the oracle's replica share");
    verdict.check(text, ratio >= min_ratio);
    let served = result.phase(Phase::RestartWave).served_share();
    let served_by_primary = primary.phase(Phase::RestartWave).served_share();
    let text = format!("{name}: in the restart wave no worse than all to the primary");
    verdict.check(text, served >= served_by_primary - SERVED_SHARE_TOLERANCE);
}

fn add_bars(verdict: &mut Verdict, result: &VariantResult) {
    let name = result.variant.name;
    for phase in &result.phases {
        verdict.bar("replica share", name, phase.name, phase.replica_share());
        verdict.bar("p99, ms", name, phase.name, phase.latency_quantile_ms(0.99));
        verdict.bar("served share", name, phase.name, phase.served_share());
    }
}
