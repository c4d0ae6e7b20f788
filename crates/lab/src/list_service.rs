//! The emulated host register: one watch for each gateway, changes pushed late.

use crate::emulated_hosts::EmulatedHosts;
use crate::replicated_group::MemberRole;
use petrelgauge::Time;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The register.
pub struct Register {
    emulated_hosts: Rc<EmulatedHosts>,
    state: RefCell<State>,
}

#[derive(Default)]
struct State {
    revision: u64,
    /// The list as it is told now.
    told: String,
}

impl Register {
    /// Starts the register; it shows changes `late` microseconds after they happen.
    pub async fn start(
        emulated_hosts: Rc<EmulatedHosts>,
        late: Time,
    ) -> std::io::Result<(Rc<Register>, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let register = Rc::new(Register { emulated_hosts, state: RefCell::default() });
        register.publish(register.members());
        tokio::task::spawn_local(register.clone().follow(late));
        tokio::task::spawn_local(register.clone().listen(listener));
        Ok((register, address))
    }

    /// The list as a gateway had it last, in the form of its configuration.
    pub fn known(&self) -> String {
        let state = self.state.borrow();
        format!(r#"{{"revision":{},"complete":true,"members":[{}]}}"#, state.revision, state.told)
    }

    fn members(&self) -> String {
        let addresses = self.emulated_hosts.addresses.borrow();
        let mut rows = Vec::new();
        for (group, addresses) in self.emulated_hosts.groups.iter().zip(addresses.iter()) {
            let group = group.borrow();
            for (member, address) in group.members.iter().zip(addresses) {
                let role = if matches!(member.part, MemberRole::Replica) { "standby" } else { "primary" };
                let (name, cell, up) = (&member.name, group.id, member.started / 1000);
                rows.push(format!(
                    r#"{{"id":"{name}","host_port":"{address}","locality":"a","cell":{cell},"phase":"up","replication":"{role}","size":1.0,"up_since_ms":{up}}}"#
                ));
            }
        }
        rows.join(",")
    }

    fn publish(&self, members: String) {
        let mut state = self.state.borrow_mut();
        if state.told != members {
            state.revision += 1;
            state.told = members;
        }
    }

    async fn follow(self: Rc<Self>, late: Time) {
        let clock = self.emulated_hosts.clock;
        loop {
            let members = self.members();
            clock.sleep_until(clock.now() + late).await;
            self.publish(members);
        }
    }

    async fn listen(self: Rc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let register = self.clone();
            tokio::task::spawn_local(async move { register.watch(stream).await });
        }
    }

    async fn watch(&self, mut stream: TcpStream) -> Option<()> {
        let (mut head, mut byte) = (Vec::new(), [0; 512]);
        while !head.ends_with(b"\r\n\r\n") {
            let count = stream.read(&mut byte).await.ok().filter(|count| *count > 0 && head.len() < 8192)?;
            head.extend_from_slice(&byte[..count]);
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await.ok()?;
        let (mut told, clock) = (0, self.emulated_hosts.clock);
        let mut beat = clock.now();
        loop {
            let news = (self.state.borrow().revision > told).then(|| self.known());
            if let Some(line) = news {
                told = self.state.borrow().revision;
                stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).await.ok()?;
            } else if clock.now() >= beat {
                beat = clock.now() + 1_000_000;
                stream.write_all(b"1\r\n\n\r\n").await.ok()?;
            }
            clock.sleep_until(clock.now() + 20_000).await;
        }
    }
}
