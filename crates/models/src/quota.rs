//! Model `shares`: two gateways that both take themselves for the lease holder of the share-out, each with one gateway that asks
//! of it, and one gateway that lends to both; answers and grants lost or late, the lender started again. Quota and pool
//! are the gateway's. Time passes only where the world says so.

use crate::check::{check, Report, World};
use crate::Size;
use petrelgauge_ownership::quota::{GroupDemand, Milli, Quota, QuotaPool, QuotaReport};
use petrelgauge_ownership::{Settings, Term};
use petrelgauge_policy::{GroupId, Time};
use std::collections::BTreeMap;

const SUM: &str = "all quotas in force are never above the even ones together";

const GROUP: GroupId = 1;
const LEASE: Time = 8_000;
const LENDER: usize = 0;
const RATES: [u32; 3] = [100, 1_000, 1_000];

/// What becomes of something on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Way {
    /// It is lost.
    Lost,
    /// It arrives.
    Now,
    /// It arrives at some time, or never.
    Late,
}

/// An event.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Move {
    /// Which troubles may come: all of them at a time would be more states than can be seen.
    Trouble(usize),
    /// This lease holder opens a round; what becomes of the lender's answer, and of the grant to whoever requested.
    Round(usize, Way, Way),
    /// Something late arrives.
    Arrives(usize),
    /// The lender starts again.
    Restarts,
    /// Time passes.
    Waits(Time),
}

#[derive(Clone, Debug)]
enum Late {
    QuotaReport(usize, QuotaReport),
    Grant(usize, u32, Vec<(GroupId, Milli)>),
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

/// How often what may happen.
#[derive(Clone, Copy, Debug)]
struct Trouble {
    /// Each lease holder opens a round.
    rounds: [u8; 2],
    late: u8,
    restarts: u8,
    waits: u8,
}

const TROUBLES: [Trouble; 3] = [
    Trouble { rounds: [2, 2], late: 0, restarts: 0, waits: 2 },
    Trouble { rounds: [3, 0], late: 1, restarts: 0, waits: 4 },
    Trouble { rounds: [2, 2], late: 0, restarts: 1, waits: 1 },
];

fn settings() -> Settings {
    Settings {
        self_id: 0,
        gateways: 3,
        acceptors: vec![0, 1, 2],
        lease: LEASE,
        drift_bound: 0.0,
        max_delay: 1_000,
    }
}

fn rates(who: usize) -> BTreeMap<GroupId, u32> {
    BTreeMap::from([(GROUP, RATES[who])])
}

impl Fleet {
    fn grant(&mut self, who: usize, number: u32, granted: &[(GroupId, Milli)]) {
        self.quotas[who].on_grant(self.now, number, granted);
    }

    /// An answer comes to a lease holder; grants_for what that grants_for.
    fn answer(&mut self, owner: usize, who: usize, answer: &QuotaReport) -> Vec<(GroupId, Milli)> {
        self.pools[owner].on_report(self.now, who as u16, answer.round, &answer.lines)
    }
}

impl World for Fleet {
    type Move = Move;

    const PROPERTIES: &'static [&'static str] = &[SUM];

    fn moves(&self) -> Vec<Move> {
        if !self.begun {
            return (0..TROUBLES.len()).map(Move::Trouble).collect();
        }
        let mut moves = Vec::new();
        for owner in (0..2).filter(|owner| self.rounds[*owner] > 0) {
            for lends in [Way::Lost, Way::Now, Way::Late] {
                for granted in [Way::Lost, Way::Now, Way::Late] {
                    let late = [lends, granted].iter().filter(|way| **way == Way::Late).count();
                    if late <= usize::from(self.may_be_late) {
                        moves.push(Move::Round(owner, lends, granted));
                    }
                }
            }
        }
        moves.extend((0..self.late.len()).map(Move::Arrives));
        moves.extend((self.restarts > 0).then_some(Move::Restarts));
        if self.waits > 0 {
            moves.extend([LEASE / 4, LEASE / 2, LEASE / 4 * 3].map(Move::Waits));
        }
        moves
    }

    fn play(&mut self, event: &Move) {
        match *event {
            Move::Trouble(which) => {
                let Trouble { rounds, late, restarts, waits } = TROUBLES[which];
                let more = u8::from(self.large);
                self.begun = true;
                (self.rounds, self.may_be_late) = (rounds, late);
                (self.restarts, self.waits) = (restarts, waits + more);
            }
            Move::Round(owner, lends, granted) => {
                self.rounds[owner] -= 1;
                let (now, asker) = (self.now, 1 + owner);
                let (round, pieces) = self.pools[owner].open_round(now);
                let term = self.pools[owner].term();
                let means = pieces.first().cloned().unwrap_or_default();
                if lends != Way::Lost {
                    self.quotas[LENDER].on_round(now, term, round, &means);
                    for answer in self.quotas[LENDER].due_reports(now, &rates(LENDER)) {
                        if lends == Way::Late {
                            self.may_be_late -= 1;
                            self.late.push(Late::QuotaReport(owner, answer));
                        } else {
                            self.answer(owner, LENDER, &answer);
                        }
                    }
                }
                self.quotas[asker].on_round(now, term, round, &means);
                for answer in self.quotas[asker].due_reports(now, &rates(asker)) {
                    let gift = self.answer(owner, asker, &answer);
                    match granted {
                        Way::Lost => {}
                        Way::Now => self.grant(asker, answer.number, &gift),
                        Way::Late => {
                            self.may_be_late = self.may_be_late.saturating_sub(1);
                            self.late.push(Late::Grant(asker, answer.number, gift));
                        }
                    }
                }
            }
            Move::Arrives(place) => match self.late.remove(place) {
                Late::QuotaReport(owner, answer) => {
                    self.answer(owner, LENDER, &answer);
                }
                Late::Grant(who, number, granted) => self.grant(who, number, &granted),
            },
            Move::Restarts => {
                self.restarts -= 1;
                self.quotas[LENDER] = Quota::new(settings(), self.now, 1_000);
            }
            Move::Waits(span) => {
                self.waits -= 1;
                self.now += span;
            }
        }
    }

    fn told(&self, event: &Move) -> String {
        let what = match event {
            Move::Trouble(which) => format!("of troubles there may be: {:?}", TROUBLES[*which]),
            Move::Round(owner, lends, granted) => {
                format!("owner {owner} opens a round; the lender's answer: {lends:?}, the grant: {granted:?}")
            }
            Move::Arrives(place) => format!("what was late arrives: {:?}", self.late.get(*place)),
            Move::Restarts => "the lender starts again".to_string(),
            Move::Waits(span) => format!("{span} pass"),
        };
        format!("at {} {what}", self.now)
    }

    fn broken(&self) -> Option<&'static str> {
        let extra = |quota: &Quota| quota.current(self.now, GROUP).at(self.now) - 1.0;
        (self.quotas.iter().map(extra).sum::<f64>() > 1e-6).then_some(SUM)
    }
}

/// Plays it.
pub fn run(size: Size, path: &[String]) -> Report {
    let now = 100_000;
    let mut pools: Vec<QuotaPool> = [5, 6].map(|term: Term| QuotaPool::new(settings(), term)).into();
    for (owner, pool) in pools.iter_mut().enumerate() {
        // Both have heard rates, so that the means are known from the first round on, and what is asked for.
        let (round, _) = pool.open_round(now - 1);
        for who in [LENDER, 1 + owner] {
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
        quotas: (0..3).map(|who| Quota::new(settings(), now - 4 * LEASE, who * 100)).collect(),
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
