//! The random events of a workload.

use super::{InFlight, Workload, MEMBERS_PER_GROUP, MS};
use petrelgauge_policy::{
    AttemptOutcome, Ending, Event, GroupId, MemberId, MemberStatus, QuotaAdjustment, Report, RequestArrival,
    RequestId, Role, Time,
};

impl Workload {
    pub(super) fn event(&mut self) -> Option<Event> {
        match self.random_below(1_000) {
            0..=389 => Some(self.request()),
            390..=869 => self.outcome(),
            870..=899 => self.probe_outcome(),
            900..=919 => Some(self.list_change()),
            920..=939 => Some(Event::GossipedPrimary { member: self.any_member(), at: self.now - 50 * MS }),
            940..=959 => Some(self.quota()),
            960..=974 => self.open_request().map(|request| Event::Abandoned { request }),
            975..=989 => {
                let minimum_position = self.now - self.random_below(400) as Time * MS;
                self.open_request().map(|request| Event::MinimumPositionLowered { request, minimum_position })
            }
            _ => Some(Event::Timer { token: 0 }),
        }
    }

    fn quota(&mut self) -> Event {
        let groups = self.groups.clone();
        let extra = self.random_below(30) as f64 / 10.0 - 0.9;
        Event::QuotaAdjusted {
            group: self.choose(&groups),
            adjustment: QuotaAdjustment { extra, until: self.now + 2_000 * MS },
        }
    }

    fn request(&mut self) -> Event {
        self.requested += 1;
        let request: RequestId = format!("r{}", self.requested).into();
        self.open.push(request.clone());
        // The first groups get most of the requests, and some requests name a class that does not exist.
        let groups = self.groups.len() as u64;
        let index = self.random_below(groups).min(self.random_below(groups)) as usize;
        let has_minimum_position = self.random_below(5) == 0;
        Event::Request(RequestArrival {
            request,
            class: if self.random_below(300) == 0 { 99 } else { self.random_below(6) as usize },
            group: self.groups[index],
            time_left: self.choose(&[900, 900, 900, 950, 400, 120]) * MS,
            is_retry: self.random_below(10) == 0,
            minimum_position: has_minimum_position.then(|| self.now - self.random_below(300) as Time * MS),
        })
    }

    fn outcome(&mut self) -> Option<Event> {
        let count = self.in_flight.len() as u64;
        if count == 0 {
            return None;
        }
        let index = self.random_below(count) as usize;
        let (member, sent) = (self.in_flight[index].member, self.in_flight[index].sent);
        let responds = self.hosts[&member].responds;
        // Attempts at an unresponsive member stay in flight for a while.
        if !responds && self.now - sent < 400 * MS {
            return None;
        }
        let attempt_in_flight = self.in_flight.swap_remove(index);
        let ending = self.ending(&attempt_in_flight, responds);
        let host = &self.hosts[&member];
        let (primary, lag) = (host.entry.primary, host.lag);
        let position = (responds && self.random_below(8) != 0).then_some(self.now - lag);
        let role = position.map(|_| if primary { Role::Primary } else { Role::Replica });
        let report = Report { position, role, waiting: Some(1.0), busy: None };
        let closed = ending == Ending::Served || self.random_below(40) == 0;
        let (request, attempt, took) =
            (attempt_in_flight.request, attempt_in_flight.attempt, self.now - sent);
        if closed {
            self.close_request(&request);
        }
        Some(Event::Outcome(AttemptOutcome {
            request,
            attempt,
            member,
            ending,
            took,
            closed,
            position,
            role,
            report,
        }))
    }

    fn ending(&mut self, attempt_in_flight: &InFlight, responds: bool) -> Ending {
        if attempt_in_flight.cancelled {
            return Ending::Cancelled;
        }
        if !responds {
            return self.choose(&[Ending::TimedOut, Ending::ConnectFailed, Ending::ConnectionLost]);
        }
        match self.random_below(100) {
            0..=84 => Ending::Served,
            85..=86 => Ending::Error,
            87..=89 => Ending::QueueFull,
            90..=91 => Ending::TimedOut,
            92..=93 => Ending::ConnectFailed,
            94..=95 => Ending::ConnectionLost,
            96 => Ending::NotSent,
            _ => Ending::Rejected,
        }
    }

    fn probe_outcome(&mut self) -> Option<Event> {
        let member = self.probes.pop_first()?;
        let host = &self.hosts[&member];
        let role = if host.entry.primary { Role::Primary } else { Role::Replica };
        let (ending, is_reported) =
            if host.responds { (Ending::Served, true) } else { (Ending::TimedOut, false) };
        let position = is_reported.then_some(self.now - host.lag);
        let report = Report { position, role: is_reported.then_some(role), waiting: None, busy: Some(0.4) };
        Some(Event::Probed { member, ending, report })
    }

    fn list_change(&mut self) -> Event {
        let member = self.any_member();
        let now = self.now;
        let kind = self.random_below(12);
        let Some(host) = self.hosts.get_mut(&member) else { return Event::Timer { token: 0 } };
        let (group, primary) = (host.entry.group, host.entry.primary);
        match kind {
            0..=1 => host.entry.status = MemberStatus::Draining,
            2 => host.entry.status = MemberStatus::Removed,
            3..=6 => {
                (host.entry.started, host.entry.status) = (now, MemberStatus::Up);
            }
            7 if !primary => {
                let index = self.random_below(MEMBERS_PER_GROUP as u64 - 1) as u32 + 1;
                self.add_host(group, index, now);
                return self.list(false, vec![member, self.next_member - 1]);
            }
            8 => self.move_primary(group, member),
            9 => {
                // A complete list without this member.
                let others = self.hosts.keys().copied().filter(|id| *id != member).collect();
                return self.list(true, others);
            }
            10 => return self.list(true, self.hosts.keys().copied().collect()),
            _ => host.lag = (host.lag * 7 + 20 * MS) % (900 * MS),
        }
        self.list(false, vec![member])
    }

    fn move_primary(&mut self, group: GroupId, to: MemberId) {
        let members = self.hosts.iter_mut().filter(|(_, host)| host.entry.group == group);
        members.for_each(|(id, host)| host.entry.primary = *id == to);
    }
}
