//! Detects that a client has closed its connection, without reading from it.

use tokio::io::Interest;
use tokio::net::tcp::ReadHalf;

/// Waits until the client has closed its side or the connection broke, without reading.
///
/// Waits for priority data, for which the socket is not registered, so that only the end of the connection is
/// reported and not readable bytes.
pub(super) async fn closed_by_client(stream: &ReadHalf<'_>) {
    loop {
        match stream.ready(Interest::PRIORITY).await {
            Ok(ready) if !ready.is_read_closed() => tokio::task::yield_now().await,
            _ => return,
        }
    }
}

/// Whether the client has closed its side or the connection broke, as far as the reactor knows.
pub(super) async fn is_closed_by_client(stream: &ReadHalf<'_>) -> bool {
    tokio::select! {
        biased;
        () = closed_by_client(stream) => true,
        () = std::future::ready(()) => false,
    }
}
