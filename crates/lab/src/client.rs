//! A client's connection to a gateway, speaking PostgreSQL's simple query protocol.

use petrelgauge::postgres::{self, Framer};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// SQLSTATE of a request that was rejected because the gateway or the hosts are overloaded.
pub const SQLSTATE_REJECTED: &str = "53300";
/// SQLSTATE of a request whose session token is not usable.
pub const SQLSTATE_INVALID_TOKEN: &str = "22023";
/// The parameter status message that carries a session's token.
const SESSION_TOKEN_PARAMETER: &str = "petrelgauge.mark";
/// Bytes of a data row before its only value: the count of columns and the value's length.
const DATA_ROW_HEADER: usize = 6;
/// Bytes read from the socket at a time.
const READ_BUFFER: usize = 4096;

/// The result of a request, as its client sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A row.
    Row {
        /// The version of the row.
        version: u64,
        /// The session's token, if the gateway sent one.
        token: Option<String>,
    },
    /// An error.
    Error {
        /// Its SQLSTATE.
        code: String,
        /// The session's token, if the gateway sent one.
        token: Option<String>,
    },
    /// No answer: the connection broke or the time limit was reached.
    NoAnswer,
}

/// One connection.
pub struct Connection {
    stream: TcpStream,
    framer: Framer,
}

/// What has been read of an answer so far.
#[derive(Default)]
struct PartialAnswer {
    version: Option<u64>,
    code: Option<String>,
    token: Option<String>,
    /// A row or an error has come.
    has_result: bool,
}

impl PartialAnswer {
    fn finish(self) -> Answer {
        let token = self.token;
        match (self.version, self.code) {
            (_, Some(code)) => Answer::Error { code, token },
            (Some(version), None) => Answer::Row { version, token },
            (None, None) => Answer::NoAnswer,
        }
    }
}

impl Connection {
    /// Connects and sends the startup message.
    ///
    /// # Errors
    ///
    /// Fails if the gateway does not accept the connection or closes it at once.
    pub async fn open(address: SocketAddr) -> std::io::Result<Connection> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let mut connection = Connection { stream, framer: Framer::default() };
        let mut startup = Vec::new();
        postgres::put_startup(&mut startup);
        connection.stream.write_all(&startup).await?;
        Ok(connection)
    }

    /// Sends a query and waits for its answer. The connection cannot be used again after [`Answer::NoAnswer`].
    pub async fn query(&mut self, text: &str, time_limit: Duration) -> Answer {
        let mut query = Vec::new();
        postgres::put(&mut query, b'Q', |body| {
            body.extend_from_slice(text.as_bytes());
            body.push(0);
        });
        let exchange = async {
            self.stream.write_all(&query).await.ok()?;
            self.read_answer().await
        };
        tokio::time::timeout(time_limit, exchange).await.ok().flatten().unwrap_or(Answer::NoAnswer)
    }

    async fn read_answer(&mut self) -> Option<Answer> {
        let (mut answer, mut buffer) = (PartialAnswer::default(), [0; READ_BUFFER]);
        loop {
            while let Some(message) = self.framer.message().ok()? {
                match message.kind() {
                    b'D' => {
                        let value = message.body().get(DATA_ROW_HEADER..)?;
                        answer.version = std::str::from_utf8(value).ok()?.parse().ok();
                        answer.has_result = true;
                    }
                    b'E' => {
                        answer.code = postgres::error_field(message.body(), b'C').map(str::to_string);
                        answer.has_result = true;
                    }
                    b'S' => {
                        if let Some((SESSION_TOKEN_PARAMETER, value)) = postgres::parameter(message.body()) {
                            answer.token = Some(value.to_string());
                        }
                    }
                    b'Z' if answer.has_result => return Some(answer.finish()),
                    _ => {}
                }
            }
            match self.stream.read(&mut buffer).await {
                Ok(0) | Err(_) => return None,
                Ok(count) => self.framer.feed(&buffer[..count]),
            }
        }
    }
}
