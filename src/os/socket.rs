//! Calls on sockets, with the failures that Linux documents for them sorted by what the caller has to do.
//!
//! Every accept, connect, read, write and peek of the gateway goes through this module; calls on datagram sockets stand in
//! [`datagram`](crate::os::datagram), and failures are sorted in [`socket_error`](crate::os::socket_error). A call that a
//! signal interrupted is repeated here; short reads and writes are left to the caller's loop or, for [`write_all`], handled here. The traits
//! [`Acceptor`] and [`ByteStream`] let tests put a schedule of failures in place of the kernel; in the program they are
//! implemented by tokio's types and cost nothing.

pub use crate::os::socket_error::{classify, SocketError};
pub use crate::os::system_call::Call;
use crate::os::system_call::{next_fault, Fault};
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

/// To be called before each call to the kernel: the most bytes that it may move, or the failure that a test puts in its
/// place.
pub(super) fn begin(call: Call) -> io::Result<usize> {
    match next_fault(call) {
        None => Ok(usize::MAX),
        Some(Fault::Short) => Ok(1),
        Some(Fault::Error(number)) => Err(io::Error::from_raw_os_error(number)),
    }
}

/// Makes a call that does not wait, again while signals interrupt it. The operation gets the number of bytes that it may move.
///
/// # Errors
///
/// Fails as the last call did, with any error but an interruption.
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
///
/// # Errors
///
/// Fails as the last call did: with a shortage that outlasts all attempts, or with any other error at once.
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
///
/// # Errors
///
/// Fails if the address cannot be listened at, or with a shortage that may pass.
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
///
/// # Errors
///
/// Fails with a shortage that may pass, or because the client has left. The listener still works.
pub async fn accept<A: Acceptor>(acceptor: &A) -> Result<A::Stream, SocketError> {
    loop {
        match acceptor.accept().await.map_err(|cause| classify(Call::Accept, cause)) {
            Err(SocketError::Interrupted | SocketError::WouldBlock) => {}
            accepted => return accepted,
        }
    }
}

/// Connects to a peer.
///
/// # Errors
///
/// Fails with a shortage that may pass, or because the peer cannot be reached.
pub async fn connect(address: SocketAddr) -> Result<TcpStream, SocketError> {
    let call = || async {
        begin(Call::Connect)?;
        TcpStream::connect(address).await
    };
    connect_with(call).await
}

/// Connects by this call, which makes a new socket each time.
///
/// # Errors
///
/// Fails as the call did, with any error but an interruption.
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
    ///
    /// # Errors
    ///
    /// Fails as the call did; it may also have been interrupted, or be about to wait.
    fn try_read(&self, bytes: &mut [u8]) -> io::Result<usize>;

    /// Writes once.
    ///
    /// # Errors
    ///
    /// Fails as the call did; it may also have been interrupted, or be about to wait.
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
///
/// # Errors
///
/// Fails if the connection is over.
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
///
/// # Errors
///
/// Fails if the connection is over.
pub async fn writable(stream: &impl ByteStream) -> Result<(), SocketError> {
    stream.writable().await.map_err(SocketError::Broken)?;
    tokio::task::coop::consume_budget().await;
    Ok(())
}

/// Writes something of it without waiting, and moves it on by what was taken. Nothing was written if it fails.
///
/// # Errors
///
/// Fails if the connection is over, would have to wait, or for a shortage that may pass.
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
///
/// # Errors
///
/// Fails if the connection is over.
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
///
/// # Errors
///
/// Fails if the connection is over.
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
