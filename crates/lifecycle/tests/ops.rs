//! Commands of the operators' address: parsing, replies and effect on the gateway.

use petrelgauge_lifecycle::gateway::{
    Action, Event, Gateway, GatewayState, ServingState, LOAD_BALANCER_NOTICE,
};
use petrelgauge_lifecycle::ops::{execute, parse, Command, CommandError, ReadinessInputs, MAX_LINE_BYTES};
use petrelgauge_policy::Time;

const READY_INPUTS: ReadinessInputs =
    ReadinessInputs { hosts: 3, list_received: true, accept_initial_list_at: 0, settings_version: 1 };

fn reply_is_yes(gateway: &mut Gateway, now: Time, command: Command) -> bool {
    execute(gateway, now, command, READY_INPUTS).reply.yes
}

#[test]
fn only_exact_commands_with_optional_surrounding_space_are_parsed() {
    assert_eq!(parse(b"ready"), Ok(Command::Ready));
    assert_eq!(parse(b" drain \r"), Ok(Command::Drain));
    assert_eq!(parse(b"resume"), Ok(Command::Resume));
    for line in [&b""[..], b"READY", b"ready now", b"rea", b"\xff\xfe"] {
        assert_eq!(parse(line), Err(CommandError::Unknown));
    }
    assert_eq!(parse(&[b' '; MAX_LINE_BYTES + 1]), Err(CommandError::TooLong));
}

#[test]
fn draining_and_resuming_are_idempotent() {
    let mut gateway = Gateway::default();
    assert!(reply_is_yes(&mut gateway, 0, Command::Resume), "at work already");
    assert!(reply_is_yes(&mut gateway, 0, Command::Drain) && !reply_is_yes(&mut gateway, 1, Command::Ready));
    assert_eq!(
        (gateway.serving_state(), gateway.timeout_at()),
        (ServingState::Unready, Some(LOAD_BALANCER_NOTICE))
    );
    // The second command does not extend the period that the first one started.
    assert!(reply_is_yes(&mut gateway, LOAD_BALANCER_NOTICE / 2, Command::Drain));
    assert_eq!(gateway.timeout_at(), Some(LOAD_BALANCER_NOTICE));
    assert_eq!(gateway.on(LOAD_BALANCER_NOTICE, Event::Timeout), Action::ApplyServingState);
    assert_eq!((gateway.serving_state(), gateway.timeout_at()), (ServingState::Draining, None));
    assert!(
        reply_is_yes(&mut gateway, LOAD_BALANCER_NOTICE, Command::Drain)
            && !reply_is_yes(&mut gateway, LOAD_BALANCER_NOTICE, Command::Ready)
    );
    assert!(
        reply_is_yes(&mut gateway, 9_000_000, Command::Resume)
            && reply_is_yes(&mut gateway, 9_000_000, Command::Ready)
    );
    assert_eq!(gateway.serving_state(), ServingState::Serving);
}

#[test]
fn a_stopping_gateway_rejects_every_command_and_keeps_stopping() {
    let mut gateway = Gateway::default();
    gateway.on(0, Event::Drain);
    gateway.on(0, Event::Stop);
    for command in [Command::Ready, Command::Drain, Command::Resume] {
        assert!(!reply_is_yes(&mut gateway, 1, command));
    }
    assert!(matches!(gateway.state(), GatewayState::StopAnnounced { .. }));
}

#[test]
fn readiness_needs_listed_hosts_and_a_received_list_or_an_expired_wait() {
    let ready = |now, hosts, list_received| {
        let inputs =
            ReadinessInputs { hosts, list_received, accept_initial_list_at: 100, settings_version: 1 };
        execute(&mut Gateway::default(), now, Command::Ready, inputs).reply.yes
    };
    assert!(!ready(0, 0, true) && !ready(200, 0, false), "no host is listed");
    assert!(ready(0, 1, true));
    assert!(!ready(99, 1, false) && ready(100, 1, false));
}

#[test]
fn a_reload_is_applied_while_drained() {
    let mut gateway = Gateway::default();
    gateway.on(0, Event::Drain);
    assert_eq!(gateway.on(0, Event::Reload { usable: true }), Action::ApplySettings);
    assert_eq!(gateway.on(0, Event::Reload { usable: false }), Action::KeepSettings);
    assert_eq!(gateway.serving_state(), ServingState::Unready);
}
