//! Which idle connection to a host may carry a request.

use petrelgauge_lifecycle::ending::End;
use petrelgauge_lifecycle::idle_connection::{
    IdleConnection, IdlePolicy, SocketState, DUPLICATE_WINDOW, SETTLE_TIME,
};
use petrelgauge_policy::Time;

const HOST_IDLE_TIMEOUT: Time = 30_000_000;

#[test]
fn a_connection_closed_by_its_host_is_never_reused() {
    let policy = IdlePolicy::for_hosts(HOST_IDLE_TIMEOUT);
    for idle_time in [0, SETTLE_TIME, DUPLICATE_WINDOW, policy.max_idle, policy.max_idle + 1] {
        for detects_duplicates in [false, true] {
            let connection = IdleConnection { since: 0, detects_duplicates };
            assert_eq!(
                policy.may_use(idle_time, connection, SocketState::Closed),
                Err(End::HostClosedIdle),
                "idle for {idle_time}"
            );
        }
    }
}

#[test]
fn a_quiet_connection_is_reused_within_its_idle_timeout() {
    let policy = IdlePolicy::for_hosts(HOST_IDLE_TIMEOUT);
    let connection = IdleConnection { since: 0, detects_duplicates: false };
    assert_eq!(policy.may_use(DUPLICATE_WINDOW - 1, connection, SocketState::Quiet), Ok(true));
    assert_eq!(policy.may_use(DUPLICATE_WINDOW, connection, SocketState::Quiet), Ok(false));
    assert_eq!(policy.may_use(policy.max_idle, connection, SocketState::Quiet), Ok(false));
    assert_eq!(policy.may_use(policy.max_idle + 1, connection, SocketState::Quiet), Err(End::Retired));
}
