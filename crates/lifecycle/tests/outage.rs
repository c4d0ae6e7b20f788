//! An outage of the discovery service of more than a minute, on a simulated clock: the gateway retries soon
//! enough to apply updates in time once the service has recovered, and requests the changes that it missed.

use petrelgauge_lifecycle::backoff::{Backoff, Cause};
use petrelgauge_lifecycle::watch::{WatchState, WATCH_TIMEOUT};
use petrelgauge_policy::{Time, Update};

const SECOND: Time = 1_000_000;
/// Time within which updates must be applied once the discovery service has recovered (microseconds).
const APPLIED_WITHIN: Time = 2 * SECOND;

/// Simulates a gateway whose calls each fail after `call_duration`, from time 0 until the discovery service
/// recovers. Returns how long after the recovery the next call begins, and the gateway's backoff.
fn pause_at_recovery(gateways: u32, seed: u64, call_duration: Time, recovery_at: Time) -> (Time, Backoff) {
    let mut backoff = Backoff::new(gateways, seed);
    let mut now = 0;
    loop {
        let pause = backoff.pause(Cause::Lost);
        now += call_duration + pause;
        if now >= recovery_at {
            return (now - recovery_at, backoff);
        }
    }
}

#[test]
fn the_first_call_after_a_long_outage_is_sent_in_time_in_any_fleet() {
    for gateways in [1, 20, 300, 900, 10_000] {
        for seed in 0..40 {
            for recovery_at in [61, 75, 90, 600].map(|seconds| seconds * SECOND + seed as Time * 37_003) {
                // Calls fail at once: only the pause delays the next call.
                let (delay, mut backoff) = pause_at_recovery(gateways, seed, 1_000, recovery_at);
                assert!(delay < APPLIED_WITHIN / 2, "{gateways} gateways, seed {seed}: delay {delay} us");
                // Calls get no answer: the one in flight at the recovery has to time out first.
                let (delay, _) = pause_at_recovery(gateways, seed, WATCH_TIMEOUT, recovery_at);
                assert!(
                    delay < WATCH_TIMEOUT + APPLIED_WITHIN / 2,
                    "{gateways} gateways, seed {seed}: delay {delay} us"
                );
                // A success resets the backoff: the pause after the next failure is short.
                backoff.reset();
                assert!(backoff.pause(Cause::Lost) < SECOND / 2);
            }
        }
    }
}

#[test]
fn the_list_of_a_recovered_service_is_applied_whether_its_revisions_are_older_or_newer() {
    let mut state = WatchState::default();
    assert!(state.on_update(41, Update::Complete));
    for _ in 0..200 {
        state.on_watch_opened();
        assert_eq!(state.resume_after(), Some(41), "changes during the outage are requested");
    }
    assert!(state.on_update(60, Update::Partial));
    // A service that lost its state restarts its numbering, with a complete list.
    state.on_watch_opened();
    assert!(state.on_update(3, Update::Complete));
    assert_eq!((state.needs_complete_list(), state.resume_after()), (false, Some(3)));
}
