//! A client's connection to a gateway, in PostgreSQL's simple queries.

use petrelgauge::net::pg::{self, Framer};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A row with this version, and the session's token if one was told.
    Row(u64, Option<String>),
    /// An error with this code, and the session's token if one was told.
    Error(String, Option<String>),
    /// No answer: the connection broke or the time was up.
    NoAnswer,
}

/// One connection.
pub struct Connection {
    stream: TcpStream,
    framer: Framer,
}

impl Connection {
    /// Connects and says who it is.
    pub async fn open(address: SocketAddr) -> std::io::Result<Connection> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let mut connection = Connection { stream, framer: Framer::default() };
        let mut startup = Vec::new();
        pg::put_startup(&mut startup);
        connection.stream.write_all(&startup).await?;
        Ok(connection)
    }

    /// Asks, and waits for the answer. After [`Answer::NoAnswer`] the connection is of no more use.
    pub async fn ask(&mut self, text: &str, wait: Duration) -> Answer {
        let mut query = Vec::new();
        pg::put(&mut query, b'Q', |body| {
            body.extend_from_slice(text.as_bytes());
            body.push(0);
        });
        let exchange = async {
            self.stream.write_all(&query).await.ok()?;
            self.answer().await
        };
        tokio::time::timeout(wait, exchange).await.ok().flatten().unwrap_or(Answer::NoAnswer)
    }

    async fn answer(&mut self) -> Option<Answer> {
        let (mut version, mut code, mut token, mut room) = (None, None, None, [0; 4096]);
        let mut answered = false;
        loop {
            while let Some(message) = self.framer.message().ok()? {
                match message.kind() {
                    b'D' => {
                        let value = message.body().get(6..)?;
                        version = std::str::from_utf8(value).ok()?.parse().ok();
                        answered = true;
                    }
                    b'E' => {
                        code = pg::error_field(message.body(), b'C').map(str::to_string);
                        answered = true;
                    }
                    b'S' => {
                        if let Some(("petrelgauge.mark", value)) = pg::parameter(message.body()) {
                            token = Some(value.to_string());
                        }
                    }
                    b'Z' if answered => {
                        return Some(match (version, code) {
                            (_, Some(code)) => Answer::Error(code, token),
                            (Some(version), None) => Answer::Row(version, token),
                            (None, None) => Answer::NoAnswer,
                        });
                    }
                    _ => {}
                }
            }
            match self.stream.read(&mut room).await {
                Ok(0) | Err(_) => return None,
                Ok(count) => self.framer.feed(&room[..count]),
            }
        }
    }
}
