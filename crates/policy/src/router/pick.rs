//! Forecast, trials and pick (Ye and Hu, section 4, as the design page adapts it).

use super::*;

impl Router {
    /// The newest commit a read must see, or none where any data will do.
    pub(super) fn forecast(&mut self, seq: u64) -> Option<Time> {
        let req = self.requests.get(&seq)?;
        let mark = req.minimum_position;
        let Need::Bounded(bound) = self.set.classes[req.class].need else { return mark };
        let horizon = self.fleet_clock.horizon(bound, self.now);
        let commits = &self.groups.get(&req.group)?.commits;
        let place = commits.partition_point(|&c| c <= horizon);
        if place < commits.len() || commits.len() < 2 {
            return mark.max(Some(if place > 0 { commits[place - 1] } else { horizon }));
        }
        let (mut at, count) = (commits[place - 1], commits.len() - 1);
        let gaps: Vec<Time> = (0..count).map(|i| (commits[i + 1] - commits[i]).max(1)).collect();
        for _ in 0..8 * HISTORY {
            let gap = gaps[(self.rng.next_u64() % count as u64) as usize];
            if at + gap > horizon {
                return mark.max(Some(at));
            }
            at += gap;
        }
        mark.max(Some(horizon))
    }

    pub(super) fn uniform_sample(&mut self) -> f64 {
        self.rng.next_u64() as f64 / u64::MAX as f64
    }

    pub(super) fn live<'a, T>(&self, samples: &'a Samples<T>) -> impl Iterator<Item = &'a (Time, T)> + Clone {
        let now = self.now;
        samples.iter().filter(move |sample| now - sample.0 < HISTORY_AGE)
    }

    /// A drawn lag: a recent sample, moved on by the trend of the member's samples. Unheard ones are tried.
    pub(super) fn draw_lag(&mut self, id: MemberId) -> Time {
        let dice = self.rng.next_u64() as usize;
        let Some(member) = self.members.get(&id).filter(|m| !m.is_primary()) else { return 0 };
        let live = self.live(&member.lags);
        let count = live.clone().count();
        let (Some(first), Some(last)) = (live.clone().next(), live.clone().last()) else { return 0 };
        let slope = (last.1 - first.1) as f64 / (last.0 - first.0).max(1) as f64;
        let trend = if count < 3 { 0.0 } else { slope.clamp(-4.0, 1.0) };
        let (at, lag) = live.clone().nth(dice % count).unwrap_or(last);
        (lag + (trend * (self.now - at) as f64) as Time).max(0)
    }

    /// A drawn sojourn in aims: a recent sample, scaled to what is out now. The fewer a member has, the
    /// more often one of what all members showed stands in: a router with little traffic hears most of them
    /// seldom, and hundreds of routers must not all take the same unheard member.
    pub(super) fn draw_sojourn(&mut self, id: MemberId, lent: bool) -> f64 {
        let (dice, order) = (self.rng.next_u64() as usize, self.uniform_sample());
        let Some(member) = self.members.get(&id) else { return TARGET };
        let handicap = if member.is_primary() && !lent { PRIMARY_HANDICAP } else { 1.0 };
        let (own, all) = (self.live(&member.sojourns), self.live(&self.sojourns));
        let any = || all.clone().nth((order * all.clone().count() as f64) as usize);
        let drawn = own.clone().nth(dice % (own.clone().count() + 1)).or_else(any);
        drawn.map_or(TARGET * order, |sample| sample.1) * (1.0 + member.in_flight as f64) * handicap
    }

    /// One read: trials over the usable members, the smallest R that passes, and the pick.
    pub(super) fn pick(&mut self, need: Option<Time>, usable: &[MemberId], lent: bool) -> Option<MemberId> {
        let count = usable.len();
        let (mut own, mut first_fresh) = (vec![0u32; count], vec![0u32; count]);
        for _ in 0..TRIALS {
            let mut draws: Vec<(f64, usize, bool)> = Vec::with_capacity(count);
            for (place, id) in usable.iter().enumerate() {
                let lag = self.draw_lag(*id);
                let fresh = need.is_none_or(|commit| lag < self.fleet_clock.age(commit, self.now).max(1));
                own[place] += fresh as u32;
                draws.push((self.draw_sojourn(*id, lent), place, fresh));
            }
            draws.sort_by(|a, b| a.0.total_cmp(&b.0));
            if let Some(rank) = draws.iter().position(|d| d.2) {
                first_fresh[rank] += 1;
            }
        }
        let wanted = (1.0 - STALE_RATIO) * TRIALS as f64;
        let fresh_within = |readers: usize| first_fresh[..readers].iter().sum::<u32>() as f64;
        let readers = (1..=count).find(|r| fresh_within(*r) >= wanted).unwrap_or(count);
        let mut ranked: Vec<_> =
            (0..count).map(|place| (self.draw_sojourn(usable[place], lent), place)).collect();
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
        let best = own.iter().copied().max().filter(|best| *best > 0)?;
        let passing = ranked.iter().take(readers).find(|(_, place)| own[*place] as f64 >= wanted);
        let (_, place) = passing.or_else(|| ranked.iter().find(|(_, place)| own[*place] == best))?;
        Some(usable[*place])
    }

    pub(super) fn select_for_read(&mut self, seq: u64) -> Option<MemberId> {
        let req = self.requests.get(&seq)?;
        let primary = self.primary(req.group);
        let class = &self.set.classes[req.class];
        let last = !req.attempts.is_empty() && req.attempts.len() + 1 >= class.attempts as usize;
        let by = req.first_arrived_at + self.set.hold.min(share_of(class.latency_target, HOLD));
        let held = req
            .minimum_position
            .filter(|_| !last && self.now < by)
            .map(|mark| self.fleet_clock.own_time(mark));
        let fit = req.attempts.is_empty()
            && class.effect == Effect::Safe
            && class.latency_target <= 2 * self.shortest_latency_target;
        let due = || self.group_members(req.group).iter().copied().find(|id| self.may_try_suspected(*id));
        if let Some(id) = (fit && self.trial_budget >= 1.0).then(due).flatten() {
            return Some(id);
        }
        let share = |id: &MemberId| if Some(*id) == primary { READ_ROOM } else { 1.0 };
        let able = |id: &MemberId| self.is_selectable(*id) && self.has_capacity(*id, share(id));
        let mut usable: Vec<MemberId> = self.group_members(req.group).iter().copied().filter(able).collect();
        usable.retain(|id| !self.lately_refused(req, *id) && (!last || Some(*id) == primary));
        // What a cold primary's budget holds is for writes, so long as reads have another member.
        if usable.iter().any(|id| Some(*id) != primary) {
            let cold = |id: MemberId| self.capacity_share(&self.members[&id]) < 1.0;
            usable.retain(|id| Some(*id) != primary || !cold(*id));
        }
        let need = self.forecast(seq);
        // The primary has work of its own. It ranks later for reads, but for so many as bring it to an even
        // share of all work seen: more would crowd it, fewer crowd the replicas.
        let bound = self.work[1] / (self.work[0] + self.work[1]).max(1.0);
        let lent = self.uniform_sample() * (1.0 - bound) < 1.0 - bound * usable.len() as f64;
        let choice = self.pick(need, &usable, lent);
        // A replica about to pass the floor is worth a short wait, unless the primary has time to lend.
        let Some(mark) = held.filter(|_| choice == primary && !lent) else { return choice };
        let mut others = usable.into_iter().filter(|id| Some(*id) != primary);
        let soon = others.any(|id| (self.now..by).contains(&(mark + self.draw_lag(id))));
        choice.filter(|_| !soon)
    }
}
