//! Quota lending between a few gateways: invalid reports, datagram lengths, and clocks at the limits of the
//! drift bound.

use petrelgauge_ownership::quota::{
    GroupDemand, GroupGrant, MeanRate, Quota, QuotaPool, QuotaReport, Thousandths, MAX_GROUPS, MAX_LENT,
};
use petrelgauge_ownership::{
    LeadershipRole, Message, Notification, ReceivedMessage, Settings, MAX_DATAGRAM_BYTES,
};
use petrelgauge_policy::{GroupId, Time};
use std::collections::BTreeMap;

const GROUP: GroupId = 7;
const LEASE: Time = 2_000_000;
const MAX_DELAY: Time = 20_000;

fn settings(self_id: u16, gateways: u16) -> Settings {
    let third = gateways / 3;
    Settings {
        self_id,
        gateways,
        acceptors: vec![0, third, 2 * third],
        lease: LEASE,
        drift_bound: 0.05,
        max_delay: MAX_DELAY,
    }
}

#[test]
fn invalid_reports_count_for_nothing() {
    let settings = settings(0, 3);
    let mut pool = QuotaPool::new(settings.clone(), 4);
    let round = pool.open_round(0).number;
    let demands = |requested| [GroupDemand { group: GROUP, rate: u32::MAX, requested }];
    // An amount above the maximum counts as the maximum. A report for an unknown round is ignored.
    pool.on_report(1, 1, round, &demands(Thousandths::MIN));
    pool.on_report(1, 2, round.wrapping_add(9), &demands(Thousandths::MIN));
    assert_eq!(pool.totals(2).lent, i64::from(MAX_LENT));
    pool.on_report(2, 2, round, &demands(Thousandths::MAX));
    let round = pool.open_round(500_000).number;
    let granted = pool.on_report(500_001, 2, round, &demands(Thousandths::MAX));
    assert_eq!(granted, vec![GroupGrant { group: GROUP, amount: MAX_LENT }]);
    // A grant that the process has not requested is ignored.
    let mut quota = Quota::new(settings, 0, 77);
    quota.on_grant(3 * LEASE, 78, &[GroupGrant { group: GROUP, amount: 500 }]);
    assert_eq!(quota.current(3 * LEASE, GROUP).at(3 * LEASE), 1.0);
}

#[test]
fn the_longest_quota_datagrams_fit() {
    let demand = GroupDemand { group: u64::MAX, rate: u32::MAX, requested: Thousandths::MIN };
    let role = LeadershipRole { kind: u8::MAX, shard: u64::MAX };
    let term = u64::MAX;
    let longest = [
        Message::QuotaReport(QuotaReport {
            term: u64::MAX,
            round: u32::MAX,
            number: u32::MAX,
            demands: vec![demand; 11],
        }),
        Message::Notification {
            role,
            term,
            notification: Notification::QuotaRound {
                round: u32::MAX,
                mean_rates: vec![MeanRate { group: u64::MAX, rate: u32::MAX }; 11],
            },
        },
        Message::Notification {
            role,
            term,
            notification: Notification::QuotaGrant {
                report_number: u32::MAX,
                granted: vec![GroupGrant { group: u64::MAX, amount: Thousandths::MIN }; 11],
            },
        },
    ];
    for message in longest {
        let bytes = message.encode(u16::MAX, u32::MAX, u64::MAX);
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes: {message:?}", bytes.len());
        assert_eq!(
            Message::decode(&bytes, u32::MAX, u64::MAX),
            Ok(ReceivedMessage { from: u16::MAX, message })
        );
    }
}

/// True times of the events of one loan and one grant. The clocks of the lease holder and of the borrower run
/// as slowly as the drift bound allows, and the lender's as fast. This is the worst case: the loan expires
/// earliest and the grant lasts longest.
struct LoanAndGrant {
    settings: Settings,
    /// Start of the round that the lender reports for.
    round_at: Time,
    /// Arrival of the lender's report.
    loan_arrives_at: Time,
    /// When the borrower requests quota and the lease holder grants it.
    requested_at: Time,
    /// Arrival of the grant at the borrower.
    grant_arrives_at: Time,
}

impl LoanAndGrant {
    fn slow_clock(&self, at: Time) -> Time {
        (at as f64 * (1.0 - self.settings.drift_bound)) as Time
    }

    fn fast_clock(&self, at: Time) -> Time {
        (at as f64 * (1.0 + self.settings.drift_bound)) as Time
    }

    /// A pool that has learned in an earlier round that the lender needs little and the borrower needs much.
    fn pool_after_first_round(&self) -> QuotaPool {
        let now = self.slow_clock(self.round_at) - 1;
        let mut pool = QuotaPool::new(self.settings.clone(), 1);
        let round = pool.open_round(now).number;
        for (from, rate, requested) in [(0, 100, 0), (1, 1_000, 500)] {
            pool.on_report(now, from, round, &[GroupDemand { group: GROUP, rate, requested }]);
        }
        pool
    }

