//! Model `shares`: two gateways that both act as holder of the quota lease, each with a borrower of its own,
//! and one gateway that lends to both. Reports and grants are lost or late, and the lender restarts once.
//! `Quota` and `QuotaPool` are the gateway's own code. Time passes only by steps of the model.

use crate::check::{check, Report, World};
use crate::fleet_settings::{settings, LEASE};
use crate::Size;
use petrelgauge_ownership::quota::{GroupDemand, GroupGrant, Quota, QuotaPool, QuotaReport};
use petrelgauge_ownership::Term;
use petrelgauge_policy::{GroupId, Time};
use std::collections::BTreeMap;

const SUM_BOUNDED: &str = "all quotas in force never exceed the even quotas together";

const GROUP: GroupId = 1;
const LENDER: usize = 0;
const RATES: [u32; 3] = [100, 1_000, 1_000];

/// Whether and when a message is delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Delivery {
    /// Never.
    Lost,
    /// At once.
    Now,
    /// At some later time, or never.
    Late,
}

/// A step of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Selects the faults that may occur. All of them together would be more states than can be explored.
    Faults(usize),
    /// This lease holder opens a round, with the delivery of the lender's report and of the borrower's grant.
    Round(usize, Delivery, Delivery),
    /// A late message arrives.
    Arrives(usize),
    /// The lender restarts.
    Restarts,
    /// Time passes.
    Waits(Time),
}

/// A late message.
#[derive(Clone, Debug)]
enum LateMessage {
    Report { holder: usize, report: QuotaReport },
    Grant { borrower: usize, report_number: u32, granted: Vec<GroupGrant> },
}

#[derive(Clone, Debug)]
struct Fleet {
    now: Time,
    quotas: Vec<Quota>,
    pools: Vec<QuotaPool>,
    /// How many rounds each lease holder may still open.
    rounds_left: [u8; 2],
    late: Vec<LateMessage>,
    /// How many messages may still be late.
    late_left: u8,
    restarts_left: u8,
    waits_left: u8,
    /// Whether the faults have been selected.
    has_begun: bool,
    size: Size,
}

/// How often each fault may occur.
#[derive(Clone, Copy, Debug)]
struct Faults {
    /// Rounds of each lease holder.
    rounds: [u8; 2],
    /// Late messages.
    late: u8,
    /// Restarts of the lender.
    restarts: u8,
    /// Steps in which time passes.
    waits: u8,
}

const FAULTS: [Faults; 3] = [
    Faults { rounds: [2, 2], late: 0, restarts: 0, waits: 2 },
    Faults { rounds: [3, 0], late: 1, restarts: 0, waits: 4 },
    Faults { rounds: [2, 2], late: 0, restarts: 1, waits: 1 },
];

fn rates(gateway: usize) -> BTreeMap<GroupId, u32> {
    BTreeMap::from([(GROUP, RATES[gateway])])
}

impl Fleet {
    fn deliver_grant(&mut self, borrower: usize, report_number: u32, granted: &[GroupGrant]) {
        self.quotas[borrower].on_grant(self.now, report_number, granted);
    }

    /// Delivers a report to a lease holder, and returns the grants.
    fn deliver_report(&mut self, holder: usize, from: usize, report: &QuotaReport) -> Vec<GroupGrant> {
        self.pools[holder].on_report(self.now, from as u16, report.round, &report.demands)
    }

    /// A lease holder opens a round, for which the lender reports, and then the borrower.
    fn run_round(&mut self, holder: usize, loan: Delivery, grant: Delivery) {
        self.rounds_left[holder] -= 1;
        let term = self.pools[holder].term();
        let round = self.pools[holder].open_round(self.now);
        let mean_rates = round.parts.first().cloned().unwrap_or_default();
        if loan != Delivery::Lost {
            self.quotas[LENDER].on_round(self.now, term, round.number, &mean_rates);
            self.lend(holder, loan);
        }
        let borrower = 1 + holder;
        self.quotas[borrower].on_round(self.now, term, round.number, &mean_rates);
        self.borrow(holder, borrower, grant);
    }

    fn lend(&mut self, holder: usize, delivery: Delivery) {
        for report in self.quotas[LENDER].due_reports(self.now, &rates(LENDER)) {
            if delivery == Delivery::Late {
                self.late_left -= 1;
                self.late.push(LateMessage::Report { holder, report });
            } else {
                self.deliver_report(holder, LENDER, &report);
            }
        }
    }

