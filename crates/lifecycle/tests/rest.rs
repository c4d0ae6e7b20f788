//! Which connection to a host may carry a request after it has rested.

use petrelgauge_lifecycle::ending::End;
use petrelgauge_lifecycle::rest::{Keep, Look, Resting, RECENT, REST};
use petrelgauge_policy::Time;

const IDLE_SPAN: Time = 30_000_000;

#[test]
fn a_connection_that_its_host_closed_or_reset_is_never_used_and_counts_as_closed_while_idle() {
    let keep = Keep::for_hosts(IDLE_SPAN);
    for since in [0, REST, RECENT, keep.span, keep.span + 1] {
        for tells_copies in [false, true] {
            let resting = Resting { since: 0, tells_copies };
            assert_eq!(keep.may_use(since, resting, Look::Closed), Err(End::HostClosedIdle), "after {since}");
        }
    }
}

#[test]
fn a_connection_that_is_quiet_is_used_for_its_span() {
    let keep = Keep::for_hosts(IDLE_SPAN);
    let resting = Resting { since: 0, tells_copies: false };
    assert_eq!(keep.may_use(RECENT - 1, resting, Look::Quiet), Ok(true));
    assert_eq!(keep.may_use(RECENT, resting, Look::Quiet), Ok(false));
    assert_eq!(keep.may_use(keep.span, resting, Look::Quiet), Ok(false));
    assert_eq!(keep.may_use(keep.span + 1, resting, Look::Quiet), Err(End::Retired));
}
