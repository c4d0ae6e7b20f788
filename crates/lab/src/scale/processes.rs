//! The processes of a fleet, as the experiment speaks to them.

use super::protocol::{Command, GatewayStats, Stats};
use crate::measure::{cpu_ns, resident_kb};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command as Process};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// A hollow process, as the experiment speaks to it.
pub struct Hollow {
    /// Its gateways.
    pub gateways: Vec<usize>,
    pub(super) child: Child,
    pub(super) stream: BufReader<TcpStream>,
}

impl Hollow {
    /// Asks for something and waits for the answer.
    pub async fn ask(&mut self, command: &Command) -> Result<Stats, crate::error::LabError> {
        let line = serde_json::to_string(command).map_err(std::io::Error::other)? + "\n";
        self.stream.get_mut().write_all(line.as_bytes()).await?;
        let mut answer = String::new();
        if self.stream.read_line(&mut answer).await? == 0 {
            return Err(crate::error::LabError::HollowProcessEnded);
        }
        Ok(serde_json::from_str(&answer)?)
    }
}

impl Drop for Hollow {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A real gateway.
pub(super) struct Real {
    pub(super) child: Child,
    pub(super) listen: SocketAddr,
    pub(super) log: PathBuf,
    pub(super) number: usize,
}

impl Drop for Real {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Real {
    /// Its counters, asked for by a signal and read from its log.
    pub(super) async fn stats(&self) -> Result<Stats, crate::error::LabError> {
        let id = self.child.id();
        let lines = |text: &str| text.matches("requests=").count();
        let before = lines(&std::fs::read_to_string(&self.log)?);
        let sent = Process::new("kill").args(["-USR1", &id.to_string()]).status()?;
        if !sent.success() {
            return Err(crate::error::LabError::GatewayDown(self.number));
        }
        for _ in 0..200 {
            let text = std::fs::read_to_string(&self.log)?;
            if lines(&text) > before {
                let last = text.lines().rev().find(|line| line.contains("requests=")).unwrap_or_default();
                return Ok(Stats {
                    cpu_ns: cpu_ns(id)?,
                    rss_kb: resident_kb(id)?,
                    base_kb: 0,
                    gateways: vec![self.counted(last)],
                });
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        Err(crate::error::LabError::CountersMissing(self.number))
    }

    fn counted(&self, line: &str) -> GatewayStats {
        let count = |name: &str| {
            let mut words = line.split_ascii_whitespace();
            let value =
                words.find_map(|word| word.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok());
            value.unwrap_or(0)
        };
        GatewayStats {
            number: self.number,
            up: true,
            told: count("told"),
            told_bytes: count("told_bytes"),
            heard: count("heard"),
            heard_bytes: count("heard_bytes"),
            list_bytes: count("list_bytes"),
            ..GatewayStats::default()
        }
    }
}
