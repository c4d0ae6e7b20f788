//! Schedules of faults, drawn from a seed: what is done to a fleet, and when. A schedule is data that can be printed and
//! played again.

use super::hosts::Mode;
use super::{below, uniform, Fleet, Plan};
use petrelgauge_test_support::{ServiceState, SlowStart};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Before the first fault, so that gateways have seen what hosts carry (milliseconds).
const WARM_UP: u64 = 3_000;
/// From the first fault to the last (milliseconds).
const FAULTS_SPAN: u64 = 9_000;
/// From the last fault to the last request (milliseconds).
const REST: u64 = 4_000;
/// Faults of a schedule, at least and at most.
const FAULTS: (usize, usize) = (4, 8);
/// Signals of one fault, at least and at most, so long apart (milliseconds).
const SIGNALS: (usize, usize) = (2, 4);
const BETWEEN_SIGNALS: u64 = 120;
/// A gateway that is held up is so for this long (milliseconds).
const HELD_UP: u64 = 120;
/// A host that has drained is replaced by one that starts after this (milliseconds).
const REPLACED_AFTER: u64 = 3_000;
/// Idle clients of a crowd: more than the third of the descriptors that a gateway keeps for clients.
const CROWD: usize = 250;
const CONNECT_WITHIN: Duration = Duration::from_millis(20);

/// What is done to the fleet.
#[derive(Clone, Debug)]
pub enum Fault {
    /// The hosts die, and start after `down`. The list names the starts `later` after them.
    RestartHosts {
        hosts: Vec<usize>,
        down: u64,
        later: u64,
    },
    SilenceHosts {
        hosts: Vec<usize>,
        span: u64,
    },
    /// The hosts drain, and start anew in their own places.
    ReplaceHosts {
        hosts: Vec<usize>,
    },
    /// SIGTERM, SIGKILL at the earliest, and a new process.
    StopGateways {
        gateways: Vec<usize>,
    },
    KillGateways {
        gateways: Vec<usize>,
    },
    HoldUpGateways {
        gateways: Vec<usize>,
    },
    /// SIGHUP several times in a row.
    ReloadGateways {
        gateways: Vec<usize>,
        times: usize,
    },
    Discovery {
        state: ServiceState,
        span: u64,
    },
    Burst {
        factor: f64,
        span: u64,
    },
    /// Idle clients fill the descriptors of a gateway.
    Crowd {
        gateway: usize,
        span: u64,
    },
}

/// A fault and when it begins (milliseconds from the first request).
#[derive(Clone, Debug)]
pub struct Step {
    pub at: u64,
    pub fault: Fault,
}

/// What a seed stands for.
#[derive(Clone, Debug)]
pub struct Schedule {
    pub plan: Plan,
    pub steps: Vec<Step>,
}

impl Schedule {
    /// Draws a fleet and what is done to it.
    pub fn draw(seed: u64) -> Schedule {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let slow_start = SlowStart {
            initial_share: 0.08 + 0.2 * uniform(&mut rng),
            span: Duration::from_secs(16),
            overload_factor: 2.0 + 2.0 * uniform(&mut rng),
            overload_span: Duration::from_millis(500 + 100 * below(&mut rng, 11) as u64),
        };
        let plan = Plan {
            gateways: 4 + below(&mut rng, 21),
            hosts: 5 + below(&mut rng, 3),
            load: 0.45 + 0.4 * uniform(&mut rng),
            long_share: 0.03 + 0.07 * uniform(&mut rng),
            slow_start,
            hosts_ahead_ms: [0, 0, 0, 3_600_000, -3_600_000][below(&mut rng, 5)],
            seed,
        };
        let count = FAULTS.0 + below(&mut rng, FAULTS.1 - FAULTS.0 + 1);
        let mut steps: Vec<Step> = (0..count)
            .map(|_| {
                let at = WARM_UP + below(&mut rng, FAULTS_SPAN as usize) as u64;
                Step { at, fault: draw_fault(&plan, &mut rng) }
            })
            .collect();
        steps.sort_by_key(|step| step.at);
        Schedule { plan, steps }
    }

    /// Plays the schedule.
    pub async fn play(self, fleet: Rc<Fleet>) {
        let begun = fleet.clock.now();
        let mut tasks = Vec::new();
        for step in self.steps {
            let elapsed = (fleet.clock.now() - begun) as u64 / 1_000;
            fleet.wait(step.at.saturating_sub(elapsed)).await;
            fleet.note(&format!("{:?}", step.fault));
            tasks.push(tokio::task::spawn_local(inject(fleet.clone(), step.fault)));
        }
        fleet.wait(REST).await;
        for task in tasks {
            task.await.expect("the fault was injected");
        }
    }
}

/// Some of so many, up to this share of them, one at least.
fn some(rng: &mut Pcg64Mcg, count: usize, share: f64) -> Vec<usize> {
    let most = ((count as f64 * share) as usize).max(1);
    let wanted = 1 + below(rng, most);
    let mut all: Vec<usize> = (0..count).collect();
    (0..wanted).map(|_| all.swap_remove(below(rng, all.len()))).collect()
}

