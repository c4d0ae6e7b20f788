//! The list service of a test cluster: it publishes the state of the emulated hosts, late.

use crate::emulated_hosts::{emulated_host_entries, EmulatedHosts};
use petrelgauge::Time;
use petrelgauge_test_support::{FirstUpdate, ListService};
use std::net::Ipv4Addr;
use std::rc::Rc;

/// Starts a list service that publishes changes of the hosts `delay` microseconds after they happen.
///
/// # Errors
///
/// Fails if its listening socket cannot be opened.
pub async fn start_list_service(
    emulated_hosts: Rc<EmulatedHosts>,
    delay: Time,
) -> std::io::Result<Rc<ListService>> {
    let entries = emulated_host_entries(&emulated_hosts);
    let service = ListService::start(Ipv4Addr::LOCALHOST, FirstUpdate::CompleteList, entries.clone()).await?;
    tokio::task::spawn_local(publish_changes(service.clone(), emulated_hosts, entries, delay));
    Ok(service)
}

async fn publish_changes(
    service: Rc<ListService>,
    emulated_hosts: Rc<EmulatedHosts>,
    mut published: Vec<String>,
    delay: Time,
) {
    let clock = emulated_hosts.clock;
    loop {
        let entries = emulated_host_entries(&emulated_hosts);
        clock.sleep_until(clock.now() + delay).await;
        if entries != published {
            published = entries.clone();
            service.replace_all(entries);
        }
    }
}
