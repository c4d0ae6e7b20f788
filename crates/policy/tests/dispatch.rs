//! Queued requests are sent as soon as any change makes that possible, whichever event the router was stepped
//! with. The indexes that a router keeps over its members and groups stay consistent across adopted state,
//! reloads and removals.

mod common;
use common::*;
use petrelgauge_policy::*;

/// A group without members at the start.
const EMPTY_GROUP: GroupId = 50;
/// A group with a single member.
const SINGLE_MEMBER_GROUP: GroupId = 60;
const ONLY_MEMBER: MemberId = 61;
/// The concurrency limit of a member before it has served any request.
const INITIAL_LIMIT: usize = 6;

fn request_to(group: GroupId, name: &str) -> Event {
    // A write may use the whole concurrency limit of its member.
    Event::Request(RequestArrival {
        request: name.into(),
        class: 5,
        group,
        time_left: 900 * MS,
        is_retry: false,
        minimum_position: None,
    })
}

fn only_member(status: MemberStatus) -> Event {
    let entry = Entry { group: SINGLE_MEMBER_GROUP, ..entry(ONLY_MEMBER, status, true, 0) };
    Event::List { update: Update::Partial, entries: vec![entry].into() }
}

/// An event that concerns no request.
fn unrelated_event() -> Event {
    Event::GossipedPrimary { member: 1, at: START }
}

fn with_single_member_group(settings: Settings) -> Harness {
    let mut harness = Harness::new(settings);
    harness.step(only_member(MemberStatus::Up));
    harness
}

fn sent(actions: &[Action], name: &str) -> bool {
    actions.iter().any(|action| matches!(action, Action::Send { request, .. } if &**request == name))
}

fn probed(actions: &[Action], id: MemberId) -> bool {
    actions.iter().any(|action| matches!(action, Action::Probe { member } if *member == id))
}

fn is_known(harness: &Harness, id: MemberId) -> bool {
    harness.router.group_of(id).is_some()
}

/// A new router that adopts the learned state of this one, as the next process of a gateway does.
fn with_adopted_state(harness: &Harness, settings: Settings) -> Harness {
    let learned_state = harness.router.learned_state();
    let mut next = Harness::empty(settings);
    next.now = harness.now;
    next.router.adopt_learned_state(learned_state);
    next
}

#[test]
fn a_request_waits_until_its_members_ejection_ends_and_is_sent_on_an_unrelated_event() {
    let mut harness = with_single_member_group(settings());
    assert!(sent(&harness.step(request_to(SINGLE_MEMBER_GROUP, "r")), "r"));
    let retry = harness.report_attempt("r", 0, ONLY_MEMBER, Ending::QueueFull);
    assert!(!sent(&retry, "r"), "its member has just rejected it");
    harness.now += 60 * MS;
    assert!(sent(&harness.step(unrelated_event()), "r"));
}

#[test]
fn a_queued_request_is_sent_when_another_one_finishes() {
    let mut harness = with_single_member_group(settings());
    for n in 0..INITIAL_LIMIT {
        assert!(sent(&harness.step(request_to(SINGLE_MEMBER_GROUP, &format!("r{n}"))), &format!("r{n}")));
    }
    assert_eq!(
        sends(&harness.step(request_to(SINGLE_MEMBER_GROUP, "waits"))),
        0,
        "the member is at its limit"
    );
    assert_eq!(
        sends(&harness.step(request("elsewhere", 2, 900 * MS, None))),
        1,
        "the member of another group is not"
    );
    assert!(sent(&harness.report_attempt("r0", 0, ONLY_MEMBER, Ending::Served), "waits"));
}

