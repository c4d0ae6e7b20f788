//! What gateways of a fleet are told: their configurations, and the list's entries of real hosts.

use super::addresses::{of_gateway, port, zone, zone_name};
use super::fleet_plan::{FleetPlan, FleetTraffic};
use crate::emulated_hosts::EmulatedHosts;
use crate::gateways::gateway_settings_json;
use crate::replicated_group::MemberRole;
use std::net::SocketAddr;
use std::path::Path;

/// Secret of the fleet's datagrams.
const SECRET: &str = "5ca1e";

/// Where clients reach a gateway: beside where other gateways do.
pub(super) fn client_address(number: usize) -> SocketAddr {
    of_gateway(number, port() + 1)
}

pub(super) fn write_files(plan: &FleetPlan, folder: &Path, discovery: SocketAddr) -> std::io::Result<()> {
    let port = port();
    let peers: Vec<String> =
        (0..plan.gateways).map(|number| format!("\"{}\"", of_gateway(number, port))).collect();
    let peers = peers.join(",");
    for number in 0..plan.gateways {
        let (listen, heard, zone) =
            (client_address(number), of_gateway(number, port), zone_name(zone(number)));
        let seed = plan.seed.wrapping_mul(31).wrapping_add(101 + number as u64);
        let settings = gateway_settings_json(false, plan.gateways, zone);
        let config = format!(
            r#"{{"name":"n{number}","listen":"{listen}","discovery":"{discovery}","seed":"{seed:x}","limits":{{"cores":1.0,"memory_mb":192,"sockets":2048}},"peer_listen":"{heard}","peers":[{peers}],"settings":{settings}}}"#
        );
        std::fs::write(folder.join(format!("config{number}")), config)?;
    }
    let operator = match plan.traffic {
        FleetTraffic::Leadership => format!("ownership: {{secret: \"{SECRET}\"\n{}}}\n", plan.ownership),
        FleetTraffic::Sessions => format!(
            "sessions: {{classes: [\"view\", \"pay\"], secret: \"{SECRET}\", sources: [\"peers\"]}}\n"
        ),
    };
    std::fs::write(folder.join("operator"), operator)
}

/// The real hosts as entries of the list.
pub(super) fn emulated_host_entries(emulated_hosts: &EmulatedHosts) -> String {
    let addresses = emulated_hosts.addresses.borrow();
    let mut rows = Vec::new();
    for (group, addresses) in emulated_hosts.groups.iter().zip(addresses.iter()) {
        let group = group.borrow();
        for (member, address) in group.members.iter().zip(addresses) {
            let role = if matches!(member.role, MemberRole::Replica) { "standby" } else { "primary" };
            let (name, cell) = (&member.name, group.id);
            rows.push(format!(
                r#"{{"id":"{name}","host_port":"{address}","locality":"a","cell":{cell},"phase":"up","replication":"{role}","size":1.0,"up_since_ms":0}}"#
            ));
        }
    }
    rows.join(",")
}