    fn lend(&self, pool: &mut QuotaPool) -> Quota {
        let mut lender = Quota::new(self.settings.clone(), 0, 1);
        let round = pool.open_round(self.slow_clock(self.round_at));
        let sent_at = self.fast_clock(self.round_at);
        lender.on_round(sent_at, 1, round.number, &round.parts[0]);
        let report = lender.due_reports(sent_at, &BTreeMap::from([(GROUP, 100)])).remove(0);
        assert_eq!(report.demands[0].requested, -MAX_LENT);
        pool.on_report(self.slow_clock(self.loan_arrives_at), 0, round.number, &report.demands);
        lender
    }

    fn borrow(&self, pool: &mut QuotaPool) -> Borrower {
        let mut quota = Quota::new(self.settings.clone(), 0, 50);
        let now = self.slow_clock(self.requested_at);
        let round = pool.open_round(now);
        quota.on_round(now, 1, round.number, &round.parts[0]);
        let report = quota.due_reports(now, &BTreeMap::from([(GROUP, 1_000)])).remove(0);
        let granted = pool.on_report(now, 1, round.number, &report.demands);
        quota.on_grant(self.slow_clock(self.grant_arrives_at), report.number, &granted);
        Borrower { quota, grant_count: granted.len() }
    }

    /// Runs the loan and the grant, and checks from the grant's arrival on that no more is borrowed than
    /// lent. Returns the number of grants.
    fn run_and_check(&self) -> usize {
        let mut pool = self.pool_after_first_round();
        let lender = self.lend(&mut pool);
        let borrower = self.borrow(&mut pool);
        let end = self.grant_arrives_at + 2 * LEASE;
        for at in (self.grant_arrives_at..end).step_by(LEASE as usize / 400) {
            let borrowed = borrower.quota.current(self.slow_clock(at), GROUP).at(self.slow_clock(at)) - 1.0;
            let lent = lender.current(self.fast_clock(at), GROUP).at(self.fast_clock(at)) - 1.0;
            assert!(
                borrowed + lent < 1e-6,
                "round {}, loan {}, request {}, grant {}, now {at}: borrowed {borrowed}, lent {lent}",
                self.round_at,
                self.loan_arrives_at,
                self.requested_at,
                self.grant_arrives_at,
            );
        }
        borrower.grant_count
    }
}

struct Borrower {
    quota: Quota,
    grant_count: usize,
}

#[test]
fn grants_expire_before_the_loans_that_cover_them_at_any_drift() {
    let round_at = 10 * LEASE;
    let mut grant_count = 0;
    for step in 0..80 {
        for loan_delay in [0, LEASE / 4, LEASE / 2, LEASE] {
            for grant_delay in [0, LEASE / 4, LEASE / 2] {
                let loan_arrives_at = round_at + loan_delay;
                let requested_at = loan_arrives_at + step * LEASE / 40;
                let case = LoanAndGrant {
                    settings: settings(0, 3),
                    round_at,
                    loan_arrives_at,
                    requested_at,
                    grant_arrives_at: requested_at + grant_delay,
                };
                grant_count += case.run_and_check();
            }
        }
    }
    assert!(grant_count > 50, "{grant_count} grants");
}

// A datagram holds at least eleven entries, so a report about the maximum number of groups takes many
// datagrams. The number of each one must be kept until its grant arrives.
#[test]
fn grants_for_the_maximum_number_of_groups_are_all_accepted() {
    let settings = settings(0, 3);
    let (mut lender, mut borrower) =
        (Quota::new(settings.clone(), 0, 1), Quota::new(settings.clone(), 0, 50));
    let mut pool = QuotaPool::new(settings, 1);
    let groups = MAX_GROUPS as GroupId;
    let rates = |rate: u32| (0..groups).map(|group| (group, rate)).collect::<BTreeMap<_, _>>();
    let mut now = 10 * LEASE;
    for _ in 0..4 {
        let round = pool.open_round(now);
        for (from, quota, rate) in [(0, &mut lender, 100), (1, &mut borrower, 1_000)] {
            round.parts.iter().for_each(|mean_rates| quota.on_round(now, 1, round.number, mean_rates));
            // All reports are sent before the first grant arrives.
            let reports = quota.due_reports(now, &rates(rate));
            let granted: Vec<_> = reports
                .iter()
                .map(|report| pool.on_report(now, from, round.number, &report.demands))
                .collect();
            reports
                .iter()
                .zip(&granted)
                .for_each(|(report, granted)| quota.on_grant(now, report.number, granted));
        }
        now += LEASE / 4;
    }
    let ungranted = (0..groups).filter(|group| borrower.current(now, *group).at(now) < 1.4).count();
    assert_eq!(ungranted, 0, "number of groups without a grant, of {groups}");
}
