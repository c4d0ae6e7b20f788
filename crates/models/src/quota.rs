//! Model `shares`: two gateways that both act as the lease holder of the quotas, each with one gateway that
//! borrows from it, and one gateway that lends to both; reports and grants are lost or late, and the lender
//! restarts once. `Quota` and `QuotaPool` are the gateway's own code. Time passes only by steps of the model.

use crate::check::{check, Report, World};
use crate::fleet_settings::{settings, LEASE};
use crate::Size;
use petrelgauge_ownership::quota::{GroupDemand, GroupGrant, Quota, QuotaPool, QuotaReport};
use petrelgauge_ownership::Term;
use petrelgauge_policy::{GroupId, Time};
use std::collections::BTreeMap;

const SUM: &str = "all quotas in force never exceed the even quotas together";

const GROUP: GroupId = 1;
const LENDER: usize = 0;
const RATES: [u32; 3] = [100, 1_000, 1_000];

/// What becomes of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Delivery {
    /// It is lost.
    Lost,
    /// It arrives.
    Now,
    /// It arrives at some time, or never.
    Late,
}

/// A step of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Which faults may occur: all of them at once would be more states than can be explored.
    Faults(usize),
    /// This lease holder opens a round; what becomes of the lender's report, and of the grant to the
    /// borrower.
    Round(usize, Delivery, Delivery),
    /// A late message arrives.
    Arrives(usize),
    /// The lender restarts.
    Restarts,
    /// Time passes.
    Waits(Time),
}

#[derive(Clone, Debug)]
enum Late {
    Report(usize, QuotaReport),
    Grant(usize, u32, Vec<GroupGrant>),
}

#[derive(Clone, Debug)]
struct Fleet {
    now: Time,
    quotas: Vec<Quota>,
    pools: Vec<QuotaPool>,
    rounds: [u8; 2],
    late: Vec<Late>,
    may_be_late: u8,
    restarts: u8,
    waits: u8,
    begun: bool,
    large: bool,
}

/// How often each fault may occur.
#[derive(Clone, Copy, Debug)]
struct Faults {
    /// Each lease holder opens a round.
    rounds: [u8; 2],
    late: u8,
    restarts: u8,
    waits: u8,
}

const FAULTS: [Faults; 3] = [
    Faults { rounds: [2, 2], late: 0, restarts: 0, waits: 2 },
    Faults { rounds: [3, 0], late: 1, restarts: 0, waits: 4 },
    Faults { rounds: [2, 2], late: 0, restarts: 1, waits: 1 },
];

fn rates(who: usize) -> BTreeMap<GroupId, u32> {
    BTreeMap::from([(GROUP, RATES[who])])
}

impl Fleet {
    fn grant(&mut self, who: usize, number: u32, granted: &[GroupGrant]) {
        self.quotas[who].on_grant(self.now, number, granted);
    }

    /// A report arrives at a lease holder. Returns what it grants.
    fn report(&mut self, holder: usize, who: usize, report: &QuotaReport) -> Vec<GroupGrant> {
        self.pools[holder].on_report(self.now, who as u16, report.round, &report.demands)
    }

    /// A lease holder opens a round, the lender reports for it, and then the borrower, which is granted
    /// something.
    fn run_round(&mut self, holder: usize, loan: Delivery, grant: Delivery) {
        self.rounds[holder] -= 1;
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
                self.may_be_late -= 1;
                self.late.push(Late::Report(holder, report));
            } else {
                self.report(holder, LENDER, &report);
            }
        }
    }

    fn borrow(&mut self, holder: usize, borrower: usize, delivery: Delivery) {
        for report in self.quotas[borrower].due_reports(self.now, &rates(borrower)) {
            let granted = self.report(holder, borrower, &report);
            match delivery {
                Delivery::Lost => {}
                Delivery::Now => self.grant(borrower, report.number, &granted),
                Delivery::Late => {
                    self.may_be_late = self.may_be_late.saturating_sub(1);
                    self.late.push(Late::Grant(borrower, report.number, granted));
                }
            }
        }
    }
}

impl World for Fleet {
    type Step = Step;

    const PROPERTIES: &'static [&'static str] = &[SUM];

    fn steps(&self) -> Vec<Step> {
        if !self.begun {
            return (0..FAULTS.len()).map(Step::Faults).collect();
        }
        let mut steps = Vec::new();
        for holder in (0..2).filter(|holder| self.rounds[*holder] > 0) {
            for lends in [Delivery::Lost, Delivery::Now, Delivery::Late] {
                for granted in [Delivery::Lost, Delivery::Now, Delivery::Late] {
                    let late =
                        [lends, granted].iter().filter(|delivery| **delivery == Delivery::Late).count();
                    if late <= usize::from(self.may_be_late) {
                        steps.push(Step::Round(holder, lends, granted));
                    }
                }
            }
        }
        steps.extend((0..self.late.len()).map(Step::Arrives));
        steps.extend((self.restarts > 0).then_some(Step::Restarts));
        if self.waits > 0 {
            steps.extend([LEASE / 4, LEASE / 2, LEASE / 4 * 3].map(Step::Waits));
        }
        steps
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Faults(which) => {
                let Faults { rounds, late, restarts, waits } = FAULTS[which];
                let more = u8::from(self.large);
                self.begun = true;
                (self.rounds, self.may_be_late) = (rounds, late);
                (self.restarts, self.waits) = (restarts, waits + more);
            }
            Step::Round(holder, loan, grant) => self.run_round(holder, loan, grant),
            Step::Arrives(index) => match self.late.remove(index) {
                Late::Report(holder, report) => {
                    self.report(holder, LENDER, &report);
                }
                Late::Grant(who, number, granted) => self.grant(who, number, &granted),
            },
            Step::Restarts => {
                self.restarts -= 1;
                self.quotas[LENDER] = Quota::new(settings(0), self.now, 1_000);
            }
            Step::Waits(span) => {
                self.waits -= 1;
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
        (self.quotas.iter().map(extra).sum::<f64>() > 1e-6).then_some(SUM)
    }
}

/// Runs the model.
pub fn run(size: Size, path: &[String]) -> Report {
    let now = 100_000;
    let mut pools: Vec<QuotaPool> = [5, 6].map(|term: Term| QuotaPool::new(settings(0), term)).into();
    for (holder, pool) in pools.iter_mut().enumerate() {
        // Both have received reports, so that mean rates and demands are known from the first round on.
        let round = pool.open_round(now - 1).number;
        for who in [LENDER, 1 + holder] {
            let requested = if who == LENDER { 0 } else { 500 };
            pool.on_report(
                now - 1,
                who as u16,
                round,
                &[GroupDemand { group: GROUP, rate: RATES[who], requested }],
            );
        }
    }
    let start = Fleet {
        now,
        quotas: (0..3).map(|who| Quota::new(settings(0), now - 4 * LEASE, who * 100)).collect(),
        pools,
        rounds: [0, 0],
        late: Vec::new(),
        may_be_late: 0,
        restarts: 0,
        waits: 0,
        begun: false,
        large: size == Size::Large,
    };
    check(start, path)
}
