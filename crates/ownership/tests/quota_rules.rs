//! Quotas between a few machines: reports that cannot be, sizes of datagrams, clocks at the ends of the drift bound.

use petrelgauge_ownership::quota::{GroupDemand, Milli, Quota, QuotaPool, MAX_LENT};
use petrelgauge_ownership::{Message, Notification, Settings, MAX_DATAGRAM_BYTES};
use petrelgauge_policy::{GroupId, Time};
use std::collections::BTreeMap;

const GROUP: GroupId = 7;
const LEASE: Time = 2_000_000;
const DELAY: Time = 20_000;

fn settings(me: u16, gateways: u16) -> Settings {
    let third = gateways / 3;
    Settings {
        self_id: me,
        gateways,
        acceptors: vec![0, third, 2 * third],
        lease: LEASE,
        drift_bound: 0.05,
        max_delay: DELAY,
    }
}

#[test]
fn invalid_reports_count_for_nothing() {
    let settings = settings(0, 3);
    let mut pool = QuotaPool::new(settings.clone(), 4);
    let (round, _) = pool.open_round(0);
    let line = |requested| [GroupDemand { group: GROUP, rate: u32::MAX, requested }];
    // More than any gateway may lend counts as the most; one for a round that never was counts for nothing.
    pool.on_report(1, 1, round, &line(Milli::MIN));
    pool.on_report(1, 2, round.wrapping_add(9), &line(Milli::MIN));
    assert_eq!(pool.totals(2).0, i64::from(MAX_LENT));
    pool.on_report(2, 2, round, &line(Milli::MAX));
    let (round, _) = pool.open_round(500_000);
    let granted = pool.on_report(500_001, 2, round, &line(Milli::MAX));
    assert_eq!(granted, vec![(GROUP, MAX_LENT)]);
    // Nobody is granted what was not asked for by this process.
    let mut quota = Quota::new(settings, 0, 77);
    quota.on_grant(3 * LEASE, 78, &[(GROUP, 500)]);
    assert_eq!(quota.current(3 * LEASE, GROUP).at(3 * LEASE), 1.0);
}

#[test]
fn the_longest_quota_datagrams_fit() {
    let line = GroupDemand { group: u64::MAX, rate: u32::MAX, requested: Milli::MIN };
    let longest = [
        Message::QuotaReport { term: u64::MAX, round: u32::MAX, number: u32::MAX, lines: vec![line; 11] },
        Message::Notification(
            petrelgauge_ownership::LeadershipRole { kind: u8::MAX, shard: u64::MAX },
            u64::MAX,
            Notification::QuotaRound { round: u32::MAX, mean_rates: vec![(u64::MAX, u32::MAX); 11] },
        ),
        Message::Notification(
            petrelgauge_ownership::LeadershipRole { kind: u8::MAX, shard: u64::MAX },
            u64::MAX,
            Notification::QuotaGrant { number: u32::MAX, granted: vec![(u64::MAX, Milli::MIN); 11] },
        ),
    ];
    for message in longest {
        let bytes = message.write(u16::MAX, u32::MAX, u64::MAX);
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes: {message:?}", bytes.len());
        assert_eq!(Message::read(&bytes, u32::MAX, u64::MAX), Ok((u16::MAX, message)));
    }
}

// The lease holder's and the asker's clocks at the slow end, the lender's at the fast one: what is lent ends soonest and what is
// granted lasts longest. Whenever the lease holder hears of either, and whenever the grant comes.
#[test]
fn grants_expire_before_the_loans_that_cover_them_at_any_drift() {
    let spans = settings(0, 3);
    let [slow, fast] = [1.0 - spans.drift_bound, 1.0 + spans.drift_bound]
        .map(|pace| move |at: Time| (at as f64 * pace) as Time);
    let (start, mut granted_at_all) = (10 * LEASE, 0);
    let rates = |rate| BTreeMap::from([(GROUP, rate)]);
    for step in 0..80 {
        for late in [0, LEASE / 4, LEASE / 2, LEASE] {
            for flight in [0, LEASE / 4, LEASE / 2] {
                let (mut lender, mut asker) =
                    (Quota::new(spans.clone(), 0, 1), Quota::new(spans.clone(), 0, 50));
                let mut pool = QuotaPool::new(spans.clone(), 1);
                let (round, _) = pool.open_round(slow(start) - 1);
                for (from, rate, requested) in [(0, 100, 0), (1, 1_000, 500)] {
                    pool.on_report(
                        slow(start) - 1,
                        from,
                        round,
                        &[GroupDemand { group: GROUP, rate, requested }],
                    );
                }
                let (round, means) = pool.open_round(slow(start));
                lender.on_round(fast(start), 1, round, &means[0]);
                let answer = lender.due_reports(fast(start), &rates(100)).remove(0);
                assert_eq!(answer.lines[0].requested, -MAX_LENT);
                pool.on_report(slow(start + late), 0, round, &answer.lines);
                let asked = start + late + step * LEASE / 40;
                let (round, means) = pool.open_round(slow(asked));
                asker.on_round(slow(asked), 1, round, &means[0]);
                let answer = asker.due_reports(slow(asked), &rates(1_000)).remove(0);
                let granted = pool.on_report(slow(asked), 1, round, &answer.lines);
                granted_at_all += granted.len();
                let comes = asked + flight;
                asker.on_grant(slow(comes), answer.number, &granted);
                for at in (comes..comes + 2 * LEASE).step_by(LEASE as usize / 400) {
                    let more = asker.current(slow(at), GROUP).at(slow(at)) - 1.0;
                    let less = lender.current(fast(at), GROUP).at(fast(at)) - 1.0;
                    assert!(
                        more + less < 1e-6,
                        "asked at {step}, late {late}, flight {flight}: {more} of {less}"
                    );
                }
            }
        }
    }
    assert!(granted_at_all > 50, "{granted_at_all} grants");
}

// Each datagram has eleven of them, and every one of these must be known again when it is granted.
#[test]
fn grants_for_the_maximum_number_of_groups_are_all_accepted() {
    let spans = settings(0, 3);
    let (mut lender, mut asker) = (Quota::new(spans.clone(), 0, 1), Quota::new(spans.clone(), 0, 50));
    let mut pool = QuotaPool::new(spans, 1);
    let groups = petrelgauge_ownership::quota::MAX_GROUPS as GroupId;
    let rates = |rate: u32| (0..groups).map(|group| (group, rate)).collect::<BTreeMap<_, _>>();
    let mut now = 10 * LEASE;
    for _ in 0..4 {
        let (round, pieces) = pool.open_round(now);
        for (from, quota, rate) in [(0, &mut lender, 100), (1, &mut asker, 1_000)] {
            pieces.iter().for_each(|means| quota.on_round(now, 1, round, means));
            // All are sent before the first is answered.
            let answers = quota.due_reports(now, &rates(rate));
            let granted: Vec<_> =
                answers.iter().map(|one| pool.on_report(now, from, round, &one.lines)).collect();
            answers.iter().zip(&granted).for_each(|(one, granted)| quota.on_grant(now, one.number, granted));
        }
        now += LEASE / 4;
    }
    let short = (0..groups).filter(|group| asker.current(now, *group).at(now) < 1.4).count();
    assert_eq!(short, 0, "groups of {groups} for which nothing is granted");
}
