//! Selection of the member for a read: trials over the usable members, the smallest number of readers that is
//! fresh often enough, and the quickest of these (Ye and Hu, section 4, as the design page adapts it).

use super::primary::PrimaryRank;
use super::Router;
use crate::interface::{MemberId, Time};

/// Trials of one forecast (count): enough to tell a stale share of a tenth; the paper leaves the number open.
const TRIALS: u32 = 24;
/// Allowed share of stale reads (fraction). A stale read costs little where members reject it themselves.
const ALLOWED_STALE_SHARE: f64 = 0.15;

/// What a trial drew for a member.
struct Draw {
    sojourn: f64,
    /// Index of the member among the usable ones.
    index: usize,
    is_fresh: bool,
}

/// Results of the trials.
struct TrialCounts {
    /// For each usable member, the number of trials in which it was fresh.
    fresh: Vec<u32>,
    /// For each rank by sojourn, the number of trials in which the quickest fresh member had it.
    first_fresh_rank: Vec<u32>,
}

impl TrialCounts {
    /// The smallest R such that one of the R quickest members was fresh in at least `wanted` trials.
    fn smallest_passing_readers(&self, wanted: f64) -> usize {
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
    /// Selects one of the usable members for a read that must see this commit: the quickest of R readers that
    /// is fresh often enough, or else the quickest of those that are fresh most often.
    pub(super) fn select_fresh(
        &mut self,
        commit: Option<Time>,
        usable: &[MemberId],
        primary_rank: PrimaryRank,
    ) -> Option<MemberId> {
        let counts = self.run_trials(commit, usable, primary_rank);
        let wanted = (1.0 - ALLOWED_STALE_SHARE) * f64::from(TRIALS);
        let readers = counts.smallest_passing_readers(wanted);
        let ranked = self.rank_by_sojourn(usable, primary_rank);
        let most_fresh = counts.fresh.iter().copied().max().filter(|most| *most > 0)?;
        let is_fresh_enough = |index: &usize| f64::from(counts.fresh[*index]) >= wanted;
        let is_freshest = |index: &usize| counts.fresh[*index] == most_fresh;
        let quickest = ranked.iter().copied().take(readers).find(is_fresh_enough);
        let index = quickest.or_else(|| ranked.iter().copied().find(is_freshest))?;
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

    /// The indices of the usable members, quickest first, by one sojourn drawn for each.
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
