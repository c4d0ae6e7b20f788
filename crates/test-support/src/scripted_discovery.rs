//! A discovery whose connections follow a script, byte by byte: what it does wrong is up to the test.

use crate::endpoint_list::chunk;
use crate::time::NEVER;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What a connection does next, once it was asked.
#[derive(Clone)]
pub enum Step {
    /// Writes these bytes.
    Write(Vec<u8>),
    /// Writes these bytes in segments of one byte each.
    WriteBytesApart(Vec<u8>),
    /// Waits until the test says so.
    WaitForGo,
    /// Writes these bytes again and again, up to the connection's end.
    Trickle(Vec<u8>),
    /// Writes the empty line each second, up to the connection's end.
    Heartbeat,
    /// Says nothing more, for good.
    Silence,
}

/// The discovery. A connection that has no script gets no answer.
pub struct ScriptedDiscovery {
    address: SocketAddr,
    requests: Receiver<String>,
    go: Sender<()>,
}

impl ScriptedDiscovery {
    /// Serves connections side by side, each by the next script. At its end a connection is closed.
    pub fn play(listener: TcpListener, scripts: Vec<Vec<Step>>) -> ScriptedDiscovery {
        let address = listener.local_addr().expect("an address");
        let ((seen, requests), (go, gone)) = (channel(), channel());
        let gone = Arc::new(Mutex::new(gone));
        thread::spawn(move || {
            let mut scripts = scripts.into_iter();
            for stream in listener.incoming() {
                let script = scripts.next().unwrap_or_else(|| vec![Step::Silence]);
                let (seen, gone) = (seen.clone(), gone.clone());
                thread::spawn(move || serve(stream.expect("a connection"), script, &seen, &gone));
            }
        });
        ScriptedDiscovery { address, requests, go }
    }

    /// Where it answers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The first line of the next question.
    pub fn next(&self) -> String {
        self.requests.recv_timeout(NEVER).expect("it asks")
    }

    /// Lets the connection that waits go on.
    pub fn go(&self) {
        self.go.send(()).expect("it waits");
    }
}

fn serve(mut stream: TcpStream, script: Vec<Step>, seen: &Sender<String>, go: &Mutex<Receiver<()>>) {
    let mut lines = BufReader::new(stream.try_clone().expect("a second handle"));
    let (mut first, mut head) = (String::new(), String::new());
    while !head.ends_with("\r\n\r\n") {
        if lines.read_line(&mut head).unwrap_or(0) == 0 {
            return;
        }
        if first.is_empty() {
            first = head.trim_end().to_string();
        }
    }
    let _ = seen.send(first);
    for act in script {
        match act {
            Step::Write(bytes) => {
                let _ = stream.write_all(&bytes);
            }
            Step::WriteBytesApart(bytes) => {
                stream.set_nodelay(true).expect("an option");
                for byte in bytes {
                    let _ = stream.write_all(&[byte]);
                    thread::sleep(Duration::from_millis(1));
                }
            }
            Step::WaitForGo => go.lock().expect("a signal").recv_timeout(NEVER).expect("it may go on"),
            Step::Trickle(bytes) => while pause(1) && stream.write_all(&bytes).is_ok() {},
            Step::Heartbeat => while stream.write_all(&chunk("\n")).is_ok() && pause(5) {},
            // Up to the end of the connection: the gateway says nothing more.
            Step::Silence => while lines.read_line(&mut head).unwrap_or(0) > 0 {},
        }
    }
}

fn pause(fifths: u32) -> bool {
    thread::sleep(Duration::from_millis(200) * fifths);
    true
}