#[test]
fn a_queued_request_is_sent_when_its_group_gets_a_member() {
    let mut harness = Harness::new(settings());
    assert_eq!(sends(&harness.step(request_to(EMPTY_GROUP, "r"))), 0);
    assert_eq!(sends(&harness.step(only_member(MemberStatus::Up))), 0, "that member is in another group");
    let entry = Entry { group: EMPTY_GROUP, ..entry(51, MemberStatus::Up, true, 0) };
    let list_change = Event::List { update: Update::Partial, entries: vec![entry].into() };
    assert!(sent(&harness.step(list_change), "r"));
}

#[test]
fn queued_requests_are_sent_when_their_group_gets_a_larger_quota() {
    let mut harness = with_single_member_group(settings());
    let quota = |extra| Event::QuotaAdjusted {
        group: SINGLE_MEMBER_GROUP,
        adjustment: QuotaAdjustment { extra, until: START + 10_000 * MS },
    };
    harness.step(quota(-0.5));
    let first: usize = (0..INITIAL_LIMIT)
        .map(|n| sends(&harness.step(request_to(SINGLE_MEMBER_GROUP, &format!("r{n}")))))
        .sum();
    assert_eq!(first, INITIAL_LIMIT / 2);
    assert_eq!(sends(&harness.step(unrelated_event())), 0);
    assert_eq!(sends(&harness.step(quota(0.5))), INITIAL_LIMIT / 2);
}

#[test]
fn a_queued_request_is_sent_when_new_settings_allow_its_member() {
    let mut harness = with_single_member_group(settings());
    harness.step(only_member(MemberStatus::Removed));
    assert_eq!(sends(&harness.step(request_to(SINGLE_MEMBER_GROUP, "r"))), 0);
    harness.router.apply_settings(Settings { soft_removal: true, ..settings() }).expect("sound settings");
    assert!(sent(&harness.step(unrelated_event()), "r"));
}

#[test]
fn queued_requests_of_several_groups_are_sent_in_the_same_step() {
    let mut harness = Harness::new(settings());
    for group in EMPTY_GROUP..EMPTY_GROUP + 5 {
        assert_eq!(sends(&harness.step(request_to(group, &format!("r{group}")))), 0);
    }
    let member = |group| Entry { group, ..entry(group as MemberId + 100, MemberStatus::Up, true, 0) };
    let entries: Vec<Entry> = (EMPTY_GROUP..EMPTY_GROUP + 5).map(member).collect();
    let sent = harness.step(Event::List { update: Update::Partial, entries: entries.into() });
    let names: Vec<&str> = sent
        .iter()
        .filter_map(|action| match action {
            Action::Send { request, .. } => Some(&**request),
            _ => None,
        })
        .collect();
    assert_eq!(names, ["r50", "r51", "r52", "r53", "r54"]);
}

#[test]
fn a_router_with_adopted_state_serves_its_own_requests_only() {
    let mut harness = with_single_member_group(settings());
    assert_eq!(sends(&harness.step(request_to(EMPTY_GROUP, "old"))), 0);
    let mut next = with_adopted_state(&harness, settings());
    let entry = Entry { group: EMPTY_GROUP, ..entry(51, MemberStatus::Up, true, 0) };
    let list_change = Event::List { update: Update::Partial, entries: vec![entry].into() };
    assert_eq!(sends(&next.step(list_change)), 0, "that request belongs to the other process");
    assert!(sent(&next.step(request_to(SINGLE_MEMBER_GROUP, "new")), "new"));
}

#[test]
fn a_router_with_adopted_state_probes_members_that_were_in_doubt() {
    let mut harness = with_single_member_group(settings());
    harness.step(request_to(SINGLE_MEMBER_GROUP, "r"));
    // No answer for well over half of the longest latency target.
    let mut probes = false;
    for _ in 0..8 {
        probes |= probed(&harness.advance(50 * MS), ONLY_MEMBER);
    }
    assert!(probes, "a silent member is probed");
    let mut next = with_adopted_state(&harness, settings());
    assert!(probed(&next.advance(200 * MS), ONLY_MEMBER), "it is probed by the next process too");
}

