//! System calls on stream sockets: every listen, accept, connect, read, write and peek of the gateway.
//!
//! Failures are classified by how the caller must react ([`SocketError`]). A call that is interrupted by a
//! signal is repeated here. Short reads and writes are left to the caller, except by [`write_all`]. Tests
//! implement the traits [`Acceptor`] and [`ByteStream`] to inject failures; the program uses tokio's types.

pub use crate::os::socket_error::{classify, SocketError};
pub use crate::os::system_call::Call;
use crate::os::system_call::{next_fault, Fault};
use bytes::Buf;
use std::future::Future;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Pause before repeating a call that failed because local resources were exhausted.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(2);
/// Length of a listen backlog (connections).
const BACKLOG: u32 = 1024;
/// Maximum number of buffers that one call writes.
const MAX_WRITE_SLICES: usize = 64;

/// Applies the fault that a test has scheduled for this call, if any. Called before each system call. Returns
/// the maximum number of bytes that the call may transfer, or fails with the injected error.
pub(super) fn apply_fault(call: Call) -> io::Result<usize> {
    match next_fault(call) {
        None => Ok(usize::MAX),
        Some(Fault::Short) => Ok(1),
        Some(Fault::Error(number)) => Err(io::Error::from_raw_os_error(number)),
    }
}

/// Makes a non-blocking call and repeats it while it is interrupted by signals. `operation` is passed the
/// maximum number of bytes that it may transfer.
///
/// # Errors
///
/// Fails with any error of the call other than an interruption.
pub fn retry_interrupted<T>(
    call: Call,
    mut operation: impl FnMut(usize) -> io::Result<T>,
) -> Result<T, SocketError> {
    loop {
        match apply_fault(call).and_then(&mut operation).map_err(|cause| classify(call, cause)) {
            Err(SocketError::Interrupted) => {}
            done => return done,
        }
    }
}

/// Makes a call up to `attempts` times while it fails because local resources are exhausted, which may be
/// temporary.
///
/// # Errors
///
/// Fails with the error of the last attempt, or at once with any other error.
pub async fn retry_on_shortage<T, F>(attempts: u32, mut call: impl FnMut() -> F) -> Result<T, SocketError>
where
    F: Future<Output = Result<T, SocketError>>,
{
    for _ in 1..attempts {
        match call().await {
            Err(SocketError::ResourceShortage(_)) => pause_after_shortage().await,
            done => return done,
        }
    }
    call().await
}

/// Opens a socket that listens on an address.
///
/// # Errors
///
/// Fails if the address is not available or local resources are exhausted.
pub fn listen(address: SocketAddr) -> Result<TcpListener, SocketError> {
    retry_interrupted(Call::Listen, |_| {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        // After a restart, connections of the previous process may still be in TIME_WAIT.
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    })
}

/// A listening socket.
pub trait Acceptor {
    /// The type of an accepted connection.
    type Stream;

    /// Waits for a connection and makes one system call to accept it. Cancel safe.
    fn accept(&self) -> impl Future<Output = io::Result<Self::Stream>>;
}

impl Acceptor for TcpListener {
    type Stream = TcpStream;

    async fn accept(&self) -> io::Result<TcpStream> {
        apply_fault(Call::Accept)?;
        Ok(TcpListener::accept(self).await?.0)
    }
}

/// Accepts a connection. Cancel safe.
///
/// # Errors
///
/// Fails if local resources are exhausted or the client has already disconnected. The listener remains
/// usable.
pub async fn accept<A: Acceptor>(acceptor: &A) -> Result<A::Stream, SocketError> {
    loop {
        match acceptor.accept().await.map_err(|cause| classify(Call::Accept, cause)) {
            Err(SocketError::Interrupted | SocketError::WouldBlock) => {}
            accepted => return accepted,
        }
    }
}

/// Connects to an address.
///
/// # Errors
///
/// Fails if local resources are exhausted or the address is unreachable.
pub async fn connect(address: SocketAddr) -> Result<TcpStream, SocketError> {
    let call = || async {
        apply_fault(Call::Connect)?;
        TcpStream::connect(address).await
    };
    connect_with(call).await
}

/// Connects with `call`, which must create a new socket each time it is called.
///
/// # Errors
///
/// Fails with any error of the call other than an interruption.
pub async fn connect_with<S, F>(mut call: impl FnMut() -> F) -> Result<S, SocketError>
where
    F: Future<Output = io::Result<S>>,
{
    loop {
        match call().await.map_err(|cause| classify(Call::Connect, cause)) {
            // A connect that fails at once does not yield, which would keep the caller's timers from running.
            Err(SocketError::Interrupted) => tokio::task::yield_now().await,
            connected => return connected,
        }
    }
}

/// A connected stream socket. A call that would block fails with [`io::ErrorKind::WouldBlock`].
pub trait ByteStream {
    /// Waits until the stream is readable.
    fn readable(&self) -> impl Future<Output = io::Result<()>>;

    /// Waits until the stream is writable.
    fn writable(&self) -> impl Future<Output = io::Result<()>>;

