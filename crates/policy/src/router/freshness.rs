//! Freshness: the commit that a read must see, and forecasts of a member's lag and sojourn (Ye and Hu,
//! section 4, with the changes described in the design document).

use super::concurrency::TARGET_SOJOURN;
use super::evidence::SAMPLES_KEPT;
use super::primary::PrimaryRank;
use super::Router;
use crate::interface::{MemberId, Need, Time};

/// Maximum number of commits drawn in one forecast.
const MAX_FORECAST_COMMITS: usize = 8 * SAMPLES_KEPT;
/// Minimum number of lag samples for estimating a trend.
const MIN_TREND_SAMPLES: usize = 3;
/// Minimum slope of a lag (microseconds per microsecond).
const MIN_LAG_SLOPE: f64 = -4.0;
/// Maximum slope of a lag (microseconds per microsecond): that of a replica that has stopped applying
/// commits.
const MAX_LAG_SLOPE: f64 = 1.0;
/// Factor applied to the drawn sojourn of a primary that is ranked behind the replicas.
const PRIMARY_PENALTY: f64 = 2.0;

impl Router {
    /// The latest commit that a read must see (hosts' clock); `None` if it has no freshness requirement.
    pub(super) fn forecast_commit(&mut self, sequence: u64) -> Option<Time> {
        let request = self.requests.get(&sequence)?;
        let minimum = request.minimum_position;
        let Need::Bounded(bound) = self.settings.classes[request.class].need else { return minimum };
        let horizon = self.host_clock.horizon(bound, self.now);
        let commits = &self.groups.get(&request.group)?.commits;
        let known = commits.partition_point(|commit| *commit <= horizon);
        if known < commits.len() || commits.len() < 2 {
            let newest = if known > 0 { commits[known - 1] } else { horizon };
            return minimum.max(Some(newest));
        }
        let last = commits[known - 1];
        let pairs = commits.iter().zip(commits.iter().skip(1));
        let gaps: Vec<Time> = pairs.map(|(earlier, later)| (later - earlier).max(1)).collect();
        minimum.max(Some(self.draw_last_commit(last, &gaps, horizon)))
    }

    /// Draws the last commit before the horizon by extrapolating from `last` with gaps resampled from `gaps`.
    fn draw_last_commit(&mut self, last: Time, gaps: &[Time], horizon: Time) -> Time {
        let mut commit = last;
        for _ in 0..MAX_FORECAST_COMMITS {
            let gap = gaps[(self.rng.next_u64() % gaps.len() as u64) as usize];
            if commit + gap > horizon {
                return commit;
            }
            commit += gap;
        }
        horizon
    }

    /// Draws a replication lag (microseconds): a recent sample, extrapolated by the trend of the member's
    /// samples. A member without samples is assumed to have no lag, so that it gets tried.
    pub(super) fn draw_lag(&mut self, id: MemberId) -> Time {
        let random = self.rng.next_u64() as usize;
        let Some(member) = self.members.get(&id).filter(|member| !member.is_primary()) else { return 0 };
        let recent = self.recent(&member.lags);
        let count = recent.clone().count();
        let (Some(first), Some(last)) = (recent.clone().next(), recent.clone().last()) else { return 0 };
        let span = (last.taken_at - first.taken_at).max(1);
        let slope = (last.value - first.value) as f64 / span as f64;
        let has_trend = count >= MIN_TREND_SAMPLES;
        let trend = if has_trend { slope.clamp(MIN_LAG_SLOPE, MAX_LAG_SLOPE) } else { 0.0 };
        let drawn = recent.clone().nth(random % count).unwrap_or(last);
        let change = trend * (self.now - drawn.taken_at) as f64;
        (drawn.value + change as Time).max(0)
    }

    /// Draws a sojourn (latency targets): a recent sample, scaled by the attempts in flight now. The fewer
    /// samples a member has, the more often a sample of any member is used instead: a router with little
    /// traffic rarely has recent answers of every member, and hundreds of routers must not all choose the
    /// same unknown member.
    pub(super) fn draw_sojourn(&mut self, id: MemberId, primary_rank: PrimaryRank) -> f64 {
        let random = self.rng.next_u64() as usize;
        let position = self.rng.uniform_sample();
        let Some(member) = self.members.get(&id) else { return TARGET_SOJOURN };
        let own = self.recent(&member.sojourns);
        let own_count = own.clone().count();
        let all = self.recent(&self.load.sojourns);
        let of_any_member = || all.clone().nth((position * all.clone().count() as f64) as usize);
        let drawn = own.clone().nth(random % (own_count + 1)).or_else(of_any_member);
        let sojourn = drawn.map_or(TARGET_SOJOURN * position, |sample| sample.value);
        let is_penalized = member.is_primary() && primary_rank == PrimaryRank::BehindReplicas;
        let penalty = if is_penalized { PRIMARY_PENALTY } else { 1.0 };
        sojourn * (1.0 + f64::from(member.in_flight)) * penalty
    }
}
