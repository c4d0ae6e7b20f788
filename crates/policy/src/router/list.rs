//! The list and what answers teach: members, their roles, positions and lags.

use super::*;

impl Router {
    pub(super) fn list(&mut self, whole: bool, entries: &[Entry]) {
        if whole {
            let named: BTreeSet<MemberId> = entries.iter().map(|e| e.member).collect();
            let unnamed: Vec<_> = self.members.keys().filter(|id| !named.contains(id)).copied().collect();
            unnamed.into_iter().for_each(|id| self.set_standing(id, MemberStatus::Removed));
        }
        for entry in entries {
            self.fleet_clock.member_started(entry.member, entry.started, self.now);
            match self.members.get_mut(&entry.member) {
                // An old list that comes again wipes nothing that is newer.
                Some(member) if member.started > entry.started => continue,
                Some(member) if member.started == entry.started => {}
                known => {
                    let (in_flight, replica_evidence_at) =
                        known.map_or((0, 0), |known| (known.in_flight, known.replica_evidence_at));
                    let member = Member {
                        in_flight,
                        replica_evidence_at,
                        start_tokens: self.uniform_sample(),
                        ..self.blank(entry)
                    };
                    self.members.insert(entry.member, member);
                }
            }
            self.set_standing(entry.member, entry.standing);
            let group = self.groups.entry(entry.group).or_default();
            if let Err(place) = group.members.binary_search(&entry.member) {
                group.members.insert(place, entry.member);
            }
        }
    }

    pub(super) fn blank(&self, entry: &Entry) -> Member {
        // A list that shows roles as they were at the start knows nothing of one that has started since.
        let then = entry.started <= 0 && self.set.list_role == ListRole::Static;
        let named = entry.primary && (then || self.set.list_role == ListRole::Trailing);
        Member {
            group: entry.group,
            zone: entry.zone.as_str().into(),
            weight: if entry.weight.is_finite() && entry.weight > 0.0 { entry.weight } else { 1.0 },
            started: entry.started,
            listed_at: self.now,
            // The list is the weakest evidence: anything a member says outweighs it.
            primary_evidence_at: named as Time,
            concurrency_limit: FIRST_LIMIT,
            last_heard_at: self.now,
            last_listed_at: self.now,
            start_tokens_at: self.now,
            ..Member::default()
        }
    }

    pub(super) fn learn(&mut self, id: MemberId, told: Option<Time>, role: Option<Role>, at: Option<Time>) {
        let now = self.now;
        let Some(member) = self.members.get_mut(&id) else { return };
        match (role, at) {
            (Some(Role::Primary), Some(at)) if at > member.primary_evidence_at => {
                member.primary_evidence_at = at
            }
            (Some(Role::Replica), Some(at)) if at > member.replica_evidence_at => {
                member.replica_evidence_at = at
            }
            _ => {}
        }
        let Some(position) = told else { return };
        member.position = member.position.max(position);
        if role == Some(Role::Replica) && at == Some(now) {
            keep(&mut member.lags, (now, self.fleet_clock.age(position, now).max(0)));
        }
    }

