//! Health: which members are suspected, probed, tried again and given up.

use super::concurrency::INITIAL_CONCURRENCY_LIMIT;
use super::Router;
use crate::interface::{Action, Effect, Ending, GroupId, MemberId, MemberStatus, Note, Report, Time};
use crate::state::{share_of, AvailableMembers, Member};
use std::collections::BTreeSet;

/// Failures in a row that a silent member counts as having (count): the first pause, in doublings of the
/// granularity.
pub(super) const SILENCE_FAILURES: u32 = 4;
/// Wait (latency targets) after which work counts as lost at a member that answers: sooner, and overload
/// looks as loss.
const LOST_AFTER: f64 = 1.25;
/// Silence that a member is allowed (share of the shortest latency target).
const ALLOWED_SILENCE: f64 = 0.3;
/// Silence it is allowed beyond, for each latency target of its mean sojourn (share of the shortest latency
/// target).
const ALLOWED_SILENCE_FOR_LOAD: f64 = 6.0;
/// Part of the shortest latency target (divisor) that passes between two checks.
const CHECK_INTERVAL_DIVISOR: Time = 8;

impl Router {
    /// Whether a suspected member may be tried with a request of this class. Only where members can't be
    /// probed.
    pub(super) fn may_try_suspected(&self, id: MemberId, class: usize) -> bool {
        if self.settings.may_probe {
            return false;
        }
        let Some(member) = self.members.get(&id) else { return false };
        let is_candidate = self.is_in_service(member) && !member.down && member.suspected;
        is_candidate && self.now >= member.ejected_until && self.has_capacity(id, 1.0, class)
    }

    /// Whether all members of a group that are in service and not down are suspected.
    pub(super) fn has_only_suspected_members(&self, group: GroupId) -> bool {
        let members = self.group_members(group).iter().filter_map(|id| self.members.get(id));
        let mut available = members.filter(|member| self.is_available(member)).peekable();
        available.peek().is_some() && available.all(|member| member.suspected)
    }

    /// Looks for members that have fallen silent, and probes those in doubt.
    pub(super) fn check_health(&mut self) {
        if self.now - self.watched_at < self.shortest_latency_target / CHECK_INTERVAL_DIVISOR {
            return;
        }
        self.watched_at = self.now;
        self.indexes.begin_check(&mut self.members);
        let keeps_removed = self.settings.soft_removal;
        // Members are replaced for as long as a router runs.
        self.forget_members(|member| {
            member.status != MemberStatus::Removed || member.in_flight > 0 || keeps_removed
        });
        self.sum_up_waits();
        if self.indexes.take_available_outdated() {
            self.available = self.count_available();
        }
        for id in self.indexes.members_to_check(self.settings.may_probe) {
            self.scan_counts.members += 1;
            self.check_member(id);
        }
        if self.indexes.has_outdated_zones() && self.has_recent_loss() {
            self.check_zones();
        }
        self.probe_groups_without_primary();
    }

    /// Members that are in service and not down.
    pub(crate) fn count_available(&self) -> AvailableMembers {
        let available = self.members.values().filter(|member| self.is_available(member));
        available.fold(AvailableMembers::default(), |sum, member| AvailableMembers {
            count: sum.count + 1,
            weight: sum.weight + member.weight,
        })
    }

    fn is_available(&self, member: &Member) -> bool {
        self.is_in_service(member) && !member.down
    }

    fn has_recent_loss(&mut self) -> bool {
        let span = self.shortest_latency_target;
        if !self.indexes.lost_within(span, self.now) {
            return false;
        }
        self.scan_counts.members += self.members.len() as u64;
        self.members.values().any(|member| self.now - member.last_loss_at < span)
    }

    /// Adds up the waits for each member. Work that a member drops while it answers the rest must not use up
    /// its capacity: it counts as lost. That covers lossy paths and hung requests of any kind; an overloaded
    /// member gets some more work.
    fn sum_up_waits(&mut self) {
        for attempt in self.in_flight.iter() {
            let Some(member) = self.members.get_mut(&attempt.member) else { continue };
            self.indexes.await_member(attempt.member);
            let waited = self.now - attempt.sent;
            let latency_target = self.settings.classes[attempt.class].latency_target;
            if member.last_heard_at > attempt.sent {
                let is_lost = waited > share_of(latency_target, LOST_AFTER);
                member.presumed_lost += u32::from(is_lost);
            } else {
                let waits = &mut member.silent_waits;
                waits.total_in_targets += waited as f64 / latency_target as f64;
                waits.longest = waits.longest.max(waited);
            }
        }
    }

