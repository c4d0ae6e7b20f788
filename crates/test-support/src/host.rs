//! A database host that answers successive queries from a script. The emulated hosts of the laboratory and of
//! the fault soak answer from their state instead.

use crate::messages::{message, read_message, ready_for_query, row};
use crate::network::ReservedPort;
use crate::reply::Reply;
use crate::time::TEST_TIMEOUT;
use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A scripted host.
pub struct Host {
    pub(crate) address: String,
    received_queries: Receiver<String>,
    disconnects: Receiver<()>,
    held_connections: Receiver<()>,
    release_sender: Sender<()>,
    count: Cell<usize>,
    /// Reserved port of a host that does not listen.
    _closed_port: Option<ReservedPort>,
}

impl Host {
    /// Starts a host at a free port of an address.
    pub(crate) fn start(ip: Ipv4Addr, script: Vec<Reply>) -> Host {
        Host::holding_startups(ip, script, usize::MAX)
    }

    /// Like [`Host::start`], but the host answers the startup of connection number `first_held` (counted from
    /// 0) and of all later ones only after [`Host::release`].
    pub(crate) fn holding_startups(ip: Ipv4Addr, script: Vec<Reply>, first_held: usize) -> Host {
        let listener = TcpListener::bind((ip, 0)).expect("bind a free port");
        let address = listener.local_addr().expect("valid socket address").to_string();
        let (
            (query_sender, received_queries),
            (disconnect_sender, disconnects),
            (release_sender, releases),
            (hold_sender, held_connections),
        ) = (channel(), channel(), channel(), channel());
        // All connections share the script: each query takes the next reply, on whichever connection it
        // arrives.
        let (script, releases) = (Arc::new(Mutex::new(script.into_iter())), Arc::new(Mutex::new(releases)));
        thread::spawn(move || {
            for (index, stream) in listener.incoming().enumerate() {
                let (script, query_sender, releases, disconnect_sender) =
                    (script.clone(), query_sender.clone(), releases.clone(), disconnect_sender.clone());
                let hold_sender = (index >= first_held).then(|| hold_sender.clone());
                thread::spawn(move || {
                    serve(
                        stream.expect("accept a connection"),
                        &script,
                        &query_sender,
                        &releases,
                        hold_sender.as_ref(),
                    );
                    let _ = disconnect_sender.send(());
                });
            }
        });
        Host {
            address,
            received_queries,
            disconnects,
            held_connections,
            release_sender,
            count: Cell::new(0),
            _closed_port: None,
        }
    }

    /// Creates a host that does not listen at its port.
    pub(crate) fn closed(port: ReservedPort) -> Host {
        let address = port.address();
        let (received_queries, disconnects, held_connections) = (channel().1, channel().1, channel().1);
        Host {
            address,
            received_queries,
            disconnects,
            held_connections,
            release_sender: channel().0,
            count: Cell::new(0),
            _closed_port: Some(port),
        }
    }

    /// Waits for the next query and returns it.
    pub fn next_query(&self) -> String {
        self.count.set(self.count.get() + 1);
        self.received_queries.recv_timeout(TEST_TIMEOUT).expect("a query arrives")
    }

    /// Number of queries received so far.
    pub fn query_count(&self) -> usize {
        self.count.get() + self.received_queries.try_iter().count()
    }

    /// Takes the received queries that no earlier call has returned.
    pub fn new_queries(&self) -> Vec<String> {
        self.received_queries.try_iter().collect()
    }

    /// Waits for a connection whose startup needs [`Host::release`].
    pub fn next_connection(&self) {
        self.held_connections.recv_timeout(TEST_TIMEOUT).expect("a connection arrives");
    }

    /// Waits until a connection to the host has ended.
    pub fn wait_for_disconnect(&self) {
        self.disconnects.recv_timeout(TEST_TIMEOUT).expect("the gateway closes a connection");
    }

    /// Releases the startup or reply that waits for the test.
    pub fn release(&self) {
        self.release_sender.send(()).expect("the script still runs");
    }
}