    /// Makes one system call to read.
    ///
    /// # Errors
    ///
    /// Fails if the call fails, including when it is interrupted or would block.
    fn try_read(&self, bytes: &mut [u8]) -> io::Result<usize>;

    /// Makes one system call to write.
    ///
    /// # Errors
    ///
    /// Fails if the call fails, including when it is interrupted or would block.
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

/// Waits until bytes are available and reads once. Returns 0 at the end of the stream. More bytes may be
/// available even after a short read. Cancel safe.
///
/// # Errors
///
/// Fails if the connection has ended.
pub async fn read(stream: &impl ByteStream, bytes: &mut [u8]) -> Result<usize, SocketError> {
    loop {
        stream.readable().await.map_err(SocketError::Broken)?;
        // A stream that always has bytes available must not keep other tasks from running.
        tokio::task::coop::consume_budget().await;
        let read_once = |max_bytes: usize| {
            let capacity = max_bytes.min(bytes.len());
            stream.try_read(&mut bytes[..capacity])
        };
        match retry_interrupted(Call::Read, read_once) {
            Err(SocketError::WouldBlock) => {}
            Err(SocketError::ResourceShortage(_)) => pause_after_shortage().await,
            done => return done,
        }
    }
}

/// Waits until the stream is writable. Cancel safe.
///
/// # Errors
///
/// Fails if the connection has ended.
pub async fn writable(stream: &impl ByteStream) -> Result<(), SocketError> {
    stream.writable().await.map_err(SocketError::Broken)?;
    tokio::task::coop::consume_budget().await;
    Ok(())
}

/// Writes part of `bytes` without waiting, and advances `bytes` past it. If it fails, nothing was written.
///
/// # Errors
///
/// Fails if the connection has ended, the call would block, or local resources are exhausted.
pub fn write_now(stream: &impl ByteStream, bytes: &mut impl Buf) -> Result<(), SocketError> {
    match retry_interrupted(Call::Write, |max_bytes| try_write(stream, bytes, max_bytes))? {
        0 => Err(SocketError::Broken(io::ErrorKind::WriteZero.into())),
        count => {
            bytes.advance(count);
            Ok(())
        }
    }
}

/// Waits until the stream is writable, writes part of `bytes` and advances `bytes` past it. Cancel safe.
///
/// # Errors
///
/// Fails if the connection has ended.
pub async fn write(stream: &impl ByteStream, bytes: &mut impl Buf) -> Result<(), SocketError> {
    loop {
        writable(stream).await?;
        match write_now(stream, bytes) {
            Err(SocketError::WouldBlock) => {}
            Err(SocketError::ResourceShortage(_)) => pause_after_shortage().await,
            done => return done,
        }
    }
}

/// Writes all of `bytes`. If it is cancelled, `bytes` holds the part that was not written.
///
/// # Errors
///
/// Fails if the connection has ended.
pub async fn write_all(stream: &impl ByteStream, bytes: &mut impl Buf) -> Result<(), SocketError> {
    while bytes.has_remaining() {
        write(stream, bytes).await?;
    }
    Ok(())
}

fn try_write(stream: &impl ByteStream, bytes: &impl Buf, max_bytes: usize) -> io::Result<usize> {
    if max_bytes < bytes.chunk().len() {
        return stream.try_write(&[IoSlice::new(&bytes.chunk()[..max_bytes])]);
    }
    let mut slices = [IoSlice::new(&[]); MAX_WRITE_SLICES];
    let count = bytes.chunks_vectored(&mut slices);
    stream.try_write(&slices[..count])
}

/// Waits before a call that failed because local resources were exhausted is repeated.
pub async fn pause_after_shortage() {
    tokio::time::sleep(SHORTAGE_PAUSE).await;
}

/// What can be read from a socket without waiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    /// No bytes, and the stream has not ended.
    Nothing,
    /// At least one byte.
    Bytes,
    /// The end of the stream, or an error that ended it.
    End,
}

/// Classifies the result of a non-blocking peek. Exhausted local resources count as nothing to read.
pub fn unread(mut peek: impl FnMut() -> io::Result<usize>) -> Unread {
    match retry_interrupted(Call::Peek, |_| peek()) {
        Ok(1..) => Unread::Bytes,
        Err(SocketError::WouldBlock | SocketError::ResourceShortage(_)) => Unread::Nothing,
        Ok(0) | Err(_) => Unread::End,
    }
}

/// Number of bytes that can be read from a connection without waiting. 0 if the connection has ended.
pub fn unread_count(stream: &TcpStream) -> usize {
    rustix::io::ioctl_fionread(stream).map_or(0, |count| usize::try_from(count).unwrap_or(usize::MAX))
}

/// Peeks at a connection. Asks the kernel, since the reactor may not yet know of bytes that have just
/// arrived.
pub fn unread_on(stream: &TcpStream) -> Unread {
    let socket = socket2::SockRef::from(stream);
    unread(|| socket.peek(&mut [std::mem::MaybeUninit::uninit()]))
}
