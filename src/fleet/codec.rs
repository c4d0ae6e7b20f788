//! Encodes and decodes leadership datagrams.

use petrelgauge_ownership::{DatagramError, GatewayId, Message, ReceivedMessage, Settings};

/// An encoded message and its destination.
pub struct OutgoingDatagram {
    /// Index of the receiving gateway among the peers.
    pub to: GatewayId,
    /// The encoded message.
    pub bytes: Vec<u8>,
}

/// Encodes and decodes messages for one gateway of a fleet. Gateways with different lease settings, number of
/// shards or secret cannot decode them.
#[derive(Clone, Copy, Debug)]
pub(super) struct FleetCodec {
    self_id: GatewayId,
    /// Fingerprint of the acceptors, the durations and the number of shards.
    fleet_fingerprint: u32,
    secret: u64,
}

impl FleetCodec {
    /// Creates the codec of a gateway with these settings in a fleet with `shards` shards per role.
    pub(super) fn new(settings: &Settings, shards: u16, secret: u64) -> FleetCodec {
        let fleet_fingerprint = settings.sharded_fingerprint(shards);
        FleetCodec { self_id: settings.self_id, fleet_fingerprint, secret }
    }

    /// Encodes a message.
    pub(super) fn encode(&self, message: &Message) -> Vec<u8> {
        message.encode(self.self_id, self.fleet_fingerprint, self.secret)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Fails if the datagram is malformed or has a different version, fleet fingerprint or secret.
    pub(super) fn decode(&self, bytes: &[u8]) -> Result<ReceivedMessage, DatagramError> {
        Message::decode(bytes, self.fleet_fingerprint, self.secret)
    }
}
