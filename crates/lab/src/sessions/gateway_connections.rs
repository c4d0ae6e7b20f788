//! A client's idle connections to the gateways of a cluster.

use crate::client::{ask, Answer};
use petrelgauge_test_support::Connection;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Idle connections, by the index of their gateway.
#[derive(Default)]
pub(super) struct GatewayConnections {
    idle: HashMap<usize, Connection>,
}

impl GatewayConnections {
    /// Sends a query over an idle connection to this gateway, or over a new one. If the gateway is down, the
    /// query goes to the next gateway that accepts connections.
    pub(super) async fn query(
        &mut self,
        addresses: &[SocketAddr],
        gateway: usize,
        text: &str,
        timeout: Duration,
    ) -> Answer {
        if let Some(mut connection) = self.idle.remove(&gateway) {
            let answer = ask(&mut connection, text, timeout).await;
            if answer != Answer::NoAnswer {
                self.idle.insert(gateway, connection);
                return answer;
            }
            // The connection was closed before the request was read; a new one gets another attempt.
        }
        for candidate in (gateway..addresses.len()).chain(0..gateway) {
            let Ok(mut connection) = Connection::open(addresses[candidate]).await else { continue };
            let answer = ask(&mut connection, text, timeout).await;
            if answer != Answer::NoAnswer {
                self.idle.insert(candidate, connection);
            }
            return answer;
        }
        Answer::NoAnswer
    }
}
