//! The emulated list service of a test cluster: one watch for each gateway, and changes of the hosts published late.

use crate::emulated_hosts::emulated_host_entries;
use crate::emulated_hosts::EmulatedHosts;
use petrelgauge::Time;
use petrelgauge_test_support::{line_chunk, list_line, read_request_head, RESPONSE_HEAD};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// How often a watch looks for a newer list (microseconds).
const POLL_INTERVAL: Time = 20_000;
/// How often a watch without changes gets a heartbeat (microseconds).
const HEARTBEAT_INTERVAL: Time = 1_000_000;

/// A list service that publishes the state of emulated hosts.
pub struct HostListService {
    emulated_hosts: Rc<EmulatedHosts>,
    published: RefCell<PublishedList>,
}

#[derive(Default)]
struct PublishedList {
    revision: u64,
    entries: String,
}

impl HostListService {
    /// Starts the service and returns its address. It publishes changes `delay` microseconds after they happen.
    ///
    /// # Errors
    ///
    /// Fails if its listening socket cannot be opened.
    pub async fn start(
        emulated_hosts: Rc<EmulatedHosts>,
        delay: Time,
    ) -> std::io::Result<(Rc<HostListService>, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let service = Rc::new(HostListService { emulated_hosts, published: RefCell::default() });
        service.publish(emulated_host_entries(&service.emulated_hosts));
        tokio::task::spawn_local(service.clone().follow_hosts(delay));
        tokio::task::spawn_local(service.clone().listen(listener));
        Ok((service, address))
    }

    /// The complete list as it is published now.
    pub fn complete_list(&self) -> String {
        let published = self.published.borrow();
        list_line(published.revision, true, &published.entries)
    }

    fn publish(&self, entries: String) {
        let mut published = self.published.borrow_mut();
        if published.entries != entries {
            published.revision += 1;
            published.entries = entries;
        }
    }

    async fn follow_hosts(self: Rc<Self>, delay: Time) {
        let clock = self.emulated_hosts.clock;
        loop {
            let entries = emulated_host_entries(&self.emulated_hosts);
            clock.sleep_until(clock.now() + delay).await;
            self.publish(entries);
        }
    }

    async fn listen(self: Rc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let service = self.clone();
            tokio::task::spawn_local(async move { service.serve_watch(stream).await });
        }
    }

    async fn serve_watch(&self, mut stream: TcpStream) -> Option<()> {
        read_request_head(&mut stream).await?;
        stream.write_all(RESPONSE_HEAD).await.ok()?;
        let clock = self.emulated_hosts.clock;
        let (mut sent_revision, mut next_heartbeat) = (0, clock.now());
        loop {
            let revision = self.published.borrow().revision;
            if revision > sent_revision {
                sent_revision = revision;
                stream.write_all(&line_chunk(&self.complete_list())).await.ok()?;
            } else if clock.now() >= next_heartbeat {
                next_heartbeat = clock.now() + HEARTBEAT_INTERVAL;
                stream.write_all(&line_chunk("")).await.ok()?;
            }
            clock.sleep_until(clock.now() + POLL_INTERVAL).await;
        }
    }
}
