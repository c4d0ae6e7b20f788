//! The pause before something that all gateways ask of one service is tried again: exponential backoff with full
//! jitter, of a length that the number of gateways sets.
//!
//! What is harmless of one gateway is not of a hundred: with a fixed pause of 200 ms they call 500 times a second, all
//! of them after the same instant, and a service that can answer fewer turns nearly all of them away, for good.

use petrelgauge_policy::Time;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Pause that one gateway keeps on average before its first try (microseconds), and the part of it for each further
/// gateway: together they try so many times a second.
const FIRST: Time = 200_000;
const EACH: Time = 25_000;
/// Most doublings (count), and the longest mean (microseconds), so that no pause is over twice that: what the service
/// has to tell counts as told some seconds after it happened, whether it was asked or not.
const DOUBLINGS: u32 = 2;
const LONGEST: Time = 4_000_000;

/// The pauses of one gateway.
#[derive(Clone, Debug)]
pub struct Backoff {
    mean: Time,
    failures: u32,
    dice: Pcg64Mcg,
}

impl Backoff {
    /// For one of so many gateways. The seed is its only source of chance.
    pub fn new(gateways: u32, seed: u64) -> Backoff {
        let mean = EACH.saturating_mul(gateways.into()).clamp(FIRST, LONGEST);
        Backoff { mean, failures: 0, dice: Pcg64Mcg::seed_from_u64(seed) }
    }

    /// The pause before the very first try, for one that can do without for a while. A release starts most gateways at
    /// once, and a call that waits in vain takes the service's time all the same: a few gateways may all call at once,
    /// many may not.
    pub fn first(&mut self) -> Time {
        if self.mean > FIRST {
            self.up_to(2 * self.mean)
        } else {
            0
        }
    }

    /// It worked: the next pause is a first one again.
    pub fn worked(&mut self) {
        self.failures = 0;
    }

    /// The pause after a failure: any span up to twice the mean, the mean doubling with each failure in a row.
    pub fn pause(&mut self) -> Time {
        let mean = self.mean.saturating_mul(1 << self.failures.min(DOUBLINGS)).min(LONGEST);
        self.failures = self.failures.saturating_add(1);
        self.up_to(2 * mean)
    }

    fn up_to(&mut self, span: Time) -> Time {
        (self.dice.next_u64() % span.max(1) as u64) as Time
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Plays gateways that all start at 0 before a service that takes 60 ms for a call, in turn, and turns away what has
    /// waited for 2 s, which takes its time all the same; gives when the last one got through (microseconds), if all
    /// did within 20 s.
    fn all_through(gateways: u32, pauses: impl Fn(&mut Backoff, bool) -> Time) -> Option<Time> {
        let starts = (0..gateways).map(|n| Backoff::new(gateways, 77 + u64::from(n)));
        let mut calls: Vec<(Time, Backoff)> = starts.map(|mut one| (pauses(&mut one, true), one)).collect();
        let (mut free_at, mut last) = (0, 0);
        while !calls.is_empty() {
            let next = (0..calls.len()).min_by_key(|n| calls[*n].0).unwrap_or_default();
            let (at, mut backoff) = calls.swap_remove(next);
            free_at = Time::max(free_at, at) + 60_000;
            if free_at - at <= 2_000_000 {
                last = last.max(free_at);
            } else {
                calls.push((at + 2_000_000 + pauses(&mut backoff, false), backoff));
            }
            if at > 20_000_000 {
                return None;
            }
        }
        Some(last)
    }

    #[test]
    fn a_hundred_gateways_get_through_to_a_service_that_a_fixed_pause_keeps_overbooked() {
        let fixed = |_: &mut Backoff, first| if first { 0 } else { FIRST };
        assert_eq!(all_through(100, fixed), None, "all of them at once, each time");
        let jittered = |one: &mut Backoff, first| if first { one.first() } else { one.pause() };
        let last = all_through(100, jittered).expect("all get through");
        assert!(last <= 12_000_000, "the last one after {last} us");
        assert!(all_through(70, jittered).is_some_and(|last| last <= 8_000_000));
    }

    #[test]
    fn a_few_gateways_call_at_once() {
        assert!((1..=8).all(|gateways| Backoff::new(gateways, 5).first() == 0));
    }

    #[test]
    fn pauses_are_bounded_and_differ_between_gateways() {
        for gateways in [1, 5, 100, u32::MAX] {
            let (mut one, mut other) = (Backoff::new(gateways, 1), Backoff::new(gateways, 2));
            let pauses: Vec<Time> = (0..200).map(|_| one.pause()).collect();
            assert!(pauses.iter().all(|pause| (0..2 * LONGEST).contains(pause)));
            assert!((0..200).any(|n| other.pause() != pauses[n]));
        }
    }

    #[test]
    fn a_success_begins_anew() {
        let mut backoff = Backoff::new(1, 3);
        for _ in 0..20 {
            backoff.pause();
        }
        backoff.worked();
        assert!(backoff.pause() < 2 * FIRST);
    }
}
