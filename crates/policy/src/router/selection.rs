//! Member selection for a read: Monte Carlo trials over the usable members, the smallest number of readers
//! that is fresh often enough, and the fastest of these (Ye and Hu, section 4, with the changes described in
//! the design document).

use super::primary::PrimaryRank;
use super::Router;
use crate::interface::{MemberId, Time};

/// Number of trials in one forecast: sufficient to resolve a stale share of one tenth. The paper does not
/// specify the number.
const TRIALS: u32 = 24;
/// Allowed share of stale reads (fraction). A stale read costs little if members reject it themselves.
const ALLOWED_STALE_SHARE: f64 = 0.15;

/// The values drawn for a member in a trial.
struct Draw {
    sojourn: f64,
    /// Index of the member in the list of usable members.
    index: usize,
    is_fresh: bool,
}

/// Results of the trials.
struct TrialCounts {
    /// For each usable member, the number of trials in which it was fresh.
    fresh: Vec<u32>,
    /// For each rank by sojourn, the number of trials in which the fastest fresh member had that rank.
    first_fresh_rank: Vec<u32>,
}

impl TrialCounts {
    /// The smallest R such that one of the R fastest members was fresh in at least `required` trials.
    fn min_readers(&self, required: f64) -> usize {
        let mut covered = 0;
        for (rank, count) in self.first_fresh_rank.iter().enumerate() {
            covered += count;
            if f64::from(covered) >= required {
                return rank + 1;
            }
        }
        self.first_fresh_rank.len()
    }
}

impl Router {
    /// Selects one of the usable members for a read that must see this commit: the fastest of R readers that
    /// is fresh often enough, or otherwise the fastest of the members that are fresh most often.
    pub(super) fn select_fresh(
        &mut self,
        commit: Option<Time>,
        usable: &[MemberId],
        primary_rank: PrimaryRank,
    ) -> Option<MemberId> {
        let counts = self.run_trials(commit, usable, primary_rank);
        let required = (1.0 - ALLOWED_STALE_SHARE) * f64::from(TRIALS);
        let readers = counts.min_readers(required);
        let ranked = self.rank_by_sojourn(usable, primary_rank);
        let most_fresh = counts.fresh.iter().copied().max().filter(|most| *most > 0)?;
        let is_fresh_enough = |index: &usize| f64::from(counts.fresh[*index]) >= required;
        let is_freshest = |index: &usize| counts.fresh[*index] == most_fresh;
        let fastest = ranked.iter().copied().take(readers).find(is_fresh_enough);
        let index = fastest.or_else(|| ranked.iter().copied().find(is_freshest))?;
        Some(usable[index])
    }

    fn run_trials(
        &mut self,
        commit: Option<Time>,
        usable: &[MemberId],
        primary_rank: PrimaryRank,
    ) -> TrialCounts {
        let mut counts =
            TrialCounts { fresh: vec![0; usable.len()], first_fresh_rank: vec![0; usable.len()] };
        for _ in 0..TRIALS {
            let mut draws: Vec<Draw> = Vec::with_capacity(usable.len());
            for (index, id) in usable.iter().enumerate() {
                let lag = self.draw_lag(*id);
                let is_fresh = commit.is_none_or(|commit| lag < self.host_clock.age(commit, self.now).max(1));
                counts.fresh[index] += u32::from(is_fresh);
                let sojourn = self.draw_sojourn(*id, primary_rank);
                draws.push(Draw { sojourn, index, is_fresh });
            }
            sort_by_sojourn(&mut draws);
            if let Some(rank) = draws.iter().position(|draw| draw.is_fresh) {
                counts.first_fresh_rank[rank] += 1;
            }
        }
        counts
    }

    /// The indexes of the usable members, ordered by one drawn sojourn for each, fastest first.
    fn rank_by_sojourn(&mut self, usable: &[MemberId], primary_rank: PrimaryRank) -> Vec<usize> {
        let mut draws: Vec<Draw> = Vec::with_capacity(usable.len());
        for (index, id) in usable.iter().enumerate() {
            let sojourn = self.draw_sojourn(*id, primary_rank);
            draws.push(Draw { sojourn, index, is_fresh: false });
        }
        sort_by_sojourn(&mut draws);
        draws.into_iter().map(|draw| draw.index).collect()
    }
}

fn sort_by_sojourn(draws: &mut [Draw]) {
    draws.sort_by(|a, b| a.sojourn.total_cmp(&b.sojourn));
}
