//! Calls on stream sockets: every accept, connect, read, write and peek of the gateway.
//!
//! Failures are classified by what the caller has to do ([`SocketError`]). A call that a signal interrupted
//! is repeated here. Short reads and writes are left to the caller, except by [`write_all`]. Tests implement
//! the traits [`Acceptor`] and [`ByteStream`] to inject failures; the program uses tokio's types.

pub use crate::os::socket_error::{classify, SocketError};
pub use crate::os::system_call::Call;
use crate::os::system_call::{next_fault, Fault};
use bytes::Buf;
use std::future::Future;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Pause before a call that failed for lack of local resources is repeated.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(2);
/// Length of a listen backlog (connections).
const BACKLOG: u32 = 1024;
/// Most buffers that one call writes (count).
const MAX_WRITE_SLICES: usize = 64;

/// Called before each system call. Returns the most bytes that the call may move, or the failure that a test
/// injects.
pub(super) fn begin(call: Call) -> io::Result<usize> {
    match next_fault(call) {
        None => Ok(usize::MAX),
        Some(Fault::Short) => Ok(1),
        Some(Fault::Error(number)) => Err(io::Error::from_raw_os_error(number)),
    }
}

/// Makes a call that does not wait, and repeats it while signals interrupt it. `operation` gets the most
/// bytes that it may move.
///
/// # Errors
///
/// Fails with any error of the call except an interruption.
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

/// Makes a call, at most `attempts` times while it fails for lack of local resources, which may pass in a
/// moment.
///
/// # Errors
///
/// Fails as the last attempt did, and with any other error at once.
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

/// Listens on an address.
///
/// # Errors
///
/// Fails if the address is not available, or for lack of local resources.
pub fn listen(address: SocketAddr) -> Result<TcpListener, SocketError> {
    uninterrupted(Call::Listen, |_| {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        // After a restart, connections of the previous process may still be in TIME_WAIT.
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    })
}

/// A listening socket.
pub trait Acceptor {
    /// An accepted connection.
    type Stream;

    /// Makes one call. Cancel safe.
    fn accept(&self) -> impl Future<Output = io::Result<Self::Stream>>;
}

impl Acceptor for TcpListener {
    type Stream = TcpStream;

    async fn accept(&self) -> io::Result<TcpStream> {
        begin(Call::Accept)?;
        Ok(TcpListener::accept(self).await?.0)
    }
}

/// Accepts a connection. Cancel safe.
///
/// # Errors
///
/// Fails for lack of local resources, or because the client has disconnected. The listener still works.
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
/// Fails for lack of local resources, or because the peer is unreachable.
pub async fn connect(address: SocketAddr) -> Result<TcpStream, SocketError> {
    let call = || async {
        begin(Call::Connect)?;
        TcpStream::connect(address).await
    };
    connect_with(call).await
}

/// Connects by `call`, which creates a new socket each time.
///
/// # Errors
///
/// Fails with any error of the call except an interruption.
pub async fn connect_with<S, F>(mut call: impl FnMut() -> F) -> Result<S, SocketError>
where
    F: Future<Output = io::Result<S>>,
{
    loop {
        match call().await.map_err(|cause| classify(Call::Connect, cause)) {
            // A connect that fails at once does not yield by itself, and the caller's timers have to run.
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

    /// Reads once.
    ///
    /// # Errors
    ///
    /// Fails as the call did, also if it was interrupted or would block.
    fn try_read(&self, bytes: &mut [u8]) -> io::Result<usize>;

    /// Writes once.
    ///
    /// # Errors
    ///
    /// Fails as the call did, also if it was interrupted or would block.
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

/// Reads once, as soon as bytes are available. Returns 0 at the end of the stream. A short read does not mean
/// that no more bytes are available. Cancel safe.
///
/// # Errors
///
/// Fails if the connection has ended.
pub async fn read(stream: &impl ByteStream, bytes: &mut [u8]) -> Result<usize, SocketError> {
    loop {
        stream.readable().await.map_err(SocketError::Broken)?;
        // A peer that always has more must not keep other tasks from running.
        tokio::task::coop::consume_budget().await;
        let read_once = |max_bytes: usize| {
            let capacity = max_bytes.min(bytes.len());
            stream.try_read(&mut bytes[..capacity])
        };
        match uninterrupted(Call::Read, read_once) {
            Err(SocketError::WouldBlock) => {}
            Err(SocketError::OwnShortage(_)) => pause_after_shortage().await,
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

/// Writes a part of `bytes` without waiting, and advances `bytes` by it. Nothing was written if it fails.
///
/// # Errors
///
/// Fails if the connection has ended, if the call would block, or for lack of local resources.
pub fn write_now(stream: &impl ByteStream, bytes: &mut impl Buf) -> Result<(), SocketError> {
    match uninterrupted(Call::Write, |max_bytes| try_write(stream, bytes, max_bytes))? {
        0 => Err(SocketError::Broken(io::ErrorKind::WriteZero.into())),
        count => {
            bytes.advance(count);
            Ok(())
        }
    }
}

/// Writes a part of `bytes`, and advances `bytes` by it. Cancel safe.
///
/// # Errors
///
/// Fails if the connection has ended.
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

/// Writes all of `bytes`. If it is cancelled, `bytes` holds what is left to be written.
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

/// Waits before a call that failed for lack of local resources is repeated.
pub async fn pause_after_shortage() {
    tokio::time::sleep(SHORTAGE_PAUSE).await;
}

/// What a socket has to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    /// Nothing.
    Nothing,
    /// Bytes.
    Bytes,
    /// The end of the stream, or an error that ended it.
    End,
}

/// What a call that peeks without waiting finds unread.
pub fn unread(mut peek: impl FnMut() -> io::Result<usize>) -> Unread {
    match uninterrupted(Call::Peek, |_| peek()) {
        Ok(1..) => Unread::Bytes,
        Err(SocketError::WouldBlock | SocketError::OwnShortage(_)) => Unread::Nothing,
        Ok(0) | Err(_) => Unread::End,
    }
}

/// What this connection has to be read. Asks the kernel, since the reactor may not know yet of bytes that
/// have just arrived.
pub fn unread_on(stream: &TcpStream) -> Unread {
    let socket = socket2::SockRef::from(stream);
    unread(|| socket.peek(&mut [std::mem::MaybeUninit::uninit()]))
}
