//! A cluster: emulated hosts and register, the paths between instances, and real gateways before them.

use crate::datagram_relay::DatagramRelay;
use crate::emulated_hosts::EmulatedHosts;
use crate::gateways::{Gateway, GatewaySetup};
use crate::list_service::Register;
use petrelgauge::Time;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tokio::net::UdpSocket;

/// How a stage is set up.
#[derive(Clone, Debug)]
pub struct ClusterPlan {
    /// Gateways, groups, and members of each group.
    pub gateways: usize,
    /// Groups.
    pub groups: usize,
    /// Members of each group.
    pub members: usize,
    /// Seed of all chance.
    pub seed: u64,
    /// The operator's file.
    pub operator: String,
    /// Reads need the primary.
    pub strong: bool,
    /// Share of datagrams that is lost.
    pub loss: f64,
    /// Gateways' clocks are ahead by up to this many milliseconds, the last one the most.
    pub shift_ms: u64,
    /// The hosts' clock is ahead by so many milliseconds.
    pub hosts_ahead_ms: u64,
    /// The gateway's program.
    pub program: PathBuf,
    /// One more address among the peers, at which the laboratory itself reads what they tell each other.
    pub witness: bool,
}

/// All that was started. It ends with this value.
pub struct TestCluster {
    /// The hosts.
    pub emulated_hosts: Rc<EmulatedHosts>,
    /// The register.
    pub register: Rc<Register>,
    /// The paths between instances.
    pub relay: Rc<DatagramRelay>,
    /// The gateways.
    pub gateways: RefCell<Vec<Gateway>>,
    /// What gateways are told.
    pub tier: GatewaySetup,
    /// Where gateways listen.
    pub addresses: Vec<SocketAddr>,
    /// The plan.
    pub plan: ClusterPlan,
    /// Where the laboratory reads what the gateways tell each other.
    pub witness: Option<UdpSocket>,
    _folder: Folder,
}

/// A folder for one cluster, removed with it.
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// How old the data of a bounded read may be (microseconds).
pub const BOUND: Time = 300_000;

impl TestCluster {
    /// Starts everything and waits until the gateways accept clients.
    #[expect(clippy::too_many_lines, reason = "to be split by its steps")]
    pub async fn start(plan: ClusterPlan) -> std::io::Result<Rc<TestCluster>> {
        let rng = Pcg64Mcg::seed_from_u64(plan.seed);
        let emulated_hosts =
            EmulatedHosts::start(plan.groups, plan.members, BOUND, plan.hosts_ahead_ms as Time * 1000, rng)
                .await?;
        let (register, address) = Register::start(emulated_hosts.clone(), 1_800_000).await?;
        let relay = DatagramRelay::new(emulated_hosts.clone(), plan.loss);
        let name = format!("petrelgauge-lab-{}-{}", std::process::id(), address.port());
        let folder = Folder(std::env::temp_dir().join(name));
        std::fs::create_dir_all(&folder.0)?;
        let mut hear = Vec::new();
        for _ in 0..plan.gateways {
            hear.push(UdpSocket::bind("127.0.0.1:0").await?.local_addr()?);
        }
        let witness = if plan.witness { Some(UdpSocket::bind("127.0.0.1:0").await?) } else { None };
        if let Some(socket) = &witness {
            hear.push(socket.local_addr()?);
        }
        let mut gateways = Vec::new();
        for number in 0..plan.gateways {
            let mut others = Vec::new();
            for (other, address) in hear.iter().enumerate() {
                others.push(if other == number {
                    *address
                } else {
                    relay.open((number, other), *address).await?
                });
            }
            let others: Vec<String> = others.iter().map(|address| format!("\"{address}\"")).collect();
            let peers = format!(r#""peer_listen":"{}","peers":[{}],"#, hear[number], others.join(","));
            let shift = plan.shift_ms * number as u64 / (plan.gateways.max(2) as u64 - 1);
            gateways.push(Gateway::new(number, peers, shift).await?);
        }
        let tier = GatewaySetup {
            program: plan.program.clone(),
            folder: folder.0.clone(),
            register: address,
            known: register.known(),
            strong: plan.strong,
            operator: plan.operator.clone(),
        };
        for gateway in &mut gateways {
            gateway.start(&tier, plan.seed)?;
        }
        for gateway in &gateways {
            if !gateway.ready().await {
                let log = std::fs::read_to_string(folder.0.join("log0")).unwrap_or_default();
                return Err(std::io::Error::other(format!("a gateway does not come up: {log}")));
            }
        }
        let addresses = gateways.iter().map(|gateway| gateway.listen).collect();
        let gateways = RefCell::new(gateways);
        Ok(Rc::new(TestCluster {
            emulated_hosts,
            register,
            relay,
            gateways,
            tier,
            addresses,
            plan,
            witness,
            _folder: folder,
        }))
    }

    /// Kills a gateway, waits, and starts it again with what the register shows now.
    pub async fn restart(&self, number: usize, down: Time) -> std::io::Result<()> {
        self.gateways.borrow_mut()[number].kill();
        self.emulated_hosts.clock.sleep_until(self.emulated_hosts.clock.now() + down).await;
        self.gateways.borrow_mut()[number].start(&self.tier, self.plan.seed)
    }

    /// Milliseconds of processor time that a gateway has used since its start, in the system's ticks of 10 ms.
    pub fn processor_ms(&self, number: usize) -> std::io::Result<f64> {
        let id = self.gateways.borrow()[number].id().ok_or_else(|| std::io::Error::other("it is down"))?;
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
        // Behind the name in parentheses: user and system time are the 12th and 13th words.
        let words = stat.rsplit(')').next().unwrap_or("").split_ascii_whitespace();
        let ticks: u64 = words.skip(11).take(2).filter_map(|word| word.parse::<u64>().ok()).sum();
        Ok(ticks as f64 * 10.0)
    }

    /// Ends all gateways in order, so that their logs hold their counters.
    pub async fn stop(&self) {
        self.gateways.borrow_mut().iter_mut().for_each(Gateway::stop);
        self.emulated_hosts.clock.sleep_until(self.emulated_hosts.clock.now() + 900_000).await;
    }

    /// The sum of a counter over all gateways' logs.
    pub fn counted(&self, name: &str) -> u64 {
        let folder: &Path = &self.tier.folder;
        (0..self.plan.gateways).map(|number| crate::gateways::counter(folder, number, name)).sum()
    }
}

/// The gateway's program beside this one.
pub fn gateway_program() -> std::io::Result<PathBuf> {
    let path = std::env::current_exe()?.with_file_name("petrelgauge");
    match path.exists() {
        true => Ok(path),
        false => Err(std::io::Error::other("the gateway is not built: cargo build --release --workspace")),
    }
}
