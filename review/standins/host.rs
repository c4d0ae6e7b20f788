//! A database host: accepts any user and answers one query at a time on each connection.

use super::{sleep_ms, wire};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{mpsc, Arc};
use std::thread;

/// A query that a gateway sent.
pub struct Query {
    /// The whole statement.
    pub text: String,
    /// Whether it is an INSERT.
    pub is_write: bool,
    /// The quoted key.
    pub name: String,
}

impl Query {
    fn parse(body: &[u8]) -> Query {
        let text = String::from_utf8_lossy(body.strip_suffix(&[0]).unwrap_or(body)).into_owned();
        let name = text.split('\'').nth(1).unwrap_or_default().to_string();
        Query { is_write: text.starts_with("INSERT"), name, text }
    }

    /// A field of the comment; empty if it is missing.
    pub fn field(&self, name: &str) -> String {
        let comment = self.text.split("/* ").nth(1).and_then(|rest| rest.split(" */").next());
        let mut pairs = comment.unwrap_or_default().split(',').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map_or(String::new(), |(_, value)| value.to_string())
    }

    /// Whether it is one of those that a host answers at once and without effect.
    fn is_local(&self) -> bool {
        let verb = self.text.trim_start().to_ascii_uppercase();
        verb.trim().is_empty() || ["SET", "RESET", "DISCARD"].iter().any(|word| verb.starts_with(word))
    }
}

/// How a host's bytes travel: in order, in pieces with pauses between them.
#[derive(Clone, Copy)]
pub struct Pieces {
    /// Size of the largest piece (bytes).
    pub size: usize,
    /// Time between two pieces (milliseconds).
    pub pause_ms: u64,
}

/// A gateway's connection to a host.
pub struct HostConnection {
    /// The stream.
    pub stream: TcpStream,
    /// The queue of pieces, once there is one.
    pieces: Option<mpsc::Sender<Vec<u8>>>,
}

impl HostConnection {
    /// Writes bytes at once.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes bytes in pieces, behind those that were written so before. Does not wait.
    pub fn write_in_pieces(&mut self, bytes: &[u8], pieces: Pieces) -> io::Result<()> {
        if self.pieces.is_none() {
            let (sender, queued) = mpsc::channel::<Vec<u8>>();
            let mut stream = self.stream.try_clone()?;
            thread::spawn(move || {
                for piece in queued {
                    if stream.write_all(&piece).is_err() {
                        return;
                    }
                    sleep_ms(pieces.pause_ms);
                }
            });
            self.pieces = Some(sender);
        }
        for piece in bytes.chunks(pieces.size) {
            let sent = self.pieces.as_ref().map(|sender| sender.send(piece.to_vec()));
            if !matches!(sent, Some(Ok(()))) {
                return Err(io::Error::from(io::ErrorKind::BrokenPipe));
            }
        }
        Ok(())
    }

    /// Whether the gateway has sent something that has not been read.
    pub fn has_waiting(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let has_waiting = matches!(self.stream.peek(&mut [0]), Ok(count) if count > 0);
        let _ = self.stream.set_nonblocking(false);
        has_waiting
    }
}

/// Answers a query on a connection. An error ends the connection.
pub type Behaviour = dyn Fn(&Query, &mut HostConnection) -> io::Result<()> + Send + Sync;

/// A host that listens.
pub struct Host {
    /// Its address.
    pub address: SocketAddr,
}

impl Host {
    /// Starts a host.
    pub fn start(behaviour: Arc<Behaviour>) -> Host {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound socket has an address");
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let behaviour = behaviour.clone();
                thread::spawn(move || serve(stream, &*behaviour));
            }
        });
        Host { address }
    }
}

fn serve(mut stream: TcpStream, behaviour: &Behaviour) -> io::Result<()> {
    stream.set_nodelay(true)?;
    wire::read_startup(&mut stream)?;
    stream.write_all(&[wire::message(b'R', &[0; 4]), wire::ready()].concat())?;
    let mut connection = HostConnection { stream, pieces: None };
    loop {
        let (kind, body) = wire::read_message(&mut connection.stream)?;
        if kind != b'Q' {
            return Ok(());
        }
        let query = Query::parse(&body);
        if query.is_local() {
            connection.write(&[wire::message(b'I', b""), wire::ready()].concat())?;
        } else {
            behaviour(&query, &mut connection)?;
        }
    }
}
