//! Invalid events and settings, and the dependence of actions on nothing but events.

mod common;
use common::*;
use petrelgauge_policy::*;

#[test]
fn events_about_unknown_requests_members_and_classes_are_harmless() {
    let mut harness = Harness::new(settings());
    harness.report_attempt("never-seen", 3, 99, Ending::Served);
    harness.step(Event::Abandoned { request: "never-seen".into() });
    harness.step(Event::Probed { member: 99, ending: Ending::TimedOut, report: Report::default() });
    harness.step(Event::List { update: Update::Complete, entries: [].into() });
    let malformed = Report { position: Some(Time::MAX), role: None, waiting: Some(f64::NAN), busy: None };
    harness.step(Event::Probed { member: 1, ending: Ending::Served, report: malformed });
    let unknown = harness.step(Event::Request(RequestArrival {
        request: "far".into(),
        class: 99,
        group: 1,
        time_left: 0,
        is_retry: true,
        minimum_position: None,
    }));
    assert!(rejected(&unknown), "a request of an unknown class gets its final answer");
    assert_eq!(sends(&harness.send_request("r", 0, 900 * MS)), 0, "the group has no member that is up");
    let mut all = Vec::new();
    for _ in 0..250 {
        all.extend(harness.advance(5 * MS));
    }
    assert!(rejected(&all));
}

#[test]
fn invalid_settings_are_rejected_with_a_specific_error() {
    let no_classes = Settings { classes: vec![], ..settings() };
    assert_eq!(Router::new(no_classes, 1).err(), Some(SettingsError::NoClasses));
    let mut bad = settings();
    bad.classes[2].latency_target = 0;
    assert_eq!(Router::new(bad, 1).err(), Some(SettingsError::InvalidClass(2)));
    for routers in [0, 10_001, u32::MAX] {
        let bad = Settings { routers, ..settings() };
        assert_eq!(Router::new(bad, 1).err(), Some(SettingsError::InvalidValue("the number of routers")));
    }
    assert!(Router::new(Settings { routers: 100, ..settings() }, 1).is_ok());
    let mut bad = settings();
    bad.classes[1].attempts = 0;
    assert_eq!(
        Router::new(bad, 1).err(),
        Some(SettingsError::InvalidValue("the maximum number of attempts"))
    );
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = |second_router_active: bool| {
        let mut one = Harness::new(settings());
        let mut two = Harness::new(settings());
        let mut all = Vec::new();
        for n in 0..200 {
            let name = format!("r{n}");
            let actions = one.send_request(&name, n % 6, 900 * MS);
            if let Some(member) = sent_to(&actions) {
                all.extend(one.report_attempt(&name, 0, member, Ending::Served));
            }
            all.extend(actions);
            all.extend(one.advance(5 * MS));
            if second_router_active {
                two.send_request(&name, 2, 500 * MS);
                two.advance(7 * MS);
            }
        }
        all
    };
    assert_eq!(run(false), run(true), "the actions of a router depend on its own events alone");
}
