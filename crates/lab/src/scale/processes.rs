//! The experiment's handles of a fleet's processes.

use super::protocol::{Command, GatewayStats, Stats};
use crate::error::LabError;
use crate::gateways::{counter_lines, logged_counter};
use crate::measure::{cpu_ns, resident_kb};
use petrelgauge_test_support::ChildProcess;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// Interval at which a real gateway's log is read until it has new counters.
const LOG_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum number of reads: one second altogether.
const LOG_POLLS: usize = 200;

/// A process of hollow gateways.
pub struct HollowProcess {
    /// Numbers of its gateways.
    pub gateways: Vec<usize>,
    stream: BufReader<TcpStream>,
    _process: ChildProcess,
}

impl HollowProcess {
    pub(super) fn new(
        gateways: Vec<usize>,
        process: ChildProcess,
        stream: BufReader<TcpStream>,
    ) -> HollowProcess {
        HollowProcess { gateways, stream, _process: process }
    }

    /// Sends a command and waits for the answer.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended or its answer cannot be read.
    pub async fn request(&mut self, command: &Command) -> Result<Stats, LabError> {
        let line = serde_json::to_string(command)? + "\n";
        self.stream.get_mut().write_all(line.as_bytes()).await?;
        let mut answer = String::new();
        if self.stream.read_line(&mut answer).await? == 0 {
            return Err(LabError::HollowProcessEnded);
        }
        Ok(serde_json::from_str(&answer)?)
    }
}

/// A real gateway.
pub(super) struct RealGateway {
    pub(super) process: ChildProcess,
    pub(super) listen: SocketAddr,
    pub(super) log: PathBuf,
    pub(super) number: usize,
}

impl RealGateway {
    /// Requests its counters by a signal and reads them from its log.
    pub(super) async fn stats(&self) -> Result<Stats, LabError> {
        let lines_before = counter_lines(&std::fs::read_to_string(&self.log)?);
        if !self.process.signal("USR1")? {
            return Err(LabError::GatewayDown(self.number));
        }
        for _ in 0..LOG_POLLS {
            let log = std::fs::read_to_string(&self.log)?;
            if counter_lines(&log) > lines_before {
                let id = self.process.id();
                let gateways = vec![self.gateway_stats(&log)];
                return Ok(Stats { cpu_ns: cpu_ns(id)?, rss_kb: resident_kb(id)?, base_kb: 0, gateways });
            }
            tokio::time::sleep(LOG_POLL_INTERVAL).await;
        }
        Err(LabError::CountersMissing(self.number))
    }

    fn gateway_stats(&self, log: &str) -> GatewayStats {
        GatewayStats {
            number: self.number,
            datagrams_sent: logged_counter(log, "datagrams_sent"),
            bytes_sent: logged_counter(log, "datagram_bytes_sent"),
            datagrams_received: logged_counter(log, "datagrams_received"),
            bytes_received: logged_counter(log, "datagram_bytes_received"),
            list_bytes: logged_counter(log, "list_bytes"),
            ..GatewayStats::default()
        }
    }
}
