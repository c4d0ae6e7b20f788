//! The checker of leadership: records every effect of a lease holder that reaches the witness, fenced as by a
//! real receiver.

use petrelgauge_ownership::{Fence, LeadershipRole, LeaseHolder, Message};

/// The role whose effects are checked: primary discovery.
pub(super) const PRIMARY_DISCOVERY: LeadershipRole = LeadershipRole { kind: 1, shard: 0 };

/// The effects that the witness has received.
#[derive(Default)]
pub(super) struct EffectLedger {
    fence: Fence,
    /// Whether old terms are admitted: an injected fault.
    without_fence: bool,
    /// Sender and term of each admitted effect.
    pub(super) admitted: Vec<LeaseHolder>,
    /// Effects that the fence rejected.
    pub(super) rejected: u64,
    /// Datagrams that could not be decoded.
    pub(super) undecodable: u64,
    /// Violations among the admitted effects.
    pub(super) violations: Vec<String>,
    /// The last admitted message.
    pub(super) last_message: Option<Message>,
}

impl EffectLedger {
    pub(super) fn new(without_fence: bool) -> EffectLedger {
        EffectLedger { without_fence, ..EffectLedger::default() }
    }

    /// Records a message of a gateway.
    pub(super) fn receive(&mut self, gateway: u16, message: Message) {
        let Message::Notification { role, term, .. } = message else { return };
        if role != PRIMARY_DISCOVERY {
            return;
        }
        if !self.without_fence && self.fence.admit(role, term).is_err() {
            self.rejected += 1;
            return;
        }
        let holder = LeaseHolder { gateway, term };
        self.check(holder);
        self.admitted.push(holder);
        self.last_message = Some(message);
    }

    /// Compares an effect of this holder with all effects admitted before.
    fn check(&mut self, holder: LeaseHolder) {
        let LeaseHolder { gateway, term } = holder;
        if let Some(last) = self.holder().filter(|last| term < last.term) {
            let last = last.term;
            self.violations.push(format!("an effect under term {term} was admitted after one under {last}"));
        }
        let mut others = self.admitted.iter().filter(|other| other.term == term && other.gateway != gateway);
        if let Some(LeaseHolder { gateway: other, .. }) = others.next() {
            self.violations.push(format!("gateways {other} and {gateway} both hold term {term}"));
        }
    }

    /// The holder whose effect was admitted last.
    pub(super) fn holder(&self) -> Option<LeaseHolder> {
        self.admitted.last().copied()
    }
}