fn serve(
    mut stream: TcpStream,
    script: &Mutex<impl Iterator<Item = Reply>>,
    query_sender: &Sender<String>,
    releases: &Mutex<Receiver<()>>,
    hold_sender: Option<&Sender<()>>,
) {
    if !read_startup(&mut stream) {
        return;
    }
    if let Some(hold_sender) = hold_sender {
        // The lock lets one connection wait at a time, in the order in which the test is notified of them.
        let turn = releases.lock().expect("lock the release channel");
        let _ = hold_sender.send(());
        turn.recv_timeout(TEST_TIMEOUT).expect("the test releases the script in time");
    }
    // The gateway may have closed the connection in the meantime.
    let _ = stream.write_all(&[message(b'R', &[0; 4]), ready_for_query()].concat());
    while let Some((kind, body)) = read_message(&mut stream) {
        assert_eq!(kind, b'Q', "hosts support simple queries only");
        let query = String::from_utf8_lossy(&body[..body.len() - 1]).into_owned();
        let _ = query_sender.send(query.clone());
        let Some(reply) = script.lock().expect("lock the script").next() else { return };
        match send_reply(&mut stream, &query, reply, releases) {
            Next::Query => {}
            Next::Close => return,
            Next::Reset => return reset(stream),
        }
    }
}

/// Reads the startup message; false if the connection ends without one.
fn read_startup(stream: &mut TcpStream) -> bool {
    let mut length = [0; 4];
    if stream.read_exact(&mut length).is_err() {
        return false;
    }
    let mut rest = vec![0; u32::from_be_bytes(length) as usize - 4];
    stream.read_exact(&mut rest).expect("read the startup message");
    true
}

/// What happens to a connection after a reply.
enum Next {
    Query,
    Close,
    Reset,
}

fn send_reply(stream: &mut TcpStream, query: &str, reply: Reply, releases: &Mutex<Receiver<()>>) -> Next {
    let wait_for_release = || {
        releases
            .lock()
            .expect("lock the release channel")
            .recv_timeout(TEST_TIMEOUT)
            .expect("the test releases the script in time")
    };
    match reply {
        Reply::NoAnswer => {}
        Reply::NoAnswerTo(text, _) if query.contains(text) => {}
        Reply::Close => return Next::Close,
        Reply::CloseOnRelease => {
            wait_for_release();
            return Next::Close;
        }
        Reply::Bytes(bytes) => {
            let _ = stream.write_all(bytes);
        }
        Reply::BytesThenClose(bytes) => {
            let _ = stream.write_all(bytes);
            return Next::Close;
        }
        Reply::RowThenBytes(value, behind) => {
            let _ = stream.write_all(&[row(value), ready_for_query(), behind.to_vec()].concat());
        }
        Reply::RowInPieces(value, size, apart) => {
            for piece in [row(value), ready_for_query()].concat().chunks(size) {
                let _ = stream.write_all(piece);
                thread::sleep(Duration::from_millis(apart));
            }
        }
        Reply::ResetOnRelease(value) => {
            let _ = stream.write_all(&[row(value), ready_for_query()].concat());
            wait_for_release();
            return Next::Reset;
        }
        complete => {
            if matches!(complete, Reply::WaitForRelease(..) | Reply::RowAtOnRelease(..)) {
                wait_for_release();
            }
            if let Reply::Delayed(delay_ms, _) = complete {
                thread::sleep(Duration::from_millis(delay_ms));
            }
            if stream.write_all(&complete.messages(query)).is_err() {
                return Next::Close;
            }
        }
    }
    Next::Query
}

/// Resets a connection and waits until the reset has arrived. The kernel sends the reset only when the last
/// copy of the descriptor is closed, and a child process that another thread starts holds a copy until its
/// `exec`.
fn reset(stream: TcpStream) {
    let (host, gateway) = (
        stream.local_addr().expect("valid socket address"),
        stream.peer_addr().expect("valid socket address"),
    );
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("set a socket option");
    drop(stream);
    let deadline = Instant::now() + TEST_TIMEOUT;
    while is_connected(gateway, host) {
        assert!(Instant::now() < deadline, "the reset did not arrive");
        thread::sleep(Duration::from_millis(1));
    }
}

/// Whether the kernel's table of TCP sockets contains a connection; a reset removes it.
fn is_connected(from: SocketAddr, to: SocketAddr) -> bool {
    let pair = [proc_net_format(from), proc_net_format(to)].join(" ");
    std::fs::read_to_string("/proc/net/tcp").expect("read /proc/net/tcp").contains(&pair)
}

/// An IPv4 address in the format of `/proc/net/tcp`: its four bytes as one number in native byte order.
fn proc_net_format(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else { panic!("hosts have IPv4 addresses") };
    format!("{:08X}:{:04X}", u32::from_ne_bytes(address.ip().octets()), address.port())
}
