//! Health: suspicion, health checks and ejection of members, and cancellation of attempts at unresponsive
//! ones.

use super::concurrency::INITIAL_CONCURRENCY_LIMIT;
use super::Router;
use crate::interface::{Action, Effect, Ending, GroupId, MemberId, MemberStatus, Note, Report, Time};
use crate::state::{share_of, AvailableMembers, Member};
use std::collections::BTreeSet;

/// Minimum number of consecutive failures recorded for a silent member (count). It determines the duration of
/// the first ejection, in doublings of the granularity.
pub(super) const SILENCE_FAILURES: u32 = 4;
/// Wait after which an attempt is presumed lost at a member that answers others (latency targets). With a
/// shorter wait, overload would be mistaken for loss.
const LOST_AFTER: f64 = 1.25;
/// Allowed silence of an idle member (share of the shortest latency target).
const ALLOWED_SILENCE: f64 = 0.3;
/// Additional allowed silence per latency target of the member's mean sojourn (share of the shortest latency
/// target).
const ALLOWED_SILENCE_FOR_LOAD: f64 = 6.0;
/// Minimum sum of the waits of unanswered attempts at which silence is suspicious (latency targets).
const SUSPICIOUS_WAITS: f64 = 1.0;
/// Interval between two checks, as a divisor of the shortest latency target.
const CHECK_INTERVAL_DIVISOR: Time = 8;
/// Health check interval of a suspected member, as a divisor of the silence threshold.
const SUSPECTED_PROBE_DIVISOR: Time = 4;
/// Health check interval of members that are down and of the members of a group without a primary, as a
/// multiple of the silence threshold.
const SLOW_PROBE_FACTOR: Time = 2;
/// Health check interval of a removed member, as a divisor of the time for which it has not answered. The
/// checks become less frequent over time.
const REMOVED_PROBE_DIVISOR: Time = 4;

impl Router {
    /// Whether a request of this class may be sent to a suspected member as a trial. Trials are used only if
    /// health checks are disabled.
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

    /// Suspects members that have become silent, and sends health checks to suspected members and those that
    /// are down.
    pub(super) fn check_health(&mut self) {
        if self.now - self.health_checked_at < self.shortest_latency_target / CHECK_INTERVAL_DIVISOR {
            return;
        }
        self.health_checked_at = self.now;
        self.indexes.begin_check(&mut self.members);
        let keeps_removed = self.settings.soft_removal;
        self.purge_removed_members(|member| {
            member.status != MemberStatus::Removed || member.in_flight > 0 || keeps_removed
        });
        self.sum_up_waits();
        if self.indexes.take_available_changed() {
            self.available = self.count_available();
        }
        for id in self.indexes.members_to_check(self.settings.may_probe) {
            self.scan_counts.members += 1;
            self.check_member(id);
        }
        if self.indexes.needs_zone_check() && self.has_recent_loss() {
            self.check_zones();
        }
        self.probe_groups_without_primary();
    }

    /// Counts the members that are in service and not down.
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

    /// Sums up the waits at each member. An attempt that a member does not answer while it answers later ones
    /// is presumed lost, so that it does not use up the member's concurrency limit. This handles lossy paths
    /// and all kinds of hung requests; the drawback is that an overloaded member gets slightly more work.
    fn sum_up_waits(&mut self) {
        for attempt in self.in_flight.iter() {
            let Some(member) = self.members.get_mut(&attempt.member) else { continue };
            self.indexes.record_awaited(attempt.member);
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

    /// Suspects a silent member. Several unanswered attempts reveal silence sooner than a single one, which
    /// does so only after its latency target; a member under load is allowed a longer silence. This detects
    /// members that hang or are partitioned; a member that merely pauses is suspected briefly.
    fn check_member(&mut self, id: MemberId) {
        let Some(member) = self.members.get_mut(&id) else { return };
        let allowed = ALLOWED_SILENCE + ALLOWED_SILENCE_FOR_LOAD * member.mean_sojourn;
        let allowed = share_of(self.shortest_latency_target, allowed);
        let waits = member.silent_waits;
        let is_silent = waits.total_in_targets >= SUSPICIOUS_WAITS && waits.longest > allowed;
        if self.settings.may_probe {
            member.suspected |= waits.longest > self.silence_threshold;
        } else if is_silent && !member.suspected {
            self.log_note(Note::MemberSuspected {
                member: id,
                silence: waits.longest,
                allowed,
                unanswered_targets: waits.total_in_targets,
            });
            self.suspect_silent_member(id);
        }
        let Some(member) = self.members.get(&id) else { return };
        self.indexes.update_unhealthy(id, member);
        if member.down {
            self.probe(id, SLOW_PROBE_FACTOR * self.silence_threshold);
        } else if member.suspected {
            self.probe(id, self.silence_threshold / SUSPECTED_PROBE_DIVISOR);
        }
    }

    fn probe_groups_without_primary(&mut self) {
        for group in self.indexes.waiting_groups() {
            if self.has_selectable_primary(group) {
                continue;
            }
            for id in self.group_members(group).to_vec() {
                self.probe(id, SLOW_PROBE_FACTOR * self.silence_threshold);
            }
        }
    }

    /// Suspects a member, ejects it temporarily and cancels its attempts in flight for `Effect::Safe`
    /// requests.
    pub(super) fn suspect_silent_member(&mut self, id: MemberId) {
        let Some(member) = self.members.get_mut(&id) else { return };
        member.suspected = true;
        self.indexes.record_loss(member, self.now);
        member.consecutive_failures = member.consecutive_failures.max(SILENCE_FAILURES);
        member.ejected_until = self.now + (self.settings.granularity << member.consecutive_failures);
        self.indexes.update_unhealthy(id, member);
        self.cancel_attempts_at(id, |effect| effect == Effect::Safe);
    }

    /// Sends a health check to a member unless one is in flight, the last one was sent within `interval`
    /// (microseconds), or the budget is exhausted.
    fn probe(&mut self, id: MemberId, interval: Time) {
        let Some(member) = self.members.get_mut(&id) else { return };
        let is_removed = member.status == MemberStatus::Removed;
        if !self.settings.may_probe || member.probe_in_flight || is_removed && !self.settings.soft_removal {
            return;
        }
        let unanswered = member.probed_at - member.last_heard_at;
        let interval = if is_removed { interval.max(unanswered / REMOVED_PROBE_DIVISOR) } else { interval };
        if self.now - member.probed_at <= interval || self.budgets.probes < self.settings.probe_price {
            return;
        }
        self.budgets.probes -= self.settings.probe_price;
        member.probe_in_flight = true;
        member.probed_at = self.now;
        self.actions.push(Action::Probe { member: id });
    }

    /// Records the outcome of a health check.
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

    /// Returns a member to service. It may have restarted without an update of the endpoint list, so slow
    /// start begins now.
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

    /// Cancels attempts at an unresponsive member, so that their requests can still be sent to other members
    /// in time.
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
