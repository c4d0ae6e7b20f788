//! Calls to discovery: a connection, the question, and the answer as it is read.

use crate::net::clock::Clock;
use crate::net::endpoint_list::List;
use crate::net::lines::{Lines, Text, Texts, OVER};
use crate::net::socket::{self, ByteStream, SocketError};
use crate::Time;
use petrelgauge_lifecycle::watch::SILENCE;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Calls for the whole list.
pub(super) async fn call(address: SocketAddr, from: Time, clock: Clock) -> Result<List, String> {
    clock.sleep_until(from).await;
    let mut answer = Answer::default();
    let stream = open(address, "", clock).await?;
    loop {
        let read = answer.read(&stream, clock).await;
        let whole = std::mem::take(&mut answer.texts).into_iter().find_map(|text| match text {
            Text::Whole(text) => serde_json::from_slice(&text).ok(),
            Text::Broken => None,
        });
        match (whole, read) {
            (Some(list), _) => return Ok(list),
            (None, Err(cause)) => return Err(cause.text),
            (None, Ok(())) => {}
        }
    }
}

/// Connects to discovery and asks for its list.
pub(super) async fn open(address: SocketAddr, what: &str, clock: Clock) -> Result<TcpStream, String> {
    let request = format!("GET /discovery/hosts{what} HTTP/1.1\r\nHost: {address}\r\n\r\n");
    let opened = async {
        let stream = socket::connect(address).await?;
        socket::write_all(&stream, &mut request.as_bytes()).await?;
        Ok::<TcpStream, SocketError>(stream)
    };
    tokio::select! {
        stream = opened => stream.map_err(|cause| cause.to_string()),
        () = clock.sleep_until(clock.now() + SILENCE) => Err("it does not come up".into()),
    }
}

/// An answer of discovery that is being read.
#[derive(Default)]
pub struct Answer {
    pub(super) lines: Lines,
    partial: Texts,
    /// What is whole and was not taken.
    pub texts: Vec<Text>,
    /// Bytes that were read and not counted yet.
    pub(super) bytes: usize,
    /// When the last line came.
    heard: Option<Time>,
}

/// Why it is over.
pub struct Over {
    /// In plain words, for the log.
    pub text: String,
    /// What came made no sense.
    pub flawed: bool,
}

impl Answer {
    /// Reads once. With its end comes what it still held. May be cancelled without loss.
    pub async fn read(&mut self, stream: &impl ByteStream, clock: Clock) -> Result<(), Over> {
        let over = |text: &str, flawed| Err(Over { text: text.into(), flawed });
        let by = *self.heard.get_or_insert_with(|| clock.now()) + SILENCE;
        let mut bytes = [0; 16 * 1024];
        let read = tokio::select! {
            biased;
            count = socket::read(stream, &mut bytes) => match count {
                Ok(0) => over("discovery closed it", false),
                Ok(count) => {
                    self.bytes += count;
                    let (mut got, began) = (Vec::new(), self.lines.began());
                    let read = self.lines.feed(&bytes[..count], &mut got);
                    if !got.is_empty() || began != self.lines.began() {
                        self.heard = Some(clock.now());
                    }
                    got.iter().for_each(|line| self.line(line));
                    read.or_else(|cause| over(cause, cause != OVER))
                }
                Err(cause) => over(&cause.to_string(), false),
            },
            () = clock.sleep_until(by) => over("it fell silent", false),
        };
        // The last line may lack its end.
        if let Some(line) = read.is_err().then(|| self.lines.last()).flatten() {
            if serde_json::from_slice::<List>(&line).is_ok() || !self.partial.is_empty() {
                self.line(&line);
            }
        }
        read
    }

    fn line(&mut self, line: &[u8]) {
        let is_list = |line: &[u8]| serde_json::from_slice::<List>(line).is_ok();
        self.partial.line(line, is_list, &mut self.texts);
    }
}
