//! Requests that wait are sent as soon as anything makes that possible, whatever event came last and wherever; and what a
//! router keeps beside its members and groups stays in line with them over takeovers, reloads and removals.

mod common;
use common::*;
use petrelgauge_policy::*;

/// A group without any member at the start, and one of a single member.
const EMPTY: GroupId = 50;
const SINGLE: GroupId = 60;
const ONLY_MEMBER: MemberId = 61;
/// What a member may have in flight before it has shown what it carries.
const FIRST_LIMIT: usize = 6;

fn request_to(group: GroupId, name: &str) -> Event {
    // A write may use all of its member.
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
    let entry = Entry { group: SINGLE, ..entry(ONLY_MEMBER, status, true, 0) };
    Event::List { update: Update::Partial, entries: vec![entry].into() }
}

/// An event that has nothing to do with any request.
fn unrelated() -> Event {
    Event::GossipedPrimary { member: 1, at: START }
}

fn with_single_group(settings: Settings) -> Harness {
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

/// Takes over from a router, as the next process of a gateway does.
fn taken_over(harness: &Harness, settings: Settings) -> Harness {
    let learned_state = harness.router.learned_state();
    let mut next = Harness::empty(settings);
    next.now = harness.now;
    next.router.adopt_learned_state(learned_state);
    next
}

#[test]
fn a_request_waits_for_the_end_of_its_members_ejection_and_is_sent_with_an_unrelated_event() {
    let mut harness = with_single_group(settings());
    assert!(sent(&harness.step(request_to(SINGLE, "r")), "r"));
    let again = harness.report_attempt("r", 0, ONLY_MEMBER, Ending::QueueFull);
    assert!(!sent(&again, "r"), "its member has just rejected it");
    harness.now += 60 * MS;
    assert!(sent(&harness.step(unrelated()), "r"));
}

#[test]
fn a_waiting_request_is_sent_when_another_frees_its_member() {
    let mut harness = with_single_group(settings());
    for n in 0..FIRST_LIMIT {
        assert!(sent(&harness.step(request_to(SINGLE, &format!("r{n}"))), &format!("r{n}")));
    }
    assert_eq!(sends(&harness.step(request_to(SINGLE, "waits"))), 0, "its member is at its limit");
    assert_eq!(sends(&harness.step(request("elsewhere", 2, 900 * MS, None))), 1, "another group is not");
    assert!(sent(&harness.report_attempt("r0", 0, ONLY_MEMBER, Ending::Served), "waits"));
}

#[test]
fn a_waiting_request_is_sent_when_its_group_gets_a_member() {
    let mut harness = Harness::new(settings());
    assert_eq!(sends(&harness.step(request_to(EMPTY, "r"))), 0);
    assert_eq!(sends(&harness.step(only_member(MemberStatus::Up))), 0, "that is another group's member");
    let entry = Entry { group: EMPTY, ..entry(51, MemberStatus::Up, true, 0) };
    let list_change = Event::List { update: Update::Partial, entries: vec![entry].into() };
    assert!(sent(&harness.step(list_change), "r"));
}

#[test]
fn waiting_requests_are_sent_when_their_group_gets_a_larger_quota() {
    let mut harness = with_single_group(settings());
    let quota = |extra| Event::QuotaAdjusted {
        group: SINGLE,
        adjustment: QuotaAdjustment { extra, until: START + 10_000 * MS },
    };
    harness.step(quota(-0.5));
    let first: usize =
        (0..FIRST_LIMIT).map(|n| sends(&harness.step(request_to(SINGLE, &format!("r{n}"))))).sum();
    assert_eq!(first, FIRST_LIMIT / 2);
    assert_eq!(sends(&harness.step(unrelated())), 0);
    assert_eq!(sends(&harness.step(quota(0.5))), FIRST_LIMIT / 2);
}

#[test]
fn a_waiting_request_is_sent_when_new_settings_allow_its_member() {
    let mut harness = with_single_group(settings());
    harness.step(only_member(MemberStatus::Removed));
    assert_eq!(sends(&harness.step(request_to(SINGLE, "r"))), 0);
    harness.router.apply_settings(Settings { soft_removal: true, ..settings() }).expect("sound settings");
    assert!(sent(&harness.step(unrelated()), "r"));
}

#[test]
fn waiting_requests_of_several_groups_are_sent_in_the_same_step() {
    let mut harness = Harness::new(settings());
    for group in EMPTY..EMPTY + 5 {
        assert_eq!(sends(&harness.step(request_to(group, &format!("r{group}")))), 0);
    }
    let member = |group| Entry { group, ..entry(group as MemberId + 100, MemberStatus::Up, true, 0) };
    let entries: Vec<Entry> = (EMPTY..EMPTY + 5).map(member).collect();
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
    let mut harness = with_single_group(settings());
    assert_eq!(sends(&harness.step(request_to(EMPTY, "old"))), 0);
    let mut next = taken_over(&harness, settings());
    let entry = Entry { group: EMPTY, ..entry(51, MemberStatus::Up, true, 0) };
    let list_change = Event::List { update: Update::Partial, entries: vec![entry].into() };
    assert_eq!(sends(&next.step(list_change)), 0, "the other process has that request");
    assert!(sent(&next.step(request_to(SINGLE, "new")), "new"));
}

#[test]
fn a_router_with_adopted_state_probes_members_that_were_in_doubt() {
    let mut harness = with_single_group(settings());
    harness.step(request_to(SINGLE, "r"));
    // Not answered for well over half of the longest latency target.
    let mut probes = false;
    for _ in 0..8 {
        probes |= probed(&harness.advance(50 * MS), ONLY_MEMBER);
    }
    assert!(probes, "a silent member is checked");
    let mut next = taken_over(&harness, settings());
    assert!(probed(&next.advance(200 * MS), ONLY_MEMBER), "and by the next process too");
}

#[test]
fn a_member_that_is_down_is_probed_until_it_answers() {
    let mut harness = with_single_group(settings());
    let result = |ending| Event::Probed { member: ONLY_MEMBER, ending, report: Report::default() };
    harness.step(result(Ending::TimedOut));
    for _ in 0..3 {
        assert!(probed(&harness.advance(400 * MS), ONLY_MEMBER));
        harness.step(result(Ending::TimedOut));
    }
    harness.advance(400 * MS);
    harness.step(result(Ending::Served));
    assert!(!probed(&harness.advance(400 * MS), ONLY_MEMBER), "it has answered");
}

#[test]
fn a_member_is_forgotten_a_minute_after_its_removal_and_not_before() {
    let mut harness = with_single_group(settings());
    harness.advance(100_000 * MS);
    harness.step(only_member(MemberStatus::Removed));
    harness.advance(59_000 * MS);
    assert!(is_known(&harness, ONLY_MEMBER), "an old list may name it again");
    harness.advance(2_000 * MS);
    assert!(!is_known(&harness, ONLY_MEMBER));
}

#[test]
fn a_removed_member_that_is_listed_again_within_a_minute_stays_known() {
    let mut harness = with_single_group(settings());
    harness.step(only_member(MemberStatus::Removed));
    harness.advance(30_000 * MS);
    harness.step(only_member(MemberStatus::Up));
    harness.advance(100_000 * MS);
    assert!(is_known(&harness, ONLY_MEMBER));
    harness.step(only_member(MemberStatus::Removed));
    harness.advance(59_000 * MS);
    assert!(is_known(&harness, ONLY_MEMBER), "its minute starts anew");
}

#[test]
fn adopted_state_keeps_the_remaining_time_of_a_removed_member() {
    let mut harness = with_single_group(settings());
    harness.advance(100_000 * MS);
    let mut next = taken_over(&harness, settings());
    next.step(only_member(MemberStatus::Removed));
    next.advance(59_000 * MS);
    assert!(is_known(&next, ONLY_MEMBER), "it was in service when the other process ended");
    let mut last = taken_over(&next, settings());
    last.advance(2_000 * MS);
    assert!(!is_known(&last, ONLY_MEMBER), "and was removed a minute ago");
}

#[test]
fn a_forgotten_member_that_is_listed_in_another_group_leaves_the_first_one() {
    let mut harness = with_single_group(settings());
    harness.step(only_member(MemberStatus::Removed));
    harness.advance(61_000 * MS);
    assert!(!is_known(&harness, ONLY_MEMBER));
    let moved = Entry { group: EMPTY, ..entry(ONLY_MEMBER, MemberStatus::Up, true, 0) };
    harness.step(Event::List { update: Update::Partial, entries: vec![moved].into() });
    harness.step(Event::GossipedPrimary { member: ONLY_MEMBER, at: harness.now });
    let primary = KnownPrimary { group: EMPTY, member: ONLY_MEMBER, evidence_at: harness.now };
    assert_eq!(harness.router.primaries(), [primary]);
}

/// Reads that a member which has just started gets, after 400 served reads elsewhere, among 40 members that left, and what
/// it may be sent a second.
fn sent_to_a_warming_member(soft_removal: bool) -> (usize, f64) {
    let mut harness = Harness::new(settings());
    let left = (100..140).map(|id| entry(id, MemberStatus::Removed, false, 0));
    harness.step(Event::List { update: Update::Partial, entries: left.collect() });
    harness.advance(100 * MS);
    harness.router.apply_settings(Settings { soft_removal, ..settings() }).expect("sound settings");
    harness.advance(100 * MS);
    for n in 0..400 {
        let sent = harness.send_request(&format!("r{n}"), 2, 900 * MS);
        harness.serve_all(sent, 20 * MS);
    }
    let started = Entry { group: SINGLE, ..entry(ONLY_MEMBER, MemberStatus::Up, true, harness.now) };
    harness.step(Event::List { update: Update::Partial, entries: vec![started].into() });
    harness.advance(1_100 * MS);
    let read = |n| {
        Event::Request(RequestArrival {
            request: format!("s{n}").into(),
            class: 2,
            group: SINGLE,
            time_left: 900 * MS,
            is_retry: false,
            minimum_position: None,
        })
    };
    let sent = (0..FIRST_LIMIT).map(|n| sends(&harness.step(read(n)))).sum();
    (sent, harness.router.slow_start(ONLY_MEMBER).expect("it is warming up").rate)
}

#[test]
fn new_settings_change_how_many_members_count_as_available() {
    let (sent, rate) = sent_to_a_warming_member(false);
    assert_eq!(sent, FIRST_LIMIT);
    let (sent_as_one_of_many, rate_as_one_of_many) = sent_to_a_warming_member(true);
    assert!(sent_as_one_of_many < FIRST_LIMIT, "it is one of many now");
    assert!(rate_as_one_of_many < rate / 10.0, "{rate_as_one_of_many} and {rate} a second");
}

fn is_final(action: &Action, name: &str) -> bool {
    matches!(action, Action::Reject { request, .. } | Action::Fail { request } if &**request == name)
}

/// When a request that nothing is sent for has its final answer, after settings changed in between.
fn ended_after(before: Settings, after: Settings) -> Time {
    let mut harness = Harness::new(before);
    harness.step(request_to(EMPTY, "r"));
    harness.router.apply_settings(after).expect("sound settings");
    let ends = |harness: &mut Harness| harness.advance(5 * MS).iter().any(|action| is_final(action, "r"));
    let ticks = (1..400).find(|_| ends(&mut harness)).expect("every request has its final answer");
    ticks * 5 * MS
}

#[test]
fn new_settings_change_when_an_open_request_expires() {
    let short = settings();
    let long = Settings { granularity: 50 * MS, ..settings() };
    // Half of 900 ms, less two times the granularity.
    assert_eq!(ended_after(short.clone(), short.clone()), 440 * MS);
    assert_eq!(ended_after(short.clone(), long.clone()), 350 * MS);
    assert_eq!(ended_after(long, short), 440 * MS);
}

#[test]
fn requests_that_expire_together_are_finished_in_the_order_of_arrival() {
    let mut harness = Harness::new(settings());
    for n in 0..4 {
        // Those that come later end a little earlier.
        let time_left = (900 - n) * MS;
        let name = format!("r{n}");
        let event = Event::Request(RequestArrival {
            request: name.into(),
            class: 5,
            group: EMPTY,
            time_left,
            is_retry: false,
            minimum_position: None,
        });
        harness.step(event);
    }
    let actions = harness.advance(600 * MS);
    let ended: Vec<&str> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Reject { request, .. } => Some(&**request),
            _ => None,
        })
        .collect();
    assert_eq!(ended, ["r0", "r1", "r2", "r3"]);
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
        // Also those that were not served.
        harness.advance(2_000 * MS);
        format!("{:?}", harness.router).len()
    };
    let first = size_after(500);
    let second = size_after(2_000);
    assert!(second < first + first / 10, "{first} bytes of text after 500 requests, {second} after 2,500");
}
