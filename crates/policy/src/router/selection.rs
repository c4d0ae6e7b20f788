//! Selection of the member for a read: trials over the usable members, the smallest number of readers that is
//! fresh often enough, and the quickest of these (Ye and Hu, section 4, as the design page adapts it).

use super::Router;
use crate::interface::{MemberId, Time};

/// Trials of one forecast (count): enough to tell a stale share of a tenth; the paper leaves it open.
const TRIALS: u32 = 24;
/// Allowed share of stale reads (fraction). A rejection costs little where members reject by themselves.
const ALLOWED_STALE_SHARE: f64 = 0.15;

/// A member, by its place among the usable ones, with what a trial drew for it.
struct Draw {
    sojourn: f64,
    place: usize,
    is_fresh: bool,
}

/// What the trials showed.
struct TrialCounts {
    /// How often each member was fresh.
    fresh: Vec<u32>,
    /// How often the quickest fresh member was the one of this rank.
    first_fresh_rank: Vec<u32>,
}

impl TrialCounts {
    /// The smallest number of quickest members of which one was fresh often enough.
    fn readers(&self, wanted: f64) -> usize {
        let mut covered = 0;
        for (rank, count) in self.first_fresh_rank.iter().enumerate() {
            covered += count;
            if f64::from(covered) >= wanted {
                return rank + 1;
            }
        }
        self.first_fresh_rank.len()
    }
}

impl Router {
    /// Selects one of the usable members for a read that must see this commit.
    pub(super) fn select_fresh(
        &mut self,
        commit: Option<Time>,
        usable: &[MemberId],
        primary_has_time: bool,
    ) -> Option<MemberId> {
        let counts = self.run_trials(commit, usable, primary_has_time);
        let wanted = (1.0 - ALLOWED_STALE_SHARE) * f64::from(TRIALS);
        let readers = counts.readers(wanted);
        let ranked = self.rank_by_sojourn(usable, primary_has_time);
        let most_fresh = counts.fresh.iter().copied().max().filter(|most| *most > 0)?;
        let is_fresh_enough = |place: &usize| f64::from(counts.fresh[*place]) >= wanted;
        let is_freshest = |place: &usize| counts.fresh[*place] == most_fresh;
        let quickest = ranked.iter().copied().take(readers).find(is_fresh_enough);
        let place = quickest.or_else(|| ranked.iter().copied().find(is_freshest))?;
        Some(usable[place])
    }

    fn run_trials(
        &mut self,
        commit: Option<Time>,
        usable: &[MemberId],
        primary_has_time: bool,
    ) -> TrialCounts {
        let mut counts =
            TrialCounts { fresh: vec![0; usable.len()], first_fresh_rank: vec![0; usable.len()] };
        for _ in 0..TRIALS {
            let mut draws: Vec<Draw> = Vec::with_capacity(usable.len());
            for (place, id) in usable.iter().enumerate() {
                let lag = self.draw_lag(*id);
                let is_fresh =
                    commit.is_none_or(|commit| lag < self.fleet_clock.age(commit, self.now).max(1));
                counts.fresh[place] += u32::from(is_fresh);
                let sojourn = self.draw_sojourn(*id, primary_has_time);
                draws.push(Draw { sojourn, place, is_fresh });
            }
            sort_by_sojourn(&mut draws);
            if let Some(rank) = draws.iter().position(|draw| draw.is_fresh) {
                counts.first_fresh_rank[rank] += 1;
            }
        }
        counts
    }

    /// The places of the members, by one more drawn sojourn each.
    fn rank_by_sojourn(&mut self, usable: &[MemberId], primary_has_time: bool) -> Vec<usize> {
        let mut draws: Vec<Draw> = Vec::with_capacity(usable.len());
        for (place, id) in usable.iter().enumerate() {
            let sojourn = self.draw_sojourn(*id, primary_has_time);
            draws.push(Draw { sojourn, place, is_fresh: false });
        }
        sort_by_sojourn(&mut draws);
        draws.into_iter().map(|draw| draw.place).collect()
    }
}

fn sort_by_sojourn(draws: &mut [Draw]) {
    draws.sort_by(|a, b| a.sojourn.total_cmp(&b.sojourn));
}
