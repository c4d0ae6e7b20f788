//! A client's connection to a gateway, for clients that run as tasks. [`Client`](crate::Client) is the one of tests that
//! wait for each byte.

use crate::messages::{query, startup};
use petrelgauge::postgres::Framer;
use std::io::ErrorKind;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Bytes read from the socket at a time.
const READ_BUFFER: usize = 4096;
/// The type of the message that ends each answer.
const READY_FOR_QUERY: u8 = b'Z';

/// A message: its type and its body.
pub type Message = (u8, Vec<u8>);

/// How a connection ended before its answer did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The gateway closed it.
    Closed,
    /// It was reset.
    Reset,
    /// What came is no message.
    Malformed,
}

/// One connection.
pub struct Connection {
    stream: TcpStream,
    framer: Framer,
}

impl Connection {
    /// Connects and sends the startup message, whose answer has yet to be read.
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

    /// Reads the messages of an answer, its end included.
    ///
    /// # Errors
    ///
    /// Says how the connection ended if it ended before.
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

    /// The error that the socket has pending, such as a reset behind the connection's end.
    ///
    /// # Errors
    ///
    /// Fails if the system does not say.
    pub fn take_error(&self) -> std::io::Result<Option<std::io::Error>> {
        self.stream.take_error()
    }
}
