//! Discovery: the whole list, and a watch that carries changes and an empty line every 2 s.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// Interval of the empty lines.
const EMPTY_LINE_INTERVAL: Duration = Duration::from_secs(2);

/// A database host as discovery lists it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its id.
    pub id: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its group.
    pub cell: u64,
    /// `up`, `draining` or `removed`.
    pub phase: &'static str,
    /// When it last started (Unix time, milliseconds); 0 for long ago.
    pub up_since_ms: u64,
    /// `primary` or `standby`.
    pub replication: &'static str,
}

impl Member {
    /// A host that has been up for long.
    pub fn up(id: &str, address: SocketAddr, cell: u64, replication: &'static str) -> Member {
        Member { id: id.to_string(), address, cell, phase: "up", up_since_ms: 0, replication }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"id":"{}","host_port":"{}","locality":"utrecht-dc","flavor":"std-5core","cell":{},"phase":"{}","size":1.0,"up_since_ms":{},"replication":"{}"}}"#,
            self.id, self.address, self.cell, self.phase, self.up_since_ms, self.replication
        )
    }
}

/// A list in discovery's form.
pub fn list_json(revision: u64, complete: bool, members: &[Member]) -> String {
    let members: Vec<String> = members.iter().map(Member::json).collect();
    format!(r#"{{"revision":{revision},"complete":{complete},"members":[{}]}}"#, members.join(","))
}

struct State {
    revision: u64,
    members: Vec<Member>,
    /// Changes, each with its revision.
    changes: Vec<(u64, Member)>,
}

/// A discovery service.
#[derive(Clone)]
pub struct Discovery {
    /// Its address.
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Discovery {
    /// Starts it with these hosts.
    pub fn start(members: Vec<Member>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound socket has an address");
        let state = State { revision: 41, members, changes: Vec::new() };
        let discovery = Discovery { address, state: Arc::new((Mutex::new(state), Condvar::new())) };
        let this = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                thread::spawn(move || this.serve(stream));
            }
        });
        discovery
    }

    /// The current list, for a gateway's configuration.
    pub fn list(&self) -> String {
        let state = self.state.0.lock().expect("not poisoned");
        list_json(state.revision, true, &state.members)
    }

    /// Publishes a changed host.
    pub fn publish(&self, member: Member) {
        let mut state = self.state.0.lock().expect("not poisoned");
        state.revision += 1;
        let revision = state.revision;
        state.members.retain(|known| known.id != member.id);
        if member.phase != "removed" {
            state.members.push(member.clone());
        }
        state.changes.push((revision, member));
        self.state.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut request = String::new();
        reader.read_line(&mut request)?;
        let mut header = String::new();
        while reader.read_line(&mut header)? > 2 {
            header.clear();
        }
        if !request.contains("watch=1") {
            let body = self.list();
            return write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        }
        let after = request.split("after=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
        self.watch(stream, after)
    }

    fn watch(&self, mut stream: TcpStream, after: Option<u64>) -> io::Result<()> {
        write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().expect("not poisoned");
        let mut sent = after.unwrap_or(state.revision);
        let mut line = match after {
            Some(_) => String::new(),
            None => list_json(state.revision, true, &state.members),
        };
        loop {
            if line.is_empty() {
                let changes = state.changes.iter().filter(|(revision, _)| *revision > sent);
                let changed: Vec<Member> = changes.map(|(_, member)| member.clone()).collect();
                if !changed.is_empty() {
                    line = list_json(state.revision, false, &changed);
                }
            }
            sent = state.revision;
            drop(state);
            write!(stream, "{:x}\r\n{line}\n\r\n", line.len() + 1)?;
            line.clear();
            state = lock.lock().expect("not poisoned");
            if state.revision == sent {
                state = changed.wait_timeout(state, EMPTY_LINE_INTERVAL).expect("not poisoned").0;
            }
        }
    }
}
