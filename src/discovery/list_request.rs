//! Calls to discovery: a connection, the question, and the answer as it is read.

use crate::discovery::endpoint_list::EndpointList;
use crate::discovery::http_response::{ResponseError, ResponseReader};
use crate::discovery::list_assembler::{ListAssembler, ListText};
use crate::os::clock::Clock;
use crate::os::socket::{self, ByteStream, SocketError};
use crate::Time;
use petrelgauge_lifecycle::watch::WATCH_TIMEOUT;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::net::TcpStream;

/// Why a call to discovery is over.
#[derive(Debug, Error)]
pub enum RequestError {
    /// The connection did not come up in time.
    #[error("it does not come up")]
    ConnectTimeout,
    /// The connection cannot be made, or is lost.
    #[error(transparent)]
    Socket(#[from] SocketError),
    /// Discovery closed the connection.
    #[error("discovery closed it")]
    Closed,
    /// No line came in time.
    #[error("it fell silent")]
    Silent,
    /// The answer is over, or is none that can be read.
    #[error(transparent)]
    Answer(#[from] ResponseError),
}

impl RequestError {
    /// What came was no answer that can be read.
    pub(super) fn is_malformed(&self) -> bool {
        matches!(self, RequestError::Answer(cause) if *cause != ResponseError::Complete)
    }

    /// Discovery has answered, but not with a list.
    pub(super) fn is_refusal(&self) -> bool {
        matches!(self, RequestError::Answer(ResponseError::Refused))
    }
}

/// Requests the complete list at the clock time `from`.
pub(super) async fn call(
    address: SocketAddr,
    from: Time,
    clock: Clock,
) -> Result<EndpointList, RequestError> {
    clock.sleep_until(from).await;
    let mut answer = ListResponse::default();
    let stream = open(address, "", clock).await?;
    loop {
        let read = answer.read(&stream, clock).await;
        let complete_list = std::mem::take(&mut answer.texts).into_iter().find_map(|text| match text {
            ListText::Complete(text) => serde_json::from_slice(&text).ok(),
            ListText::Truncated => None,
        });
        match (complete_list, read) {
            (Some(list), _) => return Ok(list),
            (None, Err(cause)) => return Err(cause),
            (None, Ok(())) => {}
        }
    }
}

/// Connects to discovery and asks for its list.
pub(super) async fn open(address: SocketAddr, what: &str, clock: Clock) -> Result<TcpStream, RequestError> {
    let request = format!("GET /discovery/hosts{what} HTTP/1.1\r\nHost: {address}\r\n\r\n");
    let opened = async {
        let stream = socket::connect(address).await?;
        socket::write_all(&stream, &mut request.as_bytes()).await?;
        Ok::<TcpStream, SocketError>(stream)
    };
    tokio::select! {
        stream = opened => Ok(stream?),
        () = clock.sleep_until(clock.now() + WATCH_TIMEOUT) => Err(RequestError::ConnectTimeout),
    }
}

/// An answer of discovery that is being read.
#[derive(Default)]
pub struct ListResponse {
    pub(super) lines: ResponseReader,
    partial: ListAssembler,
    /// What is whole and was not taken.
    pub texts: Vec<ListText>,
    /// Bytes that were read and not counted yet.
    pub(super) bytes: usize,
    /// When the last line came.
    heard: Option<Time>,
}

impl ListResponse {
    /// Reads once. With its end comes what it still held. May be cancelled without loss.
    ///
    /// # Errors
    ///
    /// Fails when the answer is over, for whatever reason.
    pub async fn read(&mut self, stream: &impl ByteStream, clock: Clock) -> Result<(), RequestError> {
        let by = *self.heard.get_or_insert_with(|| clock.now()) + WATCH_TIMEOUT;
        let mut bytes = [0; 16 * 1024];
        let read = tokio::select! {
            biased;
            count = socket::read(stream, &mut bytes) => match count {
                Ok(0) => Err(RequestError::Closed),
                Ok(count) => self.feed(&bytes[..count], clock),
                Err(cause) => Err(cause.into()),
            },
            () = clock.sleep_until(by) => Err(RequestError::Silent),
        };
        // The last line may lack its end.
        if let Some(line) = read.is_err().then(|| self.lines.last()).flatten() {
            if serde_json::from_slice::<EndpointList>(&line).is_ok() || !self.partial.is_empty() {
                self.line(&line);
            }
        }
        read
    }

    fn feed(&mut self, bytes: &[u8], clock: Clock) -> Result<(), RequestError> {
        self.bytes += bytes.len();
        let began = self.lines.began();
        let mut lines = Vec::new();
        let read = self.lines.feed(bytes, &mut lines);
        if !lines.is_empty() || began != self.lines.began() {
            self.heard = Some(clock.now());
        }
        lines.iter().for_each(|line| self.line(line));
        Ok(read?)
    }

    fn line(&mut self, line: &[u8]) {
        let is_list = |line: &[u8]| serde_json::from_slice::<EndpointList>(line).is_ok();
        self.partial.line(line, is_list, &mut self.texts);
    }
}
