//! A client's connection to a gateway, for clients that run as asynchronous tasks. Blocking tests use
//! [`Client`](crate::Client).

use crate::messages::{query, startup};
use petrelgauge::postgres::Framer;
use std::io::ErrorKind;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Maximum bytes of one read.
const READ_BUFFER: usize = 4096;
/// Type of the message that ends each answer.
const READY_FOR_QUERY: u8 = b'Z';

/// A message: its type and its body.
pub type Message = (u8, Vec<u8>);

/// How a connection ended before the answer was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The gateway closed the connection.
    Closed,
    /// The connection was reset.
    Reset,
    /// The received bytes are not a valid message.
    Malformed,
}

/// A client's connection to a gateway.
pub struct Connection {
    stream: TcpStream,
    framer: Framer,
}

impl Connection {
    /// Connects and sends the startup message, without reading the answer.
    ///
    /// # Errors
    ///
    /// Fails if the gateway does not accept the connection or closes it at once.
    pub async fn open(address: SocketAddr) -> std::io::Result<Connection> {
        let mut stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        stream.write_all(&startup()).await?;
        Ok(Connection { stream, framer: Framer::default() })
    }

    /// Sends a query.
    ///
    /// # Errors
    ///
    /// Fails if the connection has ended.
    pub async fn send(&mut self, text: &str) -> std::io::Result<()> {
        self.stream.write_all(&query(text)).await
    }

    /// Sends bytes, such as several messages at once.
    ///
    /// # Errors
    ///
    /// Fails if the connection has ended.
    pub async fn send_bytes(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Reads the messages of an answer, up to and including ReadyForQuery.
    ///
    /// # Errors
    ///
    /// Returns how the connection ended if it ended before ReadyForQuery.
    pub async fn read_until_ready(&mut self) -> Result<Vec<Message>, ConnectionEnd> {
        let (mut messages, mut buffer) = (Vec::new(), [0; READ_BUFFER]);
        loop {
            while let Some(message) = self.framer.message().map_err(|_| ConnectionEnd::Malformed)? {
                messages.push((message.kind(), message.body().to_vec()));
                if message.kind() == READY_FOR_QUERY {
                    return Ok(messages);
                }
            }
            match self.stream.read(&mut buffer).await {
                Ok(0) => return Err(ConnectionEnd::Closed),
                Err(cause) if cause.kind() == ErrorKind::UnexpectedEof => return Err(ConnectionEnd::Closed),
                Err(_) => return Err(ConnectionEnd::Reset),
                Ok(count) => self.framer.feed(&buffer[..count]),
            }
        }
    }

    /// Takes the socket's pending error, such as a reset that arrived after the end of the connection.
    ///
    /// # Errors
    ///
    /// Fails if the socket option cannot be read.
    pub fn take_error(&self) -> std::io::Result<Option<std::io::Error>> {
        self.stream.take_error()
    }
}
