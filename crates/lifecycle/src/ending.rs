//! All ways in which a connection or an attempt can end.

use petrelgauge_policy::Ending;

/// How a connection or an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum End {
    /// A database host served the request.
    Served,
    /// A database host serves the request with a long row that is streamed to the client.
    Flows,
    /// The host answered with an error, and the request may have had an effect.
    HostError,
    /// The host rejected the request without executing it: it is not the primary, or its data are too old.
    Rejected,
    /// The statement is in error: no host could execute it.
    Unusable,
    /// The host rejected the request before reading it: its queue is full, it is draining, or it has too many
    /// connections.
    QueueFull,
    /// The host refused the connection.
    ConnectRefused,
    /// The connection was not established in time.
    ConnectSilent,
    /// The connection broke before the request's last byte was written.
    BrokenUnsent,
    /// The connection broke or ended after the request's last byte was written.
    BrokenSent,
    /// The host violated the protocol after the request's last byte was written.
    HostMalformed,
    /// The host's answer was a duplicate of its previous one.
    HostRepeated,
    /// The host's answer began but was not completed in time.
    HostStalled,
    /// The host sent bytes that belong to no answer, on an idle connection.
    HostSurplus,
    /// The host did not answer before the attempt's deadline.
    NoAnswer,
    /// The router cancelled the attempt.
    Cancelled,
    /// No file descriptor was left for a connection.
    NoDescriptor,
    /// No address is known for the host.
    NoAddress,
    /// Too much memory was in use to buffer the host's answer.
    NoMemory,
    /// The attempt's deadline passed before the request could be written.
    TooLate,
    /// The request was not written, because its client had left or its host accepted no more requests.
    NotWanted,
    /// The gateway closed an idle connection: it had expired, or its host moved, restarted or was removed.
    Retired,
    /// The host closed an idle connection.
    HostClosedIdle,
    /// The client closed its connection, or it broke.
    ClientLeft,
    /// The client sent a Terminate message.
    ClientTerminated,
    /// The client violated the protocol.
    ClientMalformed,
    /// The client did not send its startup message in time.
    ClientSilent,
    /// The client sent no further query in time.
    ClientIdle,
    /// The client did not read its answer in time.
    ClientStuck,
    /// The gateway closed an idle client to free its descriptor.
    ClientShed,
    /// The gateway closed an idle client because the gateway is stopping or draining.
    Stopped,
}

impl End {
    /// All variants, in order.
    pub const ALL: [End; 31] = [
        End::Served,
        End::Flows,
        End::HostError,
        End::Rejected,
        End::Unusable,
        End::QueueFull,
        End::ConnectRefused,
        End::ConnectSilent,
        End::BrokenUnsent,
        End::BrokenSent,
        End::HostMalformed,
        End::HostRepeated,
        End::HostStalled,
        End::HostSurplus,
        End::NoAnswer,
        End::Cancelled,
        End::NoDescriptor,
        End::NoAddress,
        End::NoMemory,
        End::TooLate,
        End::NotWanted,
        End::Retired,
        End::HostClosedIdle,
        End::ClientLeft,
        End::ClientTerminated,
        End::ClientMalformed,
        End::ClientSilent,
        End::ClientIdle,
        End::ClientStuck,
        End::ClientShed,
        End::Stopped,
    ];

    /// Whether the attempt ended with a complete answer of the host.
    pub fn is_answer(self) -> bool {
        matches!(self, End::Served | End::HostError | End::Rejected | End::QueueFull | End::Unusable)
    }

    /// The ending that is reported to the router for an attempt.
    pub fn to_router_ending(self) -> Ending {
        match self {
            End::Served | End::Flows => Ending::Served,
            End::HostError => Ending::Error,
            End::Rejected => Ending::Rejected,
            End::QueueFull => Ending::QueueFull,
            End::ConnectRefused | End::ConnectSilent | End::BrokenUnsent => Ending::ConnectFailed,
            End::BrokenSent | End::HostMalformed | End::HostRepeated | End::HostStalled => {
                Ending::ConnectionLost
            }
            End::NoAnswer => Ending::TimedOut,
            // The request was sent. A lack of memory in the gateway is not a fault of the host.
            End::Cancelled | End::NoMemory => Ending::Cancelled,
            // These are no faults of the host and must not count against it.
            End::NoDescriptor | End::NoAddress | End::TooLate | End::NotWanted | End::Unusable => {
                Ending::NotSent
            }
            // These end connections without an attempt.
            End::Retired
            | End::HostClosedIdle
            | End::HostSurplus
            | End::ClientLeft
            | End::ClientTerminated
            | End::ClientMalformed
            | End::ClientSilent
            | End::ClientIdle
            | End::ClientStuck
            | End::ClientShed
            | End::Stopped => Ending::NotSent,
        }
    }
}
