//! System calls on the datagram sockets between gateways. Failures are classified as in [`socket`].
//!
//! A datagram that cannot be sent counts as lost in the network. No failure closes the socket: it serves all
//! peers, and an error about one peer or about local resources does not predict the result of the next call.

use crate::os::socket::{self, classify, retry_interrupted, Call, SocketError};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// Maximum number of calls to send one datagram. A call may report the error of an earlier datagram instead
/// of sending this one.
const SEND_ATTEMPTS: u32 = 2;

/// A socket for datagrams between gateways.
pub trait DatagramSocket {
    /// Makes one system call to send a datagram, without waiting.
    ///
    /// # Errors
    ///
    /// Fails if the call fails. The datagram is lost then.
    fn try_send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()>;

    /// Waits for a datagram and makes one system call to receive it. Returns its length. Cancel safe.
    fn receive(&self, bytes: &mut [u8]) -> impl Future<Output = io::Result<usize>>;
}

impl DatagramSocket for UdpSocket {
    fn try_send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        // Bypasses the reactor, which considers a socket not ready if it is new or was full a moment ago.
        socket2::SockRef::from(self).send_to(bytes, &to.into())?;
        Ok(())
    }

    async fn receive(&self, bytes: &mut [u8]) -> io::Result<usize> {
        socket::apply_fault(Call::ReceiveDatagram)?;
        Ok(self.recv_from(bytes).await?.0)
    }
}

/// Opens a datagram socket on an address.
///
/// # Errors
///
/// Fails if local resources are exhausted or the address is not available.
pub async fn bind(address: SocketAddr) -> Result<UdpSocket, SocketError> {
    let call = || async {
        socket::apply_fault(Call::Listen)?;
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
/// Fails if the datagram is lost because there is no buffer space or no route to the peer.
pub fn send(socket: &impl DatagramSocket, bytes: &[u8], to: SocketAddr) -> Result<(), SocketError> {
    let mut sent = Ok(());
    for _ in 0..SEND_ATTEMPTS {
        sent = retry_interrupted(Call::SendDatagram, |_| socket.try_send(bytes, to));
        // Unreachable is the error of an earlier datagram to some peer; this datagram was not sent.
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
/// Fails if the call fails. The caller may try again after a pause.
pub async fn receive(socket: &impl DatagramSocket, bytes: &mut [u8]) -> Result<usize, SocketError> {
    loop {
        // A call that fails at once does not yield, which would keep the caller's timers from running.
        tokio::task::coop::consume_budget().await;
        match socket.receive(bytes).await.map_err(|cause| classify(Call::ReceiveDatagram, cause)) {
            Err(SocketError::Interrupted | SocketError::WouldBlock) => {}
            received => return received,
        }
    }
}
