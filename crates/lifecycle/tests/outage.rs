//! An outage of the discovery service of over a minute, with a simulated clock: the gateway retries soon
//! enough that the updates after the return are applied in time, and requests the changes that it missed.

use petrelgauge_lifecycle::backoff::{Backoff, Cause};
use petrelgauge_lifecycle::watch::{WatchState, WATCH_TIMEOUT};
use petrelgauge_policy::{Time, Update};

const SECOND: Time = 1_000_000;
/// Updates at the return of the discovery service are to be applied within this time (microseconds).
const APPLIED_WITHIN: Time = 2 * SECOND;

/// Simulates a gateway whose calls fail after `call` each from 0 on. Returns how long after the return of the
/// discovery service the next call begins.
fn pause_at_return(gateways: u32, seed: u64, call: Time, returns: Time) -> (Time, Backoff) {
    let mut backoff = Backoff::new(gateways, seed);
    let mut now = 0;
    loop {
        let pause = backoff.pause(Cause::Lost);
        now += call + pause;
        if now >= returns {
            return (now - returns, backoff);
        }
    }
}

#[test]
fn the_first_call_after_a_long_outage_comes_in_time_in_any_fleet() {
    for gateways in [1, 20, 300, 900, 10_000] {
        for seed in 0..40 {
            for returns in [61, 75, 90, 600].map(|seconds| seconds * SECOND + seed as Time * 37_003) {
                // Rejected at once: the gateway only waits for the pause.
                let (late, mut backoff) = pause_at_return(gateways, seed, 1_000, returns);
                assert!(late < APPLIED_WITHIN / 2, "{gateways} gateways, seed {seed}: {late} us late");
                // Calls that are not answered: the one in flight at the return has to time out.
                let (late, _) = pause_at_return(gateways, seed, WATCH_TIMEOUT, returns);
                assert!(
                    late < WATCH_TIMEOUT + APPLIED_WITHIN / 2,
                    "{gateways} gateways, seed {seed}: {late} us late"
                );
                // The outage leaves no trace: the pause after the next fault is short.
                backoff.reset();
                assert!(backoff.pause(Cause::Lost) < SECOND / 2);
            }
        }
    }
}

#[test]
fn a_service_returning_with_old_or_new_revisions_is_followed() {
    let mut state = WatchState::default();
    assert!(state.on_update(41, Update::Complete));
    for _ in 0..200 {
        state.on_watch_opened();
        assert_eq!(state.resume_after(), Some(41), "what changed during the outage is asked for");
    }
    assert!(state.on_update(60, Update::Partial));
    // A service that lost its state restarts its numbering, with a complete list.
    state.on_watch_opened();
    assert!(state.on_update(3, Update::Complete));
    assert_eq!((state.needs_complete_list(), state.resume_after()), (false, Some(3)));
}