fn draw_fault(plan: &Plan, rng: &mut Pcg64Mcg) -> Fault {
    let span = 500 + below(rng, 4_000) as u64;
    match below(rng, 13) {
        0..=2 => Fault::RestartHosts {
            hosts: some(rng, plan.hosts, 0.6),
            down: below(rng, 1_500) as u64,
            later: below(rng, 1_500) as u64,
        },
        3 | 4 => Fault::SilenceHosts { hosts: some(rng, plan.hosts, 0.6), span },
        5 | 6 => Fault::ReplaceHosts { hosts: some(rng, plan.hosts, 0.6) },
        7 => Fault::StopGateways { gateways: some(rng, plan.gateways, 0.4) },
        8 => Fault::KillGateways { gateways: some(rng, plan.gateways, 0.7) },
        9 => Fault::HoldUpGateways { gateways: some(rng, plan.gateways, 0.5) },
        10 => Fault::ReloadGateways {
            gateways: some(rng, plan.gateways, 1.0),
            times: SIGNALS.0 + below(rng, SIGNALS.1 - SIGNALS.0 + 1),
        },
        11 => {
            let state = if below(rng, 2) == 0 { ServiceState::Silent } else { ServiceState::Refusing };
            Fault::Discovery { state, span }
        }
        _ if below(rng, 2) == 0 => Fault::Burst { factor: 1.4 + uniform(rng), span },
        _ => Fault::Crowd { gateway: below(rng, plan.gateways), span },
    }
}

async fn inject(fleet: Rc<Fleet>, fault: Fault) {
    match fault {
        Fault::RestartHosts { hosts, down, later } => {
            hosts.iter().for_each(|host| fleet.hosts[*host].set_mode(Mode::Down));
            fleet.wait(down).await;
            hosts.iter().for_each(|host| fleet.hosts[*host].restart());
            fleet.wait(later).await;
            hosts.iter().for_each(|host| fleet.list.publish_start(*host));
        }
        Fault::SilenceHosts { hosts, span } => {
            hosts.iter().for_each(|host| fleet.hosts[*host].set_mode(Mode::Silent));
            fleet.wait(span).await;
            // One that died meanwhile stays as it is.
            let silent = hosts.iter().filter(|host| fleet.hosts[**host].mode() == Mode::Silent);
            silent.for_each(|host| fleet.hosts[*host].set_mode(Mode::Up));
        }
        Fault::ReplaceHosts { hosts } => {
            fleet.drain_hosts(&hosts);
            fleet.wait(REPLACED_AFTER).await;
            hosts.iter().for_each(|host| fleet.hosts[*host].restart());
            hosts.iter().for_each(|host| fleet.list.publish_start(*host));
        }
        Fault::StopGateways { gateways } => stop_gateways(&fleet, &gateways).await,
        Fault::KillGateways { gateways } => kill_gateways(&fleet, &gateways).await,
        Fault::HoldUpGateways { gateways } => {
            gateways.iter().for_each(|gateway| fleet.gateways[*gateway].process.signal("STOP"));
            fleet.wait(HELD_UP).await;
            gateways.iter().for_each(|gateway| fleet.gateways[*gateway].process.signal("CONT"));
        }
        Fault::ReloadGateways { gateways, times } => {
            for _ in 0..times {
                gateways.iter().for_each(|gateway| fleet.gateways[*gateway].process.signal("HUP"));
                fleet.wait(BETWEEN_SIGNALS).await;
            }
        }
        Fault::Discovery { state, span } => {
            fleet.list.set_state(state);
            fleet.wait(span).await;
            fleet.list.set_state(ServiceState::Up);
        }
        Fault::Burst { factor, span } => {
            fleet.load.set(fleet.plan.load * factor);
            fleet.wait(span).await;
            fleet.load.set(fleet.plan.load);
        }
        Fault::Crowd { gateway, span } => {
            let mut idle = Vec::new();
            for _ in 0..CROWD {
                // A gateway that accepts no more leaves connections unanswered.
                let connect = TcpStream::connect(fleet.gateways[gateway].process.listen);
                idle.extend(timeout(CONNECT_WITHIN, connect).await.into_iter().flatten());
            }
            fleet.wait(span).await;
        }
    }
}

/// Stops them one after the other, each with SIGKILL at the earliest and a new process.
async fn stop_gateways(fleet: &Fleet, gateways: &[usize]) {
    let mut stops = Vec::new();
    for gateway in gateways {
        let gateway = fleet.gateways[*gateway].clone();
        if gateway.begin_replacement() {
            stops.push(tokio::task::spawn_local(async move {
                gateway.stop().await;
                gateway.end_replacement();
            }));
        }
        fleet.wait(BETWEEN_SIGNALS).await;
    }
    for stop in stops {
        stop.await.expect("it stopped");
    }
}

async fn kill_gateways(fleet: &Fleet, gateways: &[usize]) {
    let mut killed: Vec<usize> = gateways.to_vec();
    killed.retain(|gateway| fleet.gateways[*gateway].begin_replacement());
    killed.iter().for_each(|gateway| fleet.gateways[*gateway].kill());
    fleet.wait(5 * BETWEEN_SIGNALS).await;
    killed.iter().for_each(|gateway| fleet.gateways[*gateway].end_replacement());
}
