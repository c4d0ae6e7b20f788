//! Calls on the datagram sockets between gateways, with failures classified as in [`socket`].
//!
//! A datagram that cannot be sent is lost like any other, and no failure ends the exchange: the socket serves
//! all peers, and an error about one peer, or about local resources, says nothing about the next call.

use crate::os::socket::{self, classify, uninterrupted, Call, SocketError};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// Most calls to send one datagram (count). A call may report the error of an earlier datagram instead of
/// sending.
const SEND_ATTEMPTS: u32 = 2;

/// A socket for datagrams between gateways.
pub trait DatagramSocket {
    /// Makes one call to send a datagram, without waiting.
    ///
    /// # Errors
    ///
    /// Fails as the call did. The datagram is lost then.
    fn try_send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()>;

    /// Makes one call to receive a datagram, once there is one. Returns its length. Cancel safe.
    fn receive(&self, bytes: &mut [u8]) -> impl Future<Output = io::Result<usize>>;
}

impl DatagramSocket for UdpSocket {
    fn try_send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        // Bypasses the reactor, which takes a new socket, or one that was full a moment ago, for not ready.
        socket2::SockRef::from(self).send_to(bytes, &to.into())?;
        Ok(())
    }

    async fn receive(&self, bytes: &mut [u8]) -> io::Result<usize> {
        socket::begin(Call::ReceiveDatagram)?;
        Ok(self.recv_from(bytes).await?.0)
    }
}

/// Opens a datagram socket on an address.
///
/// # Errors
///
/// Fails for lack of local resources, or because the address is not available.
pub async fn bind(address: SocketAddr) -> Result<UdpSocket, SocketError> {
    let call = || async {
        socket::begin(Call::Listen)?;
        UdpSocket::bind(address).await
    };
    loop {
        match call().await.map_err(|cause| classify(Call::Listen, cause)) {
            Err(SocketError::Interrupted) => tokio::task::yield_now().await,
            bound => return bound,
        }
    }
}

/// Sends a datagram without waiting.
///
/// # Errors
///
/// Fails if the datagram is lost, for lack of buffer space or of a route to the peer.
pub fn send(socket: &impl DatagramSocket, bytes: &[u8], to: SocketAddr) -> Result<(), SocketError> {
    let mut sent = Ok(());
    for _ in 0..SEND_ATTEMPTS {
        sent = uninterrupted(Call::SendDatagram, |_| socket.try_send(bytes, to));
        // This is the error of an earlier datagram to some peer; this datagram was not sent.
        if !matches!(sent, Err(SocketError::Unreachable(_))) {
            break;
        }
    }
    sent
}

/// Receives a datagram and returns its length. Cancel safe.
///
/// # Errors
///
/// Fails if the call did. The next call, after a pause, may succeed.
pub async fn receive(socket: &impl DatagramSocket, bytes: &mut [u8]) -> Result<usize, SocketError> {
    loop {
        // A call that fails at once does not yield by itself, and the caller's timers have to run.
        tokio::task::coop::consume_budget().await;
        match socket.receive(bytes).await.map_err(|cause| classify(Call::ReceiveDatagram, cause)) {
            Err(SocketError::Interrupted | SocketError::WouldBlock) => {}
            received => return received,
        }
    }
}
