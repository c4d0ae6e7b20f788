//! A client: one connection that sends queries and reads the answers in order.

use super::wire;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The answer to a query.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// A whole row, with the session token that came with it.
    Row {
        /// The value.
        value: Vec<u8>,
        /// The value of the ParameterStatus `petrelgauge.mark`.
        token: Option<String>,
    },
    /// An ErrorResponse with this code.
    Error(String),
    /// The answer to an empty query.
    Empty,
}

/// A client's connection.
pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    /// Connects and completes the startup.
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        let mut client = Client { reader: BufReader::new(stream.try_clone()?), stream };
        client.stream.write_all(&wire::startup())?;
        loop {
            match wire::read_message(&mut client.reader)? {
                (b'Z', _) => return Ok(client),
                (b'E', body) => return Err(io::Error::other(wire::error_field(&body, b'C'))),
                _ => {}
            }
        }
    }

    /// Sends a query.
    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(&wire::query(text))
    }

    /// Reads the answer to the earliest query that has none.
    pub fn receive(&mut self) -> io::Result<Answer> {
        let (mut value, mut code, mut token, mut is_complete) = (None, None, None, false);
        loop {
            let (kind, body) = wire::read_message(&mut self.reader)?;
            match kind {
                b'D' if body.len() >= 6 => value = Some(body[6..].to_vec()),
                b'C' => is_complete = true,
                b'I' => is_complete = true,
                b'E' => code = Some(wire::error_field(&body, b'C')),
                b'S' => {
                    let text = String::from_utf8_lossy(&body).into_owned();
                    let mut parts = text.split('\0');
                    if parts.next() == Some("petrelgauge.mark") {
                        token = parts.next().map(str::to_string);
                    }
                }
                b'Z' => break,
                _ => {}
            }
        }
        match (code, value, is_complete) {
            (Some(code), _, _) => Ok(Answer::Error(code)),
            (None, Some(value), true) => Ok(Answer::Row { value, token }),
            (None, None, true) => Ok(Answer::Empty),
            _ => Err(io::Error::other("an answer without a row, an error or an end")),
        }
    }

    /// Sends a query and reads its answer.
    pub fn ask(&mut self, text: &str) -> io::Result<Answer> {
        self.send(text)?;
        self.receive()
    }
}
