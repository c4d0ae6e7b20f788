//! Health and silence: who is suspected, probed, tried again and given up.

use super::*;

impl Router {
    /// May a suspect be tried again? One attempt at a time finds out, a short one for choice.
    pub(super) fn due(&self, id: MemberId) -> bool {
        let able = |m: &Member| self.standing(m) && !m.down && m.suspect && self.now >= m.barred_until;
        !self.set.may_probe && self.members.get(&id).is_some_and(able) && self.room(id, 1.0)
    }

    pub(super) fn watch_health(&mut self) {
        let (now, silence, brief, soft) = (self.now, self.silence, self.brief, self.set.soft_removal);
        if now - self.watched_at < brief / 8 {
            return;
        }
        self.watched_at = now;
        // A member that drops some of its work and answers the rest must not have its room held by what is
        // lost. Covers lossy paths and hung requests of any kind; harms a crowded member by some more work.
        self.indexes.begin_check(&mut self.members);
        // Members are replaced for as long as a router runs.
        self.forget_members(|member| member.standing != MemberStatus::Removed || member.out > 0 || soft);
        for out in self.outs.values() {
            let Some(member) = self.members.get_mut(&out.member) else { continue };
            self.indexes.await_member(out.member);
            let (waited, latency_target) = (now - out.sent, self.set.classes[out.class].latency_target);
            if member.heard > out.sent {
                member.lost += (waited > share_of(latency_target, LOST)) as u32;
            } else {
                member.quiet =
                    (member.quiet.0 + waited as f64 / latency_target as f64, member.quiet.1.max(waited));
            }
        }
        if self.indexes.take_alive_outdated() {
            self.alive = self.members.values().filter(|m| self.standing(m) && !m.down).count();
        }
        for id in self.indexes.members_to_check() {
            let Some(member) = self.members.get_mut(&id) else { continue };
            // Nothing heard since several were sent says soon what one alone says after its aim; a crowded
            // member is given longer. Covers what hangs or is cut off; harms one that pauses, for a moment.
            let usual = share_of(brief, QUIET + QUIET_LOAD * member.load);
            let (waits, longest) = member.quiet;
            if self.set.may_probe {
                member.suspect |= longest > silence;
            } else if waits >= 1.0 && longest > usual && !member.suspect {
                self.note(format!("member {id} is silent: {waits:.1} aims, {longest} us at the longest"));
                self.fall_silent(id);
            }
            let Some(member) = self.members.get(&id) else { continue };
            self.indexes.note_doubt(id, member);
            if member.suspect || member.down {
                self.probe(id, if member.down { 2 * silence } else { silence / 4 });
            }
        }
        if self.indexes.lost_within(brief, now) && self.members.values().any(|m| now - m.lost_at < brief) {
            self.watch_zones();
        }
        let led = |id: &GroupId| self.primary(*id).is_some_and(|p| self.well(p));
        let lost = self.indexes.waiting_groups().into_iter().filter(|id| !led(id));
        let asked: Vec<MemberId> = lost.flat_map(|id| self.peers(id)).copied().collect();
        asked.into_iter().for_each(|id| self.probe(id, 2 * silence));
    }

    /// A lost zone would else be found out member by member, each by a request of its own at every router.
    pub(super) fn watch_zones(&mut self) {
        let mut zones: BTreeMap<Arc<str>, (Time, Vec<Time>)> = BTreeMap::new();
        for member in self.members.values().filter(|m| m.standing == MemberStatus::Up) {
            let zone = zones.entry(member.zone.clone()).or_default();
            (zone.0, _) = (zone.0.max(member.heard), zone.1.push(member.lost_at));
        }
        zones.retain(|_, (heard, lost)| lost.iter().filter(|at| *at > heard).count() >= DARK);
        let dark = self.members.iter().filter(|(_, m)| zones.contains_key(&m.zone) && !m.suspect);
        let ids: Vec<MemberId> = dark.map(|(id, _)| *id).collect();
        ids.into_iter().for_each(|id| self.fall_silent(id));
    }

    pub(super) fn fall_silent(&mut self, id: MemberId) {
        let Some(member) = self.members.get_mut(&id) else { return };
        (member.suspect, member.lost_at, member.strikes) = (true, self.now, member.strikes.max(SILENT_PAUSE));
        member.barred_until = self.now + (self.set.granularity << member.strikes);
        self.indexes.note_doubt(id, member);
        self.abandon(id, |effect| effect == Effect::Safe);
    }

    /// Probes a member that is not being probed, at most once in `pause`, while the purse lasts.
    pub(super) fn probe(&mut self, id: MemberId, pause: Time) {
        let Some(member) = self.members.get_mut(&id) else { return };
        let gone = member.standing == MemberStatus::Removed;
        // What is called gone and does not answer is asked ever more rarely.
        let pause = if gone { pause.max((member.probed_at - member.heard) / 4) } else { pause };
        let listed = !gone || self.set.soft_removal;
        let due = listed && !member.probe_out && self.now - member.probed_at > pause;
        if !due || !self.set.may_probe || self.probe_purse < self.set.probe_price {
            return;
        }
        self.probe_purse -= self.set.probe_price;
        member.probe_out = true;
        member.probed_at = self.now;
        self.actions.push(Action::Probe { member: id });
    }

    pub(super) fn probed(&mut self, id: MemberId, ending: Ending, report: &Report) {
        self.learn(id, report.position, report.role, self.fleet_clock.as_of(report, self.now));
        let (now, chance) = (self.now, self.chance());
        let Some(member) = self.members.get_mut(&id) else { return };
        member.probe_out = false;
        if ending == Ending::Served {
            (member.heard, member.suspect) = (now, false);
            if member.down {
                self.indexes.set_down(id, member, false);
                // It may have restarted unannounced: it counts as cold from now.
                member.revived = now;
                (member.credit, member.credited_at) = (chance, now);
                member.limit = FIRST_LIMIT.min(member.limit);
                self.note(format!("member {id} answers again"));
            }
        } else if matches!(ending, Ending::TimedOut | Ending::ConnectFailed | Ending::ConnectionLost)
            && !member.down
        {
            self.indexes.set_down(id, member, true);
            member.lags.clear();
            member.sojourns.clear();
            self.note(format!("member {id} does not answer, nothing new goes there"));
            self.abandon(id, |effect| effect != Effect::Unsafe);
        }
    }

    /// Calls work off a member that does not answer, so that it can go elsewhere while there is time.
    pub(super) fn abandon(&mut self, id: MemberId, repeatable: impl Fn(Effect) -> bool) {
        let late =
            |r: &Request| self.now - r.born >= share_of(self.set.classes[r.class].latency_target, HOPE);
        let fit = |r: &Request| repeatable(self.set.classes[r.class].effect) && !late(r);
        let open: Vec<u64> = self.requests.iter().filter(|(_, r)| fit(r)).map(|(seq, _)| *seq).collect();
        open.into_iter().for_each(|seq| self.cancel_attempt(seq, Some(id)));
    }
}