    /// Suspects a silent member. Nothing heard since several were sent says soon what one alone says after
    /// its latency target; an overloaded member is given longer. That covers what hangs or is cut off; a
    /// member that pauses is suspected for a moment.
    fn check_member(&mut self, id: MemberId) {
        let Some(member) = self.members.get_mut(&id) else { return };
        let allowed = ALLOWED_SILENCE + ALLOWED_SILENCE_FOR_LOAD * member.load;
        let allowed = share_of(self.shortest_latency_target, allowed);
        let waits = member.silent_waits;
        if self.settings.may_probe {
            member.suspected |= waits.longest > self.silence_threshold;
        } else if waits.total_in_targets >= 1.0 && waits.longest > allowed && !member.suspected {
            self.log_note(Note::MemberSuspected {
                member: id,
                silence: waits.longest,
                allowed,
                unanswered_targets: waits.total_in_targets,
            });
            self.suspect_silent_member(id);
        }
        let Some(member) = self.members.get(&id) else { return };
        self.indexes.note_doubt(id, member);
        if member.down {
            self.probe(id, 2 * self.silence_threshold);
        } else if member.suspected {
            self.probe(id, self.silence_threshold / 4);
        }
    }

    fn probe_groups_without_primary(&mut self) {
        for group in self.indexes.waiting_groups() {
            if self.has_selectable_primary(group) {
                continue;
            }
            for id in self.group_members(group).to_vec() {
                self.probe(id, 2 * self.silence_threshold);
            }
        }
    }

    /// Suspects a member, ejects it for a while and cancels the reads in flight there.
    pub(super) fn suspect_silent_member(&mut self, id: MemberId) {
        let Some(member) = self.members.get_mut(&id) else { return };
        member.suspected = true;
        self.indexes.record_loss(member, self.now);
        member.consecutive_failures = member.consecutive_failures.max(SILENCE_FAILURES);
        member.ejected_until = self.now + (self.settings.granularity << member.consecutive_failures);
        self.indexes.note_doubt(id, member);
        self.cancel_attempts_at(id, |effect| effect == Effect::Safe);
    }

    /// Probes a member that is not being probed, at most once in `pause` (microseconds), while the budget
    /// lasts.
    fn probe(&mut self, id: MemberId, pause: Time) {
        let Some(member) = self.members.get_mut(&id) else { return };
        let is_removed = member.status == MemberStatus::Removed;
        if !self.settings.may_probe || member.probe_in_flight || is_removed && !self.settings.soft_removal {
            return;
        }
        // What is called removed and does not answer is probed ever more rarely.
        let unanswered = member.probed_at - member.last_heard_at;
        let pause = if is_removed { pause.max(unanswered / 4) } else { pause };
        if self.now - member.probed_at <= pause || self.budgets.probes < self.settings.probe_price {
            return;
        }
        self.budgets.probes -= self.settings.probe_price;
        member.probe_in_flight = true;
        member.probed_at = self.now;
        self.actions.push(Action::Probe { member: id });
    }

    /// Takes in the end of a probe.
    pub(super) fn record_probe(&mut self, id: MemberId, ending: Ending, report: &Report) {
        self.record_report(id, report);
        let slow_start_tokens = self.initial_slow_start_tokens();
        let Some(member) = self.members.get_mut(&id) else { return };
        member.probe_in_flight = false;
        let unanswered = matches!(ending, Ending::TimedOut | Ending::ConnectFailed | Ending::ConnectionLost);
        if ending == Ending::Served {
            member.last_heard_at = self.now;
            self.indexes.clear_suspicion(id, member);
            if member.down {
                self.mark_up(id, slow_start_tokens);
            }
        } else if unanswered && !member.down {
            self.mark_down(id);
        }
    }

    /// A member that was down may have restarted unannounced: its slow start begins now.
    fn mark_up(&mut self, id: MemberId, slow_start_tokens: f64) {
        let Some(member) = self.members.get_mut(&id) else { return };
        self.indexes.set_down(id, member, false);
        member.recovered_at = self.now;
        member.slow_start_tokens = slow_start_tokens;
        member.sampling_salt = slow_start_tokens.to_bits();
        member.slow_start_refilled_at = self.now;
        member.concurrency_limit = INITIAL_CONCURRENCY_LIMIT.min(member.concurrency_limit);
        self.log_note(Note::MemberRecovered { member: id });
    }

    fn mark_down(&mut self, id: MemberId) {
        let Some(member) = self.members.get_mut(&id) else { return };
        self.indexes.set_down(id, member, true);
        member.lags.clear();
        member.sojourns.clear();
        self.log_note(Note::MemberDown { member: id });
        self.cancel_attempts_at(id, |effect| effect != Effect::Unsafe);
    }

    /// Cancels work at a member that does not answer, so that it can go elsewhere while there is time.
    fn cancel_attempts_at(&mut self, id: MemberId, is_retriable: impl Fn(Effect) -> bool) {
        let mut cancelled = BTreeSet::new();
        for (attempt_id, _) in self.in_flight.at_member(id) {
            self.scan_counts.requests += 1;
            let Some(sequence) = self.sequences.get(&attempt_id.request) else { continue };
            let Some(request) = self.requests.get(sequence) else { continue };
            if is_retriable(self.settings.classes[request.class].effect) && !self.is_start_late(request) {
                cancelled.insert(*sequence);
            }
        }
        for sequence in cancelled {
            self.cancel_attempts(sequence, Some(id));
        }
    }
}
