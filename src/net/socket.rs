//! Calls on sockets, with the failures that Linux documents for them sorted by what the caller has to do.
//!
//! Every accept, connect, read, write and peek of the gateway goes through this module; calls on datagram sockets stand in
//! [`datagram`](crate::net::datagram), and their failures are sorted here. A call that a signal interrupted
//! is repeated here; short reads and writes are left to the caller's loop or, for [`write_all`], handled here. The traits
//! [`Acceptor`] and [`ByteStream`] let tests put a schedule of failures in place of the kernel; in the program they are
//! implemented by tokio's types and cost nothing.

pub use crate::net::system_call::Call;
use crate::net::system_call::{next_fault, Fault};
use bytes::Buf;
use std::future::Future;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Pause before a call is repeated that failed for a shortage of this machine.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(2);
/// Connections that the kernel holds ready for a listener.
const BACKLOG: u32 = 1024;
/// Buffers that one write takes at most.
const MAX_WRITE_SLICES: usize = 64;

/// Why a call failed, by what follows from it.
#[derive(Debug, thiserror::Error)]
pub enum SocketError {
    /// A signal came before the call did anything: it is to be repeated at once.
    #[error("interrupted by a signal")]
    Interrupted,
    /// Nothing can be done before the socket is ready.
    #[error("not ready")]
    WouldBlock,
    /// This process or its machine lacks descriptors, memory, ports or a network. It says nothing of the peer.
    #[error("{0}")]
    OwnShortage(#[source] io::Error),
    /// The peer did not take the connection: it refused, or its machine does not answer. On a datagram socket: the network
    /// says so of some datagram sent before.
    #[error("{0}")]
    Unreachable(#[source] io::Error),
    /// This one connection is over, or its address cannot be listened at. A listener that reports it still works.
    #[error("{0}")]
    Broken(#[source] io::Error),
}

/// Sorts a failure of this call.
pub fn classify(call: Call, cause: io::Error) -> SocketError {
    let Some(number) = cause.raw_os_error() else { return classify_kind(call, cause) };
    match (call, number) {
        (_, libc::EINTR) => SocketError::Interrupted,
        // On connect: the kernel has no port or no entry in its tables left.
        (Call::Connect, libc::EAGAIN) => SocketError::OwnShortage(cause),
        (_, libc::EAGAIN) => SocketError::WouldBlock,
        (_, libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM) => SocketError::OwnShortage(cause),
        (Call::Connect | Call::SendDatagram, number) if is_local(number) => SocketError::OwnShortage(cause),
        (Call::Connect, _) => SocketError::Unreachable(cause),
        (Call::SendDatagram | Call::ReceiveDatagram, number) if tells_of_peer(number) => {
            SocketError::Unreachable(cause)
        }
        // The socket serves all peers: it is never over, and what is at fault here may pass.
        (Call::SendDatagram | Call::ReceiveDatagram, _) => SocketError::OwnShortage(cause),
        (Call::Accept, number) if ends_accepted_connection(number) => SocketError::Broken(cause),
        // The listener itself may be at fault: repeated at once, it could take up the processor.
        (Call::Accept, _) => SocketError::OwnShortage(cause),
        (Call::Listen | Call::Read | Call::Write | Call::Peek, _) => SocketError::Broken(cause),
    }
}

/// The same for a failure that has no number, since a library reports it.
fn classify_kind(call: Call, cause: io::Error) -> SocketError {
    match (cause.kind(), call) {
        (io::ErrorKind::Interrupted, _) => SocketError::Interrupted,
        (io::ErrorKind::WouldBlock, _) => SocketError::WouldBlock,
        (_, Call::Accept | Call::SendDatagram | Call::ReceiveDatagram) => SocketError::OwnShortage(cause),
        (_, Call::Connect) => SocketError::Unreachable(cause),
        (_, Call::Listen | Call::Read | Call::Write | Call::Peek) => SocketError::Broken(cause),
    }
}

/// A connect or a datagram that fails so has not left this machine: no port, no route, no network, or its own firewall.
fn is_local(number: i32) -> bool {
    matches!(
        number,
        libc::EADDRNOTAVAIL
            | libc::EADDRINUSE
            | libc::ENETUNREACH
            | libc::ENETDOWN
            | libc::EACCES
            | libc::EPERM
    )
}

/// The network's answer to a datagram: nobody listens there, or its machine cannot be reached.
fn tells_of_peer(number: i32) -> bool {
    matches!(
        number,
        libc::ECONNREFUSED
            | libc::ECONNRESET
            | libc::EHOSTUNREACH
            | libc::EHOSTDOWN
            | libc::ENETUNREACH
            | libc::ENOPROTOOPT
            | libc::EPROTO
            | libc::ETIMEDOUT
    )
}

/// An accept that fails so has taken a connection from the backlog that had already ended: Linux reports the
/// connection's own errors here.
fn ends_accepted_connection(number: i32) -> bool {
    matches!(
        number,
        libc::ECONNABORTED
            | libc::ECONNRESET
            | libc::EPROTO
            | libc::ENOPROTOOPT
            | libc::ENETDOWN
            | libc::ENETUNREACH
            | libc::ENONET
            | libc::EHOSTDOWN
            | libc::EHOSTUNREACH
            | libc::ETIMEDOUT
            | libc::EPERM
    )
}

/// To be called before each call to the kernel: the most bytes that it may move, or the failure that a test puts in its
/// place.
pub(super) fn begin(call: Call) -> io::Result<usize> {
    match next_fault(call) {
        None => Ok(usize::MAX),
        Some(Fault::Short) => Ok(1),
        Some(Fault::Error(number)) => Err(io::Error::from_raw_os_error(number)),
    }
}

/// Makes a call that does not wait, again while signals interrupt it. The operation is told how many bytes it may move.
pub fn uninterrupted<T>(
    call: Call,
    mut operation: impl FnMut(usize) -> io::Result<T>,
) -> Result<T, SocketError> {
    loop {
        match begin(call).and_then(&mut operation).map_err(|cause| classify(call, cause)) {
            Err(SocketError::Interrupted) => {}
            done => return done,
        }
    }
}

/// Makes a call again while a shortage of this machine lasts, so many times at most: some pass in a moment.
pub async fn through_shortages<T, F>(attempts: u32, mut call: impl FnMut() -> F) -> Result<T, SocketError>
where
    F: Future<Output = Result<T, SocketError>>,
{
    for _ in 1..attempts {
        match call().await {
            Err(SocketError::OwnShortage(_)) => pause_after_shortage().await,
            done => return done,
        }
    }
    call().await
}

/// Listens at an address.
pub fn listen(address: SocketAddr) -> Result<TcpListener, SocketError> {
    uninterrupted(Call::Listen, |_| {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        // A gateway that starts again finds connections of its last run still winding up.
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    })
}

/// Where connections are accepted.
pub trait Acceptor {
    /// An accepted connection.
    type Stream;

    /// Makes one call. May be cancelled without loss.
    fn accept(&self) -> impl Future<Output = io::Result<Self::Stream>>;
}

impl Acceptor for TcpListener {
    type Stream = TcpStream;

    async fn accept(&self) -> io::Result<TcpStream> {
        begin(Call::Accept)?;
        Ok(TcpListener::accept(self).await?.0)
    }
}

/// Accepts a connection. May be cancelled without loss.
pub async fn accept<A: Acceptor>(acceptor: &A) -> Result<A::Stream, SocketError> {
    loop {
        match acceptor.accept().await.map_err(|cause| classify(Call::Accept, cause)) {
            Err(SocketError::Interrupted | SocketError::WouldBlock) => {}
            accepted => return accepted,
        }
    }
}

/// Connects to a peer.
pub async fn connect(address: SocketAddr) -> Result<TcpStream, SocketError> {
    let call = || async {
        begin(Call::Connect)?;
        TcpStream::connect(address).await
    };
    connect_with(call).await
}

/// Connects by this call, which makes a new socket each time.
pub async fn connect_with<S, F>(mut call: impl FnMut() -> F) -> Result<S, SocketError>
where
    F: Future<Output = io::Result<S>>,
{
    loop {
        match call().await.map_err(|cause| classify(Call::Connect, cause)) {
            // A connect that fails at once never waits: the caller's timers need their turn.
            Err(SocketError::Interrupted) => tokio::task::yield_now().await,
            connected => return connected,
        }
    }
}

/// A connection's two directions. A call that would block shows as [`io::ErrorKind::WouldBlock`].
pub trait ByteStream {
    /// Waits until a read may bring something.
    fn readable(&self) -> impl Future<Output = io::Result<()>>;

    /// Waits until a write may take something.
    fn writable(&self) -> impl Future<Output = io::Result<()>>;

    /// Reads once.
    fn try_read(&self, bytes: &mut [u8]) -> io::Result<usize>;

    /// Writes once.
    fn try_write(&self, slices: &[IoSlice<'_>]) -> io::Result<usize>;
}

impl ByteStream for TcpStream {
    async fn readable(&self) -> io::Result<()> {
        TcpStream::readable(self).await
    }

    async fn writable(&self) -> io::Result<()> {
        TcpStream::writable(self).await
    }

    fn try_read(&self, bytes: &mut [u8]) -> io::Result<usize> {
        TcpStream::try_read(self, bytes)
    }

    fn try_write(&self, slices: &[IoSlice<'_>]) -> io::Result<usize> {
        TcpStream::try_write_vectored(self, slices)
    }
}

/// Reads once, as soon as something is there; 0 at the end of the stream. A short read does not count as a sign that
/// nothing more is there. May be cancelled without loss.
pub async fn read(stream: &impl ByteStream, bytes: &mut [u8]) -> Result<usize, SocketError> {
    loop {
        stream.readable().await.map_err(SocketError::Broken)?;
        // A peer that always has more must not keep other tasks from their turn.
        tokio::task::coop::consume_budget().await;
        let once = |most: usize| {
            let room = most.min(bytes.len());
            stream.try_read(&mut bytes[..room])
        };
        match uninterrupted(Call::Read, once) {
            Err(SocketError::WouldBlock) => {}
            Err(SocketError::OwnShortage(_)) => pause_after_shortage().await,
            done => return done,
        }
    }
}

/// Waits until a write may take something. May be cancelled without loss.
pub async fn writable(stream: &impl ByteStream) -> Result<(), SocketError> {
    stream.writable().await.map_err(SocketError::Broken)?;
    tokio::task::coop::consume_budget().await;
    Ok(())
}

/// Writes something of it without waiting, and moves it on by what was taken. Nothing was written if it fails.
pub fn write_now(stream: &impl ByteStream, bytes: &mut impl Buf) -> Result<(), SocketError> {
    match uninterrupted(Call::Write, |most| try_write(stream, bytes, most))? {
        0 => Err(SocketError::Broken(io::ErrorKind::WriteZero.into())),
        count => {
            bytes.advance(count);
            Ok(())
        }
    }
}

/// Writes something of it, and moves it on by what was taken. May be cancelled without loss.
pub async fn write(stream: &impl ByteStream, bytes: &mut impl Buf) -> Result<(), SocketError> {
    loop {
        writable(stream).await?;
        match write_now(stream, bytes) {
            Err(SocketError::WouldBlock) => {}
            Err(SocketError::OwnShortage(_)) => pause_after_shortage().await,
            done => return done,
        }
    }
}

/// Writes all of it. If it is cancelled, what is left tells where to go on.
pub async fn write_all(stream: &impl ByteStream, bytes: &mut impl Buf) -> Result<(), SocketError> {
    while bytes.has_remaining() {
        write(stream, bytes).await?;
    }
    Ok(())
}

fn try_write(stream: &impl ByteStream, bytes: &impl Buf, most: usize) -> io::Result<usize> {
    if most < bytes.chunk().len() {
        return stream.try_write(&[IoSlice::new(&bytes.chunk()[..most])]);
    }
    let mut slices = [IoSlice::new(&[]); MAX_WRITE_SLICES];
    let count = bytes.chunks_vectored(&mut slices);
    stream.try_write(&slices[..count])
}

/// Waits before a call is repeated that failed for a shortage of this machine.
pub async fn pause_after_shortage() {
    tokio::time::sleep(SHORTAGE_PAUSE).await;
}

/// What lies unread in the kernel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    /// Nothing.
    Nothing,
    /// Bytes.
    Bytes,
    /// The end of the stream, or an error that ended it.
    End,
}

/// What this call, which peeks without waiting, finds unread.
pub fn unread(mut peek: impl FnMut() -> io::Result<usize>) -> Unread {
    match uninterrupted(Call::Peek, |_| peek()) {
        Ok(1..) => Unread::Bytes,
        Err(SocketError::WouldBlock | SocketError::OwnShortage(_)) => Unread::Nothing,
        Ok(0) | Err(_) => Unread::End,
    }
}

/// What lies unread on this connection. The kernel itself is asked: the reactor may not have heard yet of what came a
/// moment ago.
pub fn unread_on(stream: &TcpStream) -> Unread {
    let socket = socket2::SockRef::from(stream);
    unread(|| socket.peek(&mut [std::mem::MaybeUninit::uninit()]))
}