    fn borrow(&mut self, holder: usize, borrower: usize, delivery: Delivery) {
        for report in self.quotas[borrower].due_reports(self.now, &rates(borrower)) {
            let granted = self.deliver_report(holder, borrower, &report);
            match delivery {
                Delivery::Lost => {}
                Delivery::Now => self.deliver_grant(borrower, report.number, &granted),
                Delivery::Late => {
                    self.late_left = self.late_left.saturating_sub(1);
                    let report_number = report.number;
                    self.late.push(LateMessage::Grant { borrower, report_number, granted });
                }
            }
        }
    }
}

impl World for Fleet {
    type Step = Step;

    const PROPERTIES: &'static [&'static str] = &[SUM_BOUNDED];

    fn steps(&self) -> Vec<Step> {
        if !self.has_begun {
            return (0..FAULTS.len()).map(Step::Faults).collect();
        }
        let mut steps = Vec::new();
        for holder in (0..2).filter(|holder| self.rounds_left[*holder] > 0) {
            for loan in [Delivery::Lost, Delivery::Now, Delivery::Late] {
                for grant in [Delivery::Lost, Delivery::Now, Delivery::Late] {
                    let late = [loan, grant].iter().filter(|delivery| **delivery == Delivery::Late).count();
                    if late <= usize::from(self.late_left) {
                        steps.push(Step::Round(holder, loan, grant));
                    }
                }
            }
        }
        steps.extend((0..self.late.len()).map(Step::Arrives));
        steps.extend((self.restarts_left > 0).then_some(Step::Restarts));
        if self.waits_left > 0 {
            steps.extend([LEASE / 4, LEASE / 2, LEASE / 4 * 3].map(Step::Waits));
        }
        steps
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Faults(which) => {
                let Faults { rounds, late, restarts, waits } = FAULTS[which];
                let more = u8::from(self.size == Size::Large);
                self.has_begun = true;
                (self.rounds_left, self.late_left) = (rounds, late);
                (self.restarts_left, self.waits_left) = (restarts, waits + more);
            }
            Step::Round(holder, loan, grant) => self.run_round(holder, loan, grant),
            Step::Arrives(index) => match self.late.remove(index) {
                LateMessage::Report { holder, report } => {
                    self.deliver_report(holder, LENDER, &report);
                }
                LateMessage::Grant { borrower, report_number, granted } => {
                    self.deliver_grant(borrower, report_number, &granted);
                }
            },
            Step::Restarts => {
                self.restarts_left -= 1;
                self.quotas[LENDER] = Quota::new(settings(0), self.now, 1_000);
            }
            Step::Waits(span) => {
                self.waits_left -= 1;
                self.now += span;
            }
        }
    }

    fn describe(&self, step: &Step) -> String {
        let what = match step {
            Step::Faults(which) => format!("faults that may occur: {:?}", FAULTS[*which]),
            Step::Round(holder, lends, granted) => {
                format!(
                    "holder {holder} opens a round; the lender's report: {lends:?}, the grant: {granted:?}"
                )
            }
            Step::Arrives(index) => format!("a late message arrives: {:?}", self.late.get(*index)),
            Step::Restarts => "the lender restarts".to_string(),
            Step::Waits(span) => format!("{span} pass"),
        };
        format!("at {} {what}", self.now)
    }

    fn violated(&self) -> Option<&'static str> {
        let extra = |quota: &Quota| quota.current(self.now, GROUP).at(self.now) - 1.0;
        (self.quotas.iter().map(extra).sum::<f64>() > 1e-6).then_some(SUM_BOUNDED)
    }
}

/// Runs the model.
pub fn run(size: Size, path: &[String]) -> Report {
    let now = 100_000;
    let mut pools: Vec<QuotaPool> = [5, 6].map(|term: Term| QuotaPool::new(settings(0), term)).into();
    for (holder, pool) in pools.iter_mut().enumerate() {
        // Earlier reports, so that mean rates and demands are known from the first round on.
        let round = pool.open_round(now - 1).number;
        for gateway in [LENDER, 1 + holder] {
            let requested = if gateway == LENDER { 0 } else { 500 };
            pool.on_report(
                now - 1,
                gateway as u16,
                round,
                &[GroupDemand { group: GROUP, rate: RATES[gateway], requested }],
            );
        }
    }
    let start = Fleet {
        now,
        quotas: (0..3).map(|id| Quota::new(settings(0), now - 4 * LEASE, id * 100)).collect(),
        pools,
        rounds_left: [0, 0],
        late: Vec::new(),
        late_left: 0,
        restarts_left: 0,
        waits_left: 0,
        has_begun: false,
        size,
    };
    check(start, path)
}
