//! Calls on datagram sockets between gateways, with the failures that Linux documents for them sorted as in
//! [`socket`].
//!
//! A datagram that cannot be sent is lost like any other, and no failure ends the exchange: the socket serves all peers, so
//! what the kernel says of one of them, or of this machine for a moment, says nothing of the next call.

use crate::os::socket::{self, classify, uninterrupted, Call, SocketError};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// Times that a datagram is handed to the kernel, if errors of earlier ones are reported in its place (count).
const SEND_ATTEMPTS: u32 = 2;

/// A socket for datagrams between gateways.
pub trait DatagramSocket {
    /// Makes one call to send a datagram, which does not wait.
    ///
    /// # Errors
    ///
    /// Fails as the call did; the datagram is lost then.
    fn try_send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()>;

    /// Makes one call to receive a datagram, once one is there: its length. May be cancelled without loss.
    fn receive(&self, bytes: &mut [u8]) -> impl Future<Output = io::Result<usize>>;
}

impl DatagramSocket for UdpSocket {
    fn try_send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        // The kernel itself is asked: the reactor takes a new socket, or one that was full a moment ago, for not ready.
        socket2::SockRef::from(self).send_to(bytes, &to.into())?;
        Ok(())
    }

    async fn receive(&self, bytes: &mut [u8]) -> io::Result<usize> {
        socket::begin(Call::ReceiveDatagram)?;
        Ok(self.recv_from(bytes).await?.0)
    }
}

/// Opens a socket for datagrams at an address.
///
/// # Errors
///
/// Fails with a shortage that may pass, or because the address cannot be used.
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

/// Sends a datagram at once.
///
/// # Errors
///
/// Fails if the datagram is lost: the kernel has no room for it or no way to its peer.
pub fn send(socket: &impl DatagramSocket, bytes: &[u8], to: SocketAddr) -> Result<(), SocketError> {
    let mut sent = Ok(());
    for _ in 0..SEND_ATTEMPTS {
        sent = uninterrupted(Call::SendDatagram, |_| socket.try_send(bytes, to));
        // What the network said of an earlier datagram, to whichever peer, is reported in place of this call.
        if !matches!(sent, Err(SocketError::Unreachable(_))) {
            break;
        }
    }
    sent
}

/// Receives a datagram: its length. May be cancelled without loss.
///
/// # Errors
///
/// Fails if the call did. The next one may bring a datagram, after a pause.
pub async fn receive(socket: &impl DatagramSocket, bytes: &mut [u8]) -> Result<usize, SocketError> {
    loop {
        // A call that fails at once never waits: the caller's timers need their turn.
        tokio::task::coop::consume_budget().await;
        match socket.receive(bytes).await.map_err(|cause| classify(Call::ReceiveDatagram, cause)) {
            Err(SocketError::Interrupted | SocketError::WouldBlock) => {}
            received => return received,
        }
    }
}