#[test]
fn a_member_that_is_down_is_probed_until_it_answers() {
    let mut harness = with_single_member_group(settings());
    let result = |ending| Event::Probed { member: ONLY_MEMBER, ending, report: Report::default() };
    harness.step(result(Ending::TimedOut));
    for _ in 0..3 {
        assert!(probed(&harness.advance(400 * MS), ONLY_MEMBER));
        harness.step(result(Ending::TimedOut));
    }
    harness.advance(400 * MS);
    harness.step(result(Ending::Served));
    assert!(!probed(&harness.advance(400 * MS), ONLY_MEMBER), "it has answered the last probe");
}

#[test]
fn a_member_is_forgotten_a_minute_after_its_removal_and_not_before() {
    let mut harness = with_single_member_group(settings());
    harness.advance(100_000 * MS);
    harness.step(only_member(MemberStatus::Removed));
    harness.advance(59_000 * MS);
    assert!(is_known(&harness, ONLY_MEMBER), "an old list may contain it again");
    harness.advance(2_000 * MS);
    assert!(!is_known(&harness, ONLY_MEMBER));
}

#[test]
fn a_removed_member_that_is_listed_again_within_a_minute_stays_known() {
    let mut harness = with_single_member_group(settings());
    harness.step(only_member(MemberStatus::Removed));
    harness.advance(30_000 * MS);
    harness.step(only_member(MemberStatus::Up));
    harness.advance(100_000 * MS);
    assert!(is_known(&harness, ONLY_MEMBER));
    harness.step(only_member(MemberStatus::Removed));
    harness.advance(59_000 * MS);
    assert!(is_known(&harness, ONLY_MEMBER), "the minute starts again");
}

#[test]
fn adopted_state_keeps_the_remaining_time_of_a_removed_member() {
    let mut harness = with_single_member_group(settings());
    harness.advance(100_000 * MS);
    let mut next = with_adopted_state(&harness, settings());
    next.step(only_member(MemberStatus::Removed));
    next.advance(59_000 * MS);
    assert!(is_known(&next, ONLY_MEMBER), "it was listed when the other process ended");
    let mut last = with_adopted_state(&next, settings());
    last.advance(2_000 * MS);
    assert!(!is_known(&last, ONLY_MEMBER), "it was removed a minute ago");
}

#[test]
fn a_forgotten_member_that_is_listed_in_another_group_leaves_the_first_one() {
    let mut harness = with_single_member_group(settings());
    harness.step(only_member(MemberStatus::Removed));
    harness.advance(61_000 * MS);
    assert!(!is_known(&harness, ONLY_MEMBER));
    let moved = Entry { group: EMPTY_GROUP, ..entry(ONLY_MEMBER, MemberStatus::Up, true, 0) };
    harness.step(Event::List { update: Update::Partial, entries: vec![moved].into() });
    harness.step(Event::GossipedPrimary { member: ONLY_MEMBER, at: harness.now });
    let primary = KnownPrimary { group: EMPTY_GROUP, member: ONLY_MEMBER, evidence_at: harness.now };
    assert_eq!(harness.router.primaries(), [primary]);
}

/// Serves 400 reads at other members and then starts a member, in a deployment from which 40 members have
/// been removed. Returns the number of reads that it is sent and the rate that slow start allows it (requests
/// a second).
fn sent_to_a_warming_member(soft_removal: bool) -> (usize, f64) {
    let mut harness = Harness::new(settings());
    let removed = (100..140).map(|id| entry(id, MemberStatus::Removed, false, 0));
    harness.step(Event::List { update: Update::Partial, entries: removed.collect() });
    harness.advance(100 * MS);
    harness.router.apply_settings(Settings { soft_removal, ..settings() }).expect("sound settings");
    harness.advance(100 * MS);
    for n in 0..400 {
        let sent = harness.send_request(&format!("r{n}"), 2, 900 * MS);
        harness.serve_all(sent, 20 * MS);
    }
    let started =
        Entry { group: SINGLE_MEMBER_GROUP, ..entry(ONLY_MEMBER, MemberStatus::Up, true, harness.now) };
    harness.step(Event::List { update: Update::Partial, entries: vec![started].into() });
    harness.advance(1_100 * MS);
    let read = |n| {
        Event::Request(RequestArrival {
            request: format!("s{n}").into(),
            class: 2,
            group: SINGLE_MEMBER_GROUP,
            time_left: 900 * MS,
            is_retry: false,
            minimum_position: None,
        })
    };
    let sent = (0..INITIAL_LIMIT).map(|n| sends(&harness.step(read(n)))).sum();
    (sent, harness.router.slow_start(ONLY_MEMBER).expect("it is warming up").rate)
}