    pub(super) fn outcome(&mut self, event: &Event) {
        let Event::Outcome { request, attempt, member: id, ending, took, closed, position, role, report } =
            event
        else {
            return;
        };
        let now = self.now;
        let out = self.in_flight.remove(&(request.clone(), *attempt));
        let part = self.group_of(*id).map_or(self.base_quota, |group| self.quota_part(group));
        let spoke = matches!(ending, Ending::Served | Ending::Error | Ending::QueueFull | Ending::Rejected);
        let write = out.as_ref().is_some_and(|o| self.set.classes[o.class].need == Need::Write);
        if spoke {
            let commit = write && *ending == Ending::Served;
            self.learn(*id, if commit { None } else { *position }, *role, Some(now));
            self.learn(*id, report.position, report.role, self.fleet_clock.as_of(report, now));
            if let (true, Some(at)) = (commit, *position) {
                self.committed(*id, at);
            }
        }
        if *ending == Ending::Served {
            (self.rate, self.rated_at) = (self.rate_now() + 1e6 / RATE_SPAN, now);
            self.work.iter_mut().for_each(|work| *work *= 1.0 - 1.0 / WORK_SEEN);
            self.work[write as usize] += *took as f64;
        }
        if let (Some(member), Some(out)) = (self.members.get_mut(id), &out) {
            member.in_flight = member.in_flight.saturating_sub(1);
            if spoke {
                member.last_heard_at = now;
                let freed = std::mem::take(&mut member.suspected);
                member.ejected_until = if freed { now } else { member.ejected_until };
            }
            let latency_target = self.set.classes[out.class].latency_target as f64;
            let aims = *took as f64 / latency_target;
            let sample = (now, aims / (1.0 + out.beside));
            // Reads are also shed by the sojourns of all members. Work given up or full counts only where
            // served answers are slow too: else few members did it.
            let usual = || self.sojourns.iter().map(|s| s.1).sum::<f64>() / self.sojourns.len().max(1) as f64;
            let crowded = match ending {
                Ending::Served if sample.1 > CROWDED => 2.0,
                Ending::Served => -1.0,
                Ending::Cancelled | Ending::QueueFull => 2.0 * (usual() / CALM - 1.0).clamp(0.0, 1.0),
                _ => 0.0,
            };
            self.shed = (self.shed + SHED_STEP * crowded).clamp(0.0, 0.95);
            match ending {
                Ending::Served => {
                    member.consecutive_failures = 0;
                    keep(&mut member.sojourns, sample);
                    keep(&mut self.sojourns, sample);
                    adapt_concurrency_limit(member, aims, part);
                }
                // Silent for all of an attempt's time; a probe would have told before.
                Ending::TimedOut if member.last_heard_at <= out.sent && !self.set.may_probe => {
                    (member.suspected, member.consecutive_failures) =
                        (true, member.consecutive_failures.max(SILENT_PAUSE));
                }
                // Work given up unanswered took at least this long. Without it only the quick answers count
                // and a crowded member looks fine. Harms little: a member freed meanwhile regains its limit.
                Ending::TimedOut | Ending::Cancelled => {
                    keep(&mut member.sojourns, sample);
                    adapt_concurrency_limit(member, aims.min(1.0), part);
                }
                Ending::QueueFull => {
                    member.concurrency_limit =
                        (member.concurrency_limit * 0.8f64.powf(1.0 / part.sqrt())).max(1.0)
                }
                // Once may be chance or a lossy path; twice in a row is looked into.
                // A refusal comes at once and tells of a process; what hangs tells of its machine.
                Ending::ConnectFailed | Ending::ConnectionLost => {
                    member.suspected |= member.consecutive_failures > 0;
                    member.last_loss_at =
                        if *took > self.shortest_latency_target / 16 { now } else { member.last_loss_at };
                }
                _ => {}
            }
            self.indexes.note_doubt(*id, member);
            // A limit of a tenth of an attempt is one attempt, and a pause nine times as long.
            let pause = latency_target
                * aims.max(member.load).clamp(TARGET, 3.0)
                * (1.0 / (member.concurrency_limit * part) - 1.0).max(0.0);
            let saved = if aims < 1.0 { SAVED * pause } else { 0.0 };
            member.paced_until = member.paced_until.max(now - saved as Time) + pause as Time;
            // A member that turns work back fast (full, draining, its connections broken) looks idle and
            // quick, and would draw ever more: each attempt without service doubles a pause. Covers any
            // fault that answers probes and fails requests; harms a member hit by chance, for one pause.
            if !matches!(ending, Ending::Served | Ending::Rejected | Ending::Cancelled | Ending::NotSent) {
                member.consecutive_failures = (member.consecutive_failures + 1).min(LONGEST_PAUSE);
                member.ejected_until = now + (self.set.granularity << member.consecutive_failures);
            }
        }
        let Some(seq) = self.names.get(request).copied() else { return };
        let Some(req) = self.requests.get_mut(&seq) else { return };
        let never_ran = ending.never_ran();
        if let Some(tried) = req.attempts.get_mut(*attempt as usize) {
            tried.in_flight = false;
            tried.may_have_run = !never_ran;
            tried.refused_at = if *ending == Ending::Cancelled { tried.refused_at } else { now };
            tried.reached = !matches!(ending, Ending::ConnectFailed | Ending::NotSent);
        }
        if *closed || *ending == Ending::Served {
            return self.close(seq);
        }
        if req.has_attempt_in_flight() {
            return;
        }
        let (effect, group) = (self.set.classes[req.class].effect, req.group);
        if effect == Effect::Unsafe && !never_ran && !mutant(UnsafeRepeated) {
            return self.finish(seq);
        }
        self.enqueue(group, seq);
    }

    pub(super) fn committed(&mut self, id: MemberId, at: Time) {
        let Some(member) = self.members.get(&id) else { return };
        let group = self.groups.entry(member.group).or_default();
        let place = group.commits.partition_point(|&c| c <= at);
        group.commits.insert(place, at);
        if group.commits.len() > 4 * HISTORY {
            group.commits.pop_front();
        }
    }
}

pub(super) fn keep<T>(samples: &mut VecDeque<T>, sample: T) {
    samples.push_back(sample);
    if samples.len() > HISTORY {
        samples.pop_front();
    }
}

/// Moves the number of attempts a member may have out towards the sojourn aimed at. The smaller a router's
/// part in the fleet, the fewer of the answers it sees, and the more each of them counts.
pub(super) fn adapt_concurrency_limit(member: &mut Member, aims: f64, part: f64) {
    member.load += (aims - member.load) * (0.15 / part.sqrt()).min(TELLING);
    // The root keeps small limits growing, so that many routers share a member evenly and none starves.
    let ratio = (TARGET / member.load.max(1e-6)).clamp(0.5, 1.0);
    let push = 0.5 / part.sqrt() * (ratio - 1.0 + 0.5 / member.concurrency_limit.sqrt());
    if push < 0.0 || member.in_flight as f64 + 1.0 >= 0.7 * member.concurrency_limit * part {
        member.concurrency_limit = (member.concurrency_limit + push).clamp(1.0, 512.0);
    }
}
