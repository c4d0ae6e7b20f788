//! Every way in which a connection, or an attempt on one, can end.

use petrelgauge_policy::Ending;

/// How it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum End {
    /// A database host served the request.
    Served,
    /// It serves the request with a long row, which its client gets as it comes.
    Flows,
    /// It answered with an error; there may have been an effect.
    HostError,
    /// It turned the request away untouched: not the primary, or too far behind.
    Rejected,
    /// It could not use the statement itself, and nor could any other host.
    Unusable,
    /// It turned the request away unseen: queue full, draining, too many connections.
    QueueFull,
    /// It refused the connection.
    ConnectRefused,
    /// The connection did not come up in time.
    ConnectSilent,
    /// The connection broke before the request's last byte was written.
    BrokenUnsent,
    /// The connection broke or ended after that.
    BrokenSent,
    /// The host's bytes after that made no sense.
    HostMalformed,
    /// Its answer was a copy of the one before.
    HostRepeated,
    /// Its answer began and did not go on.
    HostStalled,
    /// Idle, and the host sent more than belonged to its last answer.
    HostSurplus,
    /// No answer by the time the attempt was to be given up.
    NoAnswer,
    /// The decisions called the attempt off.
    Cancelled,
    /// No descriptor was left for a connection.
    NoDescriptor,
    /// No address is known for the host.
    NoAddress,
    /// Too many bytes were held already for its answer.
    NoMemory,
    /// Its time was over before it could be written.
    TooLate,
    /// Its connection was ready for it, but by then its client had left or its host was no longer to get anything.
    NotWanted,
    /// Idle too long, or its host moved, started again or left: closed by the gateway.
    Retired,
    /// Idle, and closed by the host.
    HostClosedIdle,
    /// The client closed its connection, or it broke.
    ClientLeft,
    /// The client said goodbye.
    ClientTerminated,
    /// The client's bytes made no sense.
    ClientMalformed,
    /// The client did not say who it is in time.
    ClientSilent,
    /// It had its answers and asked for nothing more.
    ClientIdle,
    /// The client did not take its answer in time.
    ClientStuck,
    /// Idle, and closed to make room.
    ClientShed,
    /// Idle, and closed since the gateway stops.
    Stopped,
}

impl End {
    /// All of them, in order.
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

    /// A host said so, in a whole answer of its own to this attempt.
    pub fn is_answer(self) -> bool {
        matches!(self, End::Served | End::HostError | End::Rejected | End::QueueFull | End::Unusable)
    }

    /// What the decisions are told of an attempt that ended so.
    pub fn as_ending(self) -> Ending {
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
            // It was sent, and then given up for want of memory here: the host is not to blame.
            End::Cancelled | End::NoMemory => Ending::Cancelled,
            // Nothing the host did: it must not be blamed for it.
            End::NoDescriptor | End::NoAddress | End::TooLate | End::NotWanted | End::Unusable => {
                Ending::NotSent
            }
            // These end connections that carry no attempt.
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
