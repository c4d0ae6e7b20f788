//! Encoding and decoding of this gateway's datagrams about leadership roles.

use petrelgauge_ownership::{DatagramError, GatewayId, Message, ReceivedMessage, Settings};

/// An encoded message and the gateway that it is for.
pub struct OutgoingDatagram {
    /// The receiver, by its index among the peers.
    pub to: GatewayId,
    /// The datagram.
    pub bytes: Vec<u8>,
}

/// What all gateways of the fleet must have alike to understand each other, and this one's number.
#[derive(Clone, Copy, Debug)]
pub struct FleetCodec {
    self_id: GatewayId,
    /// Fingerprint of the acceptors, durations and shards.
    fleet: u32,
    secret: u64,
}

impl FleetCodec {
    /// For a fleet with these settings whose roles have this many shards.
    pub fn new(settings: &Settings, shards: u16, secret: u64) -> FleetCodec {
        FleetCodec { self_id: settings.self_id, fleet: settings.sharded_fingerprint(shards), secret }
    }

    /// Encodes a message.
    pub fn encode(&self, message: &Message) -> Vec<u8> {
        message.encode(self.self_id, self.fleet, self.secret)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Fails if the datagram is malformed, or of another version, fleet or secret.
    pub fn decode(&self, bytes: &[u8]) -> Result<ReceivedMessage, DatagramError> {
        Message::decode(bytes, self.fleet, self.secret)
    }
}
