//! Quotas between a few machines: reports that cannot be, sizes of datagrams, clocks at the ends of the drift bound.

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
    // An amount above the maximum counts as the maximum; a report for an unknown round counts for nothing.
    pool.on_report(1, 1, round, &demands(Thousandths::MIN));
    pool.on_report(1, 2, round.wrapping_add(9), &demands(Thousandths::MIN));
    assert_eq!(pool.totals(2).lent, i64::from(MAX_LENT));
    pool.on_report(2, 2, round, &demands(Thousandths::MAX));
    let round = pool.open_round(500_000).number;
    let granted = pool.on_report(500_001, 2, round, &demands(Thousandths::MAX));
    assert_eq!(granted, vec![GroupGrant { group: GROUP, amount: MAX_LENT }]);
    // A grant that this process has not requested is ignored.
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
                number: u32::MAX,
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

// The clocks of the lease holder and of the borrower are at the slow end, the lender's at the fast one: loans expire
// soonest and grants last longest. Reports and grants arrive at any time.
#[test]
fn grants_expire_before_the_loans_that_cover_them_at_any_drift() {
    let settings = settings(0, 3);
    let [slow, fast] = [1.0 - settings.drift_bound, 1.0 + settings.drift_bound]
        .map(|pace| move |at: Time| (at as f64 * pace) as Time);
    let (start, mut granted_at_all) = (10 * LEASE, 0);
    let rates = |rate| BTreeMap::from([(GROUP, rate)]);
    for step in 0..80 {
        for late in [0, LEASE / 4, LEASE / 2, LEASE] {
            for flight in [0, LEASE / 4, LEASE / 2] {
                let (mut lender, mut borrower) =
                    (Quota::new(settings.clone(), 0, 1), Quota::new(settings.clone(), 0, 50));
                let mut pool = QuotaPool::new(settings.clone(), 1);
                let round = pool.open_round(slow(start) - 1).number;
                for (from, rate, requested) in [(0, 100, 0), (1, 1_000, 500)] {
                    pool.on_report(
                        slow(start) - 1,
                        from,
                        round,
                        &[GroupDemand { group: GROUP, rate, requested }],
                    );
                }
                let round = pool.open_round(slow(start));
                lender.on_round(fast(start), 1, round.number, &round.parts[0]);
                let report = lender.due_reports(fast(start), &rates(100)).remove(0);
                assert_eq!(report.demands[0].requested, -MAX_LENT);
                pool.on_report(slow(start + late), 0, round.number, &report.demands);
                let asked = start + late + step * LEASE / 40;
                let round = pool.open_round(slow(asked));
                borrower.on_round(slow(asked), 1, round.number, &round.parts[0]);
                let report = borrower.due_reports(slow(asked), &rates(1_000)).remove(0);
                let granted = pool.on_report(slow(asked), 1, round.number, &report.demands);
                granted_at_all += granted.len();
                let arrives = asked + flight;
                borrower.on_grant(slow(arrives), report.number, &granted);
                for at in (arrives..arrives + 2 * LEASE).step_by(LEASE as usize / 400) {
                    let borrowed = borrower.current(slow(at), GROUP).at(slow(at)) - 1.0;
                    let lent = lender.current(fast(at), GROUP).at(fast(at)) - 1.0;
                    assert!(
                        borrowed + lent < 1e-6,
                        "asked at {step}, late {late}, flight {flight}: {borrowed} of {lent}"
                    );
                }
            }
        }
    }
    assert!(granted_at_all > 50, "{granted_at_all} grants");
}

// A datagram has room for eleven entries at least, and every report must be remembered until its grant arrives.
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
            // All are sent before the first grant arrives.
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
    let short = (0..groups).filter(|group| borrower.current(now, *group).at(now) < 1.4).count();
    assert_eq!(short, 0, "groups of {groups} for which nothing is granted");
}
