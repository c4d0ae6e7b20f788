//! The configuration files of a fleet's gateways.

use super::addresses::{datagram_port, gateway_address, zone, zone_name};
use super::fleet_plan::{FleetPlan, FleetTraffic};
use crate::gateways::gateway_settings_json;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Secret of the fleet's datagrams.
const SECRET: &str = "5ca1e";
/// The latency target of a class in the settings that gateways start with, and in the settings of a reload.
const FIRST_TARGET: &str = "\"aim_us\":500000";
const NEXT_TARGET: &str = "\"aim_us\":490000";

/// Where clients reach a gateway: at the port after the one for datagrams.
pub(super) fn client_address(number: usize) -> SocketAddr {
    gateway_address(number, datagram_port() + 1)
}

/// The configuration file of a gateway.
pub(super) fn config_path(folder: &Path, number: usize) -> PathBuf {
    folder.join(format!("config{number}"))
}

/// The operator's file of all gateways.
pub(super) fn operator_path(folder: &Path) -> PathBuf {
    folder.join("operator")
}

/// Writes all files.
pub(super) fn write_all(plan: &FleetPlan, folder: &Path, discovery: SocketAddr) -> std::io::Result<()> {
    let port = datagram_port();
    let gateways = plan.size.gateways;
    let peers: Vec<String> =
        (0..gateways).map(|number| format!("\"{}\"", gateway_address(number, port))).collect();
    let peers = peers.join(",");
    for number in 0..gateways {
        let (listen, peer_listen) = (client_address(number), gateway_address(number, port));
        let seed = plan.seed.wrapping_mul(31).wrapping_add(101 + number as u64);
        let settings = gateway_settings_json(false, gateways, zone_name(zone(number)));
        let config = format!(
            r#"{{"name":"n{number}","listen":"{listen}","discovery":"{discovery}","seed":"{seed:x}","limits":{{"cores":1.0,"memory_mb":192,"sockets":2048}},"peer_listen":"{peer_listen}","peers":[{peers}],"settings":{settings}}}"#
        );
        std::fs::write(config_path(folder, number), config)?;
    }
    let operator_file = match plan.traffic {
        FleetTraffic::Leadership => format!("ownership: {{secret: \"{SECRET}\"\n{}}}\n", plan.ownership),
        FleetTraffic::Sessions => format!(
            "sessions: {{classes: [\"view\", \"pay\"], secret: \"{SECRET}\", sources: [\"peers\"]}}\n"
        ),
    };
    std::fs::write(operator_path(folder), operator_file)
}

/// Writes the configurations of all gateways again, with other settings.
pub(super) fn change_settings(folder: &Path, gateways: usize) -> std::io::Result<()> {
    for number in 0..gateways {
        let path = config_path(folder, number);
        let text = std::fs::read_to_string(&path)?;
        std::fs::write(&path, text.replace(FIRST_TARGET, NEXT_TARGET))?;
    }
    Ok(())
}
