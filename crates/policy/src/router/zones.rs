//! Detection of zones that are entirely unreachable. Without it, every router would lose a request at each of
//! their members before suspecting that member.

use super::Router;
use crate::interface::{MemberId, MemberStatus, Time};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Minimum number of members of a zone that must have been lost since any member of the zone last answered,
/// for the zone to be considered unreachable.
const UNREACHABLE_ZONE_LOSSES: usize = 3;

/// The latest answer and the losses in a zone.
#[derive(Default)]
struct ZoneState {
    last_heard_at: Time,
    losses: Vec<Time>,
}

impl ZoneState {
    fn is_unreachable(&self) -> bool {
        let silent = self.losses.iter().filter(|lost_at| **lost_at > self.last_heard_at);
        silent.count() >= UNREACHABLE_ZONE_LOSSES
    }
}

impl Router {
    /// Suspects all members of unreachable zones.
    pub(super) fn check_zones(&mut self) {
        self.indexes.begin_zone_check();
        let mut zones: BTreeMap<Arc<str>, ZoneState> = BTreeMap::new();
        self.scan_counts.members += self.members.len() as u64;
        for member in self.members.values().filter(|member| member.status == MemberStatus::Up) {
            let zone = zones.entry(member.zone.clone()).or_default();
            zone.last_heard_at = zone.last_heard_at.max(member.last_heard_at);
            zone.losses.push(member.last_loss_at);
        }
        zones.retain(|_, zone| zone.is_unreachable());
        let unreachable =
            self.members.iter().filter(|(_, member)| zones.contains_key(&member.zone) && !member.suspected);
        let unreachable: Vec<MemberId> = unreachable.map(|(id, _)| *id).collect();
        for id in unreachable {
            self.suspect_silent_member(id);
        }
    }
}
