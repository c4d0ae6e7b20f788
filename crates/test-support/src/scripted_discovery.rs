//! A discovery service whose connections follow scripts. [`ListService`](crate::ListService) keeps an
//! endpoint list instead.

use crate::endpoint_list::{line_chunk, RESPONSE_HEAD};
use crate::time::TEST_TIMEOUT;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between writes of [`Step::Trickle`].
const TRICKLE_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between bytes of [`Step::WriteBytesApart`].
const BYTE_INTERVAL: Duration = Duration::from_millis(1);

/// A step of the script of a connection, after its request.
#[derive(Clone)]
pub enum Step {
    /// Writes these bytes.
    Write(Vec<u8>),
    /// Writes these bytes one at a time, each in its own segment.
    WriteBytesApart(Vec<u8>),
    /// Waits for [`ScriptedDiscovery::release`].
    WaitForRelease,
    /// Writes these bytes every 200 ms until the connection ends.
    Trickle(Vec<u8>),
    /// Writes a heartbeat every second until the connection ends.
    Heartbeat,
    /// Writes a heartbeat every second until the connection ends or the test calls
    /// [`ScriptedDiscovery::release`].
    HeartbeatUntilRelease,
    /// Waits until the gateway closes the connection.
    Silence,
}

/// Whether connections are served concurrently or one after the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Connections {
    Concurrent,
    Sequential,
}

/// A script that sends a response head and these lines, then continues with the steps of `then`.
pub(crate) fn watch_script(lines: &[String], then: Vec<Step>) -> Vec<Step> {
    let lines = lines.iter().map(|line| Step::Write(line_chunk(line)));
    std::iter::once(Step::Write(RESPONSE_HEAD.to_vec())).chain(lines).chain(then).collect()
}

/// A scripted discovery service.
pub struct ScriptedDiscovery {
    address: SocketAddr,
    requests: Receiver<String>,
    release_sender: Sender<()>,
}

impl ScriptedDiscovery {
    /// Serves each connection by the next script, concurrently, and closes it at the end of the script.
    /// Connections beyond the last script receive no answer.
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
        let address = listener.local_addr().expect("valid socket address");
        let ((request_sender, requests), (release_sender, releases)) = (channel(), channel());
        let releases = Arc::new(Mutex::new(releases));
        thread::spawn(move || {
            for (stream, script) in listener.incoming().zip(scripts) {
                let (stream, request_sender, releases) =
                    (stream.expect("accept a connection"), request_sender.clone(), releases.clone());
                match connections {
                    Connections::Sequential => run_script(stream, script, &request_sender, &releases),
                    Connections::Concurrent => {
                        thread::spawn(move || run_script(stream, script, &request_sender, &releases));
                    }
                }
            }
        });
        ScriptedDiscovery { address, requests, release_sender }
    }

    /// The address of the service.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits for the next request and returns its first line.
    pub fn next_request(&self) -> String {
        self.requests.recv_timeout(TEST_TIMEOUT).expect("a request arrives")
    }

    /// Lets a waiting connection continue its script.
    pub fn release(&self) {
        self.release_sender.send(()).expect("the script still runs");
    }
}

fn run_script(
    mut stream: TcpStream,
    script: Vec<Step>,
    request_sender: &Sender<String>,
    releases: &Mutex<Receiver<()>>,
) {
    let mut lines = BufReader::new(stream.try_clone().expect("duplicate the descriptor"));
    let (mut request_line, mut head) = (String::new(), String::new());
    while !head.ends_with("\r\n\r\n") {
        if lines.read_line(&mut head).unwrap_or(0) == 0 {
            return;
        }
        if request_line.is_empty() {
            request_line = head.strip_suffix("\r\n").unwrap_or(&head).to_string();
        }
    }
    let _ = request_sender.send(request_line);
    for step in script {
        match step {
            Step::Write(bytes) => {
                let _ = stream.write_all(&bytes);
            }
            Step::WriteBytesApart(bytes) => {
                stream.set_nodelay(true).expect("set a socket option");
                for byte in bytes {
                    let _ = stream.write_all(&[byte]);
                    thread::sleep(BYTE_INTERVAL);
                }
            }
            Step::WaitForRelease => releases
                .lock()
                .expect("lock the release channel")
                .recv_timeout(TEST_TIMEOUT)
                .expect("the test releases the script in time"),
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
                let releases = releases.lock().expect("lock the release channel");
                while stream.write_all(&line_chunk("")).is_ok()
                    && releases.recv_timeout(HEARTBEAT_INTERVAL) == Err(RecvTimeoutError::Timeout)
                {
                }
            }
            Step::Silence => while lines.read_line(&mut head).unwrap_or(0) > 0 {},
        }
    }
}
