//! Health and silence: who is suspected, probed, tried again and given up.

use super::*;

impl Router {
    /// May a suspect be tried again? One attempt at a time finds out, a short one for choice.
    pub(super) fn may_try_suspected(&self, id: MemberId) -> bool {
        let able =
            |m: &Member| self.is_in_service(m) && !m.down && m.suspected && self.now >= m.ejected_until;
        !self.set.may_probe && self.members.get(&id).is_some_and(able) && self.has_capacity(id, 1.0)
    }

    pub(super) fn check_health(&mut self) {
        let (now, silence_threshold, shortest_latency_target, soft) =
            (self.now, self.silence_threshold, self.shortest_latency_target, self.set.soft_removal);
        if now - self.watched_at < shortest_latency_target / 8 {
            return;
        }
        self.watched_at = now;
        // A member that drops some of its work and answers the rest must not have its room held by what is
        // lost. Covers lossy paths and hung requests of any kind; harms a crowded member by some more work.
        self.indexes.begin_check(&mut self.members);
        // Members are replaced for as long as a router runs.
        self.forget_members(|member| {
            member.standing != MemberStatus::Removed || member.in_flight > 0 || soft
        });
        for out in self.in_flight.values() {
            let Some(member) = self.members.get_mut(&out.member) else { continue };
            self.indexes.await_member(out.member);
            let (waited, latency_target) = (now - out.sent, self.set.classes[out.class].latency_target);
            if member.last_heard_at > out.sent {
                member.presumed_lost += (waited > share_of(latency_target, LOST)) as u32;
            } else {
                member.quiet =
                    (member.quiet.0 + waited as f64 / latency_target as f64, member.quiet.1.max(waited));
            }
        }
        if self.indexes.take_alive_outdated() {
            self.alive = self.members.values().filter(|m| self.is_in_service(m) && !m.down).count();
        }
        for id in self.indexes.members_to_check() {
            let Some(member) = self.members.get_mut(&id) else { continue };
            // Nothing heard since several were sent says soon what one alone says after its aim; a crowded
            // member is given longer. Covers what hangs or is cut off; harms one that pauses, for a moment.
            let usual = share_of(shortest_latency_target, QUIET + QUIET_LOAD * member.load);
            let (waits, longest) = member.quiet;
            if self.set.may_probe {
                member.suspected |= longest > silence_threshold;
            } else if waits >= 1.0 && longest > usual && !member.suspected {
                self.note(format!("member {id} is silent: {waits:.1} aims, {longest} us at the longest"));
                self.suspect_silent_member(id);
            }
            let Some(member) = self.members.get(&id) else { continue };
            self.indexes.note_doubt(id, member);
            if member.suspected || member.down {
                self.probe(id, if member.down { 2 * silence_threshold } else { silence_threshold / 4 });
            }
        }
        if self.indexes.lost_within(shortest_latency_target, now)
            && self.members.values().any(|m| now - m.last_loss_at < shortest_latency_target)
        {
            self.check_zones();
        }
        let led = |id: &GroupId| self.primary(*id).is_some_and(|p| self.is_selectable(p));
        let lost = self.indexes.waiting_groups().into_iter().filter(|id| !led(id));
        let asked: Vec<MemberId> = lost.flat_map(|id| self.group_members(id)).copied().collect();
        asked.into_iter().for_each(|id| self.probe(id, 2 * silence_threshold));
    }

    /// A lost zone would else be found out member by member, each by a request of its own at every router.
    pub(super) fn check_zones(&mut self) {
        let mut zones: BTreeMap<Arc<str>, (Time, Vec<Time>)> = BTreeMap::new();
        for member in self.members.values().filter(|m| m.standing == MemberStatus::Up) {
            let zone = zones.entry(member.zone.clone()).or_default();
            (zone.0, _) = (zone.0.max(member.last_heard_at), zone.1.push(member.last_loss_at));
        }
        zones.retain(|_, (heard, lost)| lost.iter().filter(|at| *at > heard).count() >= DARK);
        let dark = self.members.iter().filter(|(_, m)| zones.contains_key(&m.zone) && !m.suspected);
        let ids: Vec<MemberId> = dark.map(|(id, _)| *id).collect();
        ids.into_iter().for_each(|id| self.suspect_silent_member(id));
    }

    pub(super) fn suspect_silent_member(&mut self, id: MemberId) {
        let Some(member) = self.members.get_mut(&id) else { return };
        (member.suspected, member.last_loss_at, member.consecutive_failures) =
            (true, self.now, member.consecutive_failures.max(SILENT_PAUSE));
        member.ejected_until = self.now + (self.set.granularity << member.consecutive_failures);
        self.indexes.note_doubt(id, member);
        self.cancel_attempts_at(id, |effect| effect == Effect::Safe);
    }

    /// Probes a member that is not being probed, at most once in `pause`, while the purse lasts.
    pub(super) fn probe(&mut self, id: MemberId, pause: Time) {
        let Some(member) = self.members.get_mut(&id) else { return };
        let gone = member.standing == MemberStatus::Removed;
        // What is called gone and does not answer is asked ever more rarely.
        let pause = if gone { pause.max((member.probed_at - member.last_heard_at) / 4) } else { pause };
        let listed = !gone || self.set.soft_removal;
        let due = listed && !member.probe_in_flight && self.now - member.probed_at > pause;
        if !due || !self.set.may_probe || self.probe_budget < self.set.probe_price {
            return;
        }
        self.probe_budget -= self.set.probe_price;
        member.probe_in_flight = true;
        member.probed_at = self.now;
        self.actions.push(Action::Probe { member: id });
    }

    pub(super) fn probed(&mut self, id: MemberId, ending: Ending, report: &Report) {
        self.learn(id, report.position, report.role, self.fleet_clock.as_of(report, self.now));
        let (now, chance) = (self.now, self.uniform_sample());
        let Some(member) = self.members.get_mut(&id) else { return };
        member.probe_in_flight = false;
        if ending == Ending::Served {
            (member.last_heard_at, member.suspected) = (now, false);
            if member.down {
                self.indexes.set_down(id, member, false);
                // It may have restarted unannounced: it counts as cold from now.
                member.recovered_at = now;
                (member.start_tokens, member.start_tokens_at) = (chance, now);
                member.concurrency_limit = FIRST_LIMIT.min(member.concurrency_limit);
                self.note(format!("member {id} answers again"));
            }
        } else if matches!(ending, Ending::TimedOut | Ending::ConnectFailed | Ending::ConnectionLost)
            && !member.down
        {
            self.indexes.set_down(id, member, true);
            member.lags.clear();
            member.sojourns.clear();
            self.note(format!("member {id} does not answer, nothing new goes there"));
            self.cancel_attempts_at(id, |effect| effect != Effect::Unsafe);
        }
    }

    /// Calls work off a member that does not answer, so that it can go elsewhere while there is time.
    pub(super) fn cancel_attempts_at(&mut self, id: MemberId, repeatable: impl Fn(Effect) -> bool) {
        let late = |r: &Request| {
            self.now - r.first_arrived_at >= share_of(self.set.classes[r.class].latency_target, HOPE)
        };
        let fit = |r: &Request| repeatable(self.set.classes[r.class].effect) && !late(r);
        let open: Vec<u64> = self.requests.iter().filter(|(_, r)| fit(r)).map(|(seq, _)| *seq).collect();
        open.into_iter().for_each(|seq| self.cancel_attempts(seq, Some(id)));
    }
}
