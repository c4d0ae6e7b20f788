//! The host's side of a connection in PostgreSQL's simple query protocol.

use petrelgauge::postgres::{Framer, Opening};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Maximum bytes of one read.
const READ_BUFFER: usize = 16 * 1024;
/// Message type of a simple query.
const QUERY: u8 = b'Q';

/// A connection accepted by an emulated host.
///
/// The methods return `None` once the connection is unusable: it has ended, or the client sent something
/// other than a simple query.
pub struct HostConnection<'a> {
    stream: &'a mut TcpStream,
    framer: Framer,
    buffer: Vec<u8>,
}

impl HostConnection<'_> {
    /// Wraps a connection from which nothing has been read.
    pub fn new(stream: &mut TcpStream) -> HostConnection<'_> {
        let _ = stream.set_nodelay(true);
        HostConnection { stream, framer: Framer::default(), buffer: vec![0; READ_BUFFER] }
    }

    /// Reads the startup message and returns the requested minor version of the protocol.
    pub async fn startup(&mut self) -> Option<u16> {
        loop {
            match self.framer.opening().ok()? {
                Some(Opening::Startup { minor }) => return Some(minor),
                Some(_) => return None,
                None => self.read().await?,
            }
        }
    }

    /// Reads the next query and returns its text.
    pub async fn next_query(&mut self) -> Option<String> {
        loop {
            if let Some(message) = self.framer.message().ok()? {
                if message.kind() != QUERY {
                    return None;
                }
                return String::from_utf8(message.text().ok()?.to_vec()).ok();
            }
            self.read().await?;
        }
    }

    /// Writes messages.
    pub async fn write(&mut self, messages: &[u8]) -> Option<()> {
        self.stream.write_all(messages).await.ok()
    }

    async fn read(&mut self) -> Option<()> {
        match self.stream.read(&mut self.buffer).await {
            Ok(0) | Err(_) => None,
            Ok(count) => {
                self.framer.feed(&self.buffer[..count]);
                Some(())
            }
        }
    }
}
