//! A seeded run of quota lending. The digest of all outputs was recorded from commit a97f0e8. Refactoring
//! must not change any report, grant or amount.

#[path = "support/digest.rs"]
mod digest;
#[path = "support/recorded_fleet.rs"]
mod recorded_fleet;

use digest::Digest;
use petrelgauge_ownership::quota::{Quota, QuotaPool, QuotaReport, RequestRates};
use petrelgauge_ownership::Message;
use petrelgauge_policy::{GroupId, Time};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use recorded_fleet::{settings, GATEWAYS, STEP};
use std::collections::BTreeMap;

const GROUPS: [GroupId; 3] = [1, 2, 9];
const STEPS: Time = 4_000;
/// Interval after which the load moves to other gateways.
const LOAD_SHIFT: Time = 4_000_000;

/// A few gateways that share the quotas of three groups over a lossy network, under two successive lease
/// holders.
struct Simulation {
    quotas: Vec<Quota>,
    rates: Vec<RequestRates>,
    /// Number of requests so far, by gateway and group.
    counts: Vec<BTreeMap<GroupId, u64>>,
    pool: QuotaPool,
    rng: Pcg64Mcg,
    digest: Digest,
}

impl Simulation {
    fn new() -> Simulation {
        let gateways = usize::from(GATEWAYS);
        Simulation {
            quotas: (0..GATEWAYS).map(|id| Quota::new(settings(id), 0, 100 * u32::from(id))).collect(),
            rates: vec![RequestRates::default(); gateways],
            counts: vec![GROUPS.map(|group| (group, 0)).into(); gateways],
            pool: QuotaPool::new(settings(0), 1),
            rng: Pcg64Mcg::seed_from_u64(11),
            digest: Digest::new(),
        }
    }

    fn is_lost(&mut self) -> bool {
        self.rng.next_u64().is_multiple_of(8)
    }

    fn open_round(&mut self, now: Time) {
        if now < self.pool.next_deadline() {
            return;
        }
        let round = self.pool.open_round(now);
        self.digest.add_number(u64::from(round.number));
        for mean_rates in round.parts {
            for mean in &mean_rates {
                self.digest.add_number(mean.group << 32 | u64::from(mean.rate));
            }
            for index in 0..self.quotas.len() {
                if !self.is_lost() {
                    self.quotas[index].on_round(now, self.pool.term(), round.number, &mean_rates);
                }
            }
        }
    }

    fn deliver_report(&mut self, now: Time, index: usize, report: QuotaReport) {
        let (round, number, demands) = (report.round, report.number, report.demands.clone());
        self.digest.add(&Message::QuotaReport(report).encode(index as u16, 1, 2));
        if self.is_lost() {
            return;
        }
        let granted = self.pool.on_report(now, index as u16, round, &demands);
        for grant in &granted {
            self.digest.add_number(grant.group << 16 | grant.amount as u64);
        }
        if !self.is_lost() {
            self.quotas[index].on_grant(now, number, &granted);
        }
    }

    fn count_requests(&mut self, now: Time, index: usize) {
        let loaded = (now / LOAD_SHIFT) as u64 % 4;
        for (group, count) in &mut self.counts[index] {
            let is_loaded = (index as u64 + group) % 4 == loaded;
            *count += if is_loaded { 9 } else { self.rng.next_u64() % 2 };
        }
    }

    fn step(&mut self, now: Time, index: usize) {
        self.count_requests(now, index);
        self.rates[index].observe(now, &self.counts[index]);
        let rates = self.rates[index].per_group();
        for report in self.quotas[index].due_reports(now, &rates) {
            self.deliver_report(now, index, report);
        }
        for group in GROUPS {
            let adjustment = self.quotas[index].current(now, group);
            self.digest.add_number(adjustment.extra.to_bits());
            self.digest.add_time(adjustment.until);
        }
        self.digest.add_time(self.quotas[index].next_deadline().unwrap_or(-1));
    }

    /// Runs all steps and returns the digest of all outputs.
    fn run(mut self) -> u64 {
        let mut max_granted = 0;
        for step in 0..STEPS {
            let now = step * STEP;
            if step == STEPS / 2 {
                self.pool = QuotaPool::new(settings(2), 2);
            }
            self.open_round(now);
            (0..self.quotas.len()).for_each(|index| self.step(now, index));
            let totals = self.pool.totals(now);
            self.digest.add_number(totals.lent as u64);
            self.digest.add_number(totals.granted as u64);
            self.digest.add_number(self.pool.entries() as u64);
            max_granted = max_granted.max(totals.granted);
        }
        assert!(max_granted > 0, "nothing was granted");
        self.digest.value()
    }
}

#[test]
fn quotas_behave_as_recorded() {
    assert_eq!(Simulation::new().run(), 0xc3a0_f548_4a03_822a);
}