#[test]
fn new_settings_change_how_many_members_count_as_available() {
    let (sent, rate) = sent_to_a_warming_member(false);
    assert_eq!(sent, INITIAL_LIMIT);
    let (sent_as_one_of_many, rate_as_one_of_many) = sent_to_a_warming_member(true);
    assert!(sent_as_one_of_many < INITIAL_LIMIT, "it is one of many members");
    assert!(rate_as_one_of_many < rate / 10.0, "{rate_as_one_of_many} and {rate} a second");
}

fn is_final(action: &Action, name: &str) -> bool {
    matches!(action, Action::Reject { request, .. } | Action::Fail { request } if &**request == name)
}

/// Changes the settings while a request is queued that cannot be sent. Returns the time until its final
/// answer.
fn time_to_final_answer(before: Settings, after: Settings) -> Time {
    let mut harness = Harness::new(before);
    harness.step(request_to(EMPTY_GROUP, "r"));
    harness.router.apply_settings(after).expect("sound settings");
    let is_answered =
        |harness: &mut Harness| harness.advance(5 * MS).iter().any(|action| is_final(action, "r"));
    let ticks = (1..400).find(|_| is_answered(&mut harness)).expect("every request has its final answer");
    ticks * 5 * MS
}

#[test]
fn new_settings_change_when_an_open_request_expires() {
    let short = settings();
    let long = Settings { granularity: 50 * MS, ..settings() };
    // Half of 900 ms, minus twice the granularity.
    assert_eq!(time_to_final_answer(short.clone(), short.clone()), 440 * MS);
    assert_eq!(time_to_final_answer(short.clone(), long.clone()), 350 * MS);
    assert_eq!(time_to_final_answer(long, short), 440 * MS);
}

#[test]
fn requests_that_expire_together_are_finished_in_the_order_of_arrival() {
    let mut harness = Harness::new(settings());
    for n in 0..4 {
        // Requests that arrive later have a slightly earlier deadline.
        let time_left = (900 - n) * MS;
        let name = format!("r{n}");
        let event = Event::Request(RequestArrival {
            request: name.into(),
            class: 5,
            group: EMPTY_GROUP,
            time_left,
            is_retry: false,
            minimum_position: None,
        });
        harness.step(event);
    }
    let actions = harness.advance(600 * MS);
    let rejected: Vec<&str> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Reject { request, .. } => Some(&**request),
            _ => None,
        })
        .collect();
    assert_eq!(rejected, ["r0", "r1", "r2", "r3"]);
}

#[test]
fn closed_requests_leave_no_state_behind() {
    let mut harness = Harness::new(settings());
    let mut size_after = |rounds: usize| {
        for n in 0..rounds {
            let sent = harness.send_request(&format!("{}-{n}", harness.now), n % 6, 900 * MS);
            harness.serve_all(sent, 20 * MS);
            harness.advance(5 * MS);
        }
        // Requests that were not served expire.
        harness.advance(2_000 * MS);
        format!("{:?}", harness.router).len()
    };
    let first = size_after(500);
    let second = size_after(2_000);
    assert!(second < first + first / 10, "{first} bytes of text after 500 requests, {second} after 2,500");
}
