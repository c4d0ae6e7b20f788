//! A discovery service whose connections follow scripts, byte by byte. [`ListService`](crate::ListService) is the one that
//! keeps a list.

use crate::endpoint_list::{line_chunk, RESPONSE_HEAD};
use crate::time::TEST_TIMEOUT;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Between two writes of [`Step::Trickle`].
const TRICKLE_INTERVAL: Duration = Duration::from_millis(200);
/// Between two bytes of [`Step::WriteBytesApart`].
const BYTE_INTERVAL: Duration = Duration::from_millis(1);

/// One step of a connection after its request.
#[derive(Clone)]
pub enum Step {
    /// Writes these bytes.
    Write(Vec<u8>),
    /// Writes these bytes in segments of one byte each.
    WriteBytesApart(Vec<u8>),
    /// Waits for [`ScriptedDiscovery::release`].
    WaitForRelease,
    /// Writes these bytes every 200 ms until the connection ends.
    Trickle(Vec<u8>),
    /// Writes a heartbeat every second until the connection ends.
    Heartbeat,
    /// Writes a heartbeat every second until the connection ends or the test calls [`ScriptedDiscovery::release`].
    HeartbeatUntilRelease,
    /// Waits until the gateway closes the connection.
    Silence,
}

/// Whether a new connection is served while an earlier one is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Connections {
    Concurrent,
    Sequential,
}

/// A script that sends these lines and then what follows them.
pub(crate) fn watch_script(lines: &[String], then: Vec<Step>) -> Vec<Step> {
    let lines = lines.iter().map(|line| Step::Write(line_chunk(line)));
    std::iter::once(Step::Write(RESPONSE_HEAD.to_vec())).chain(lines).chain(then).collect()
}

/// A running discovery service.
pub struct ScriptedDiscovery {
    address: SocketAddr,
    requests: Receiver<String>,
    go: Sender<()>,
}

impl ScriptedDiscovery {
    /// Serves each connection by the next script, side by side, and closes it at the script's end. Connections beyond the
    /// scripts get no answer.
    pub fn play(listener: TcpListener, scripts: Vec<Vec<Step>>) -> ScriptedDiscovery {
        let silence = std::iter::repeat_with(|| vec![Step::Silence]);
        ScriptedDiscovery::serve(listener, Connections::Concurrent, scripts.into_iter().chain(silence))
    }

    /// Serves each connection by the next script.
    pub(crate) fn serve(
        listener: TcpListener,
        connections: Connections,
        scripts: impl Iterator<Item = Vec<Step>> + Send + 'static,
    ) -> ScriptedDiscovery {
        let address = listener.local_addr().expect("an address");
        let ((seen, requests), (go, gone)) = (channel(), channel());
        let gone = Arc::new(Mutex::new(gone));
        thread::spawn(move || {
            for (stream, script) in listener.incoming().zip(scripts) {
                let (stream, seen, gone) = (stream.expect("a connection"), seen.clone(), gone.clone());
                match connections {
                    Connections::Sequential => follow(stream, script, &seen, &gone),
                    Connections::Concurrent => {
                        thread::spawn(move || follow(stream, script, &seen, &gone));
                    }
                }
            }
        });
        ScriptedDiscovery { address, requests, go }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The first line of the next request.
    pub fn next_request(&self) -> String {
        self.requests.recv_timeout(TEST_TIMEOUT).expect("a request arrives")
    }

    /// Lets the connection that waits continue its script.
    pub fn release(&self) {
        self.go.send(()).expect("it waits");
    }
}

fn follow(mut stream: TcpStream, script: Vec<Step>, seen: &Sender<String>, go: &Mutex<Receiver<()>>) {
    let mut lines = BufReader::new(stream.try_clone().expect("a second handle"));
    let (mut request_line, mut head) = (String::new(), String::new());
    while !head.ends_with("\r\n\r\n") {
        if lines.read_line(&mut head).unwrap_or(0) == 0 {
            return;
        }
        if request_line.is_empty() {
            request_line = head.strip_suffix("\r\n").unwrap_or(&head).to_string();
        }
    }
    let _ = seen.send(request_line);
    for step in script {
        match step {
            Step::Write(bytes) => {
                let _ = stream.write_all(&bytes);
            }
            Step::WriteBytesApart(bytes) => {
                stream.set_nodelay(true).expect("an option");
                for byte in bytes {
                    let _ = stream.write_all(&[byte]);
                    thread::sleep(BYTE_INTERVAL);
                }
            }
            Step::WaitForRelease => {
                go.lock().expect("a signal").recv_timeout(TEST_TIMEOUT).expect("it may go on")
            }
            Step::Trickle(bytes) => {
                thread::sleep(TRICKLE_INTERVAL);
                while stream.write_all(&bytes).is_ok() {
                    thread::sleep(TRICKLE_INTERVAL);
                }
            }
            Step::Heartbeat => {
                while stream.write_all(&line_chunk("")).is_ok() {
                    thread::sleep(HEARTBEAT_INTERVAL);
                }
            }
            Step::HeartbeatUntilRelease => {
                let go = go.lock().expect("a signal");
                while stream.write_all(&line_chunk("")).is_ok()
                    && go.recv_timeout(HEARTBEAT_INTERVAL) == Err(RecvTimeoutError::Timeout)
                {}
            }
            Step::Silence => while lines.read_line(&mut head).unwrap_or(0) > 0 {},
        }
    }
}
