//! Events on a client's connection for its state machine, with the data that belongs to them.

use crate::facade::SettingsHold;
use crate::postgres::cancel::CancelKey;
use crate::postgres::Malformed;
use crate::Time;
use bytes::Bytes;
use petrelgauge_lifecycle::client::Event;
use petrelgauge_lifecycle::ending::End;

/// An event on a client's connection.
pub(super) struct ClientEvent {
    pub(super) event: Event,
    pub(super) payload: Payload,
}

/// The data of an event.
pub(super) enum Payload {
    None,
    Startup {
        /// The minor protocol version that the client requested.
        minor_version: u16,
    },
    Cancel(CancelKey),
    Query(Query),
    ProtocolError(ProtocolError),
}

/// A simple query.
pub(super) struct Query {
    pub(super) text: Bytes,
    pub(super) arrived_at: Time,
    /// The settings under which it was received.
    pub(super) settings: SettingsHold,
}

/// A protocol violation, for which the client is disconnected with an error.
#[derive(Clone, Copy)]
pub(super) struct ProtocolError {
    pub(super) end: End,
    pub(super) sqlstate: &'static str,
    pub(super) message: &'static str,
}

/// Why reading from a client ended.
pub(super) enum ReadError {
    /// The client violated the protocol.
    Protocol(ProtocolError),
    /// The client closed the connection, or it broke.
    Disconnected(End),
}

const PROTOCOL_VIOLATION: &str = "08P01";

impl ProtocolError {
    pub(super) const UNKNOWN_MESSAGE: ProtocolError = ProtocolError {
        end: End::ClientMalformed,
        sqlstate: PROTOCOL_VIOLATION,
        message: "invalid frontend message type",
    };
    pub(super) const INCOMPLETE_MESSAGE: ProtocolError = ProtocolError {
        end: End::ClientSilent,
        sqlstate: PROTOCOL_VIOLATION,
        message: "message not whole in time",
    };
}

impl From<Malformed> for ProtocolError {
    fn from(malformed: Malformed) -> ProtocolError {
        ProtocolError { end: End::ClientMalformed, sqlstate: PROTOCOL_VIOLATION, message: malformed.0 }
    }
}

impl From<Malformed> for ReadError {
    fn from(malformed: Malformed) -> ReadError {
        ReadError::Protocol(malformed.into())
    }
}

impl From<End> for ReadError {
    fn from(end: End) -> ReadError {
        ReadError::Disconnected(end)
    }
}

impl ClientEvent {
    pub(super) fn new(event: Event, payload: Payload) -> ClientEvent {
        ClientEvent { event, payload }
    }
}

impl From<Event> for ClientEvent {
    fn from(event: Event) -> ClientEvent {
        ClientEvent { event, payload: Payload::None }
    }
}

impl From<ReadError> for ClientEvent {
    fn from(error: ReadError) -> ClientEvent {
        match error {
            ReadError::Protocol(error) => {
                ClientEvent::new(Event::ProtocolError(error.end), Payload::ProtocolError(error))
            }
            ReadError::Disconnected(end) => Event::Disconnected(end).into(),
        }
    }
}
