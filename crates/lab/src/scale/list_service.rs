//! The endpoint list of a fleet: thousands of entries in groups, changed at a stated rate and pushed to every watch.

use super::addresses::zone_name;
use petrelgauge_test_support::{Endpoint, FirstUpdate, ListService};
use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, SystemTime};

/// Members of each group of entries that stand for no host.
pub const MEMBERS_OF_GROUP: usize = 6;
/// Groups of such entries are numbered from here.
pub const FIRST_LISTED_ONLY_GROUP: u64 = 1_000;
/// Port of entries that stand for no host.
const LISTED_ONLY_PORT: u16 = 5_433;
/// Entries for each value of an address's third byte.
const ENTRIES_PER_NET: usize = 250;
/// The kind of machine that entries state.
const MACHINE_TYPE: &str = "m2";

/// A list whose entries change, and the service that publishes it.
pub struct ChangingList {
    /// The service.
    pub service: Rc<ListService>,
    /// The entries that stand for no host, in the service's order.
    endpoints: RefCell<Vec<Endpoint>>,
    /// Changes that were made.
    pub changes: Cell<u64>,
}

/// The name of a member of a group of entries that stand for no host; member 0 is its primary.
pub fn member_name(group: u64, member: usize) -> String {
    format!("h{group}-{member}")
}

fn listed_only_endpoint(index: usize) -> Endpoint {
    let group = FIRST_LISTED_ONLY_GROUP + (index / MEMBERS_OF_GROUP) as u64;
    let member = index % MEMBERS_OF_GROUP;
    // Nobody listens there, and no client asks for these groups.
    let ip = [127, 21, (index / ENTRIES_PER_NET) as u8, (index % ENTRIES_PER_NET) as u8 + 1];
    Endpoint {
        name: member_name(group, member),
        address: SocketAddr::from((ip, LISTED_ONLY_PORT)),
        zone: zone_name(index),
        machine_type: Some(MACHINE_TYPE),
        group,
        draining: false,
        primary: member == 0,
        started_ms: 0,
    }
}

impl ChangingList {
    /// Starts the service with this many entries that stand for no host, and the entries of the emulated hosts, which never
    /// change.
    ///
    /// # Errors
    ///
    /// Fails if its listening socket cannot be opened.
    pub async fn start(listed_only: usize, fixed_entries: Vec<String>) -> std::io::Result<Rc<ChangingList>> {
        let endpoints: Vec<Endpoint> = (0..listed_only).map(listed_only_endpoint).collect();
        let entries = endpoints.iter().map(Endpoint::json).chain(fixed_entries).collect();
        let service = ListService::start(Ipv4Addr::LOCALHOST, FirstUpdate::Changes, entries).await?;
        Ok(Rc::new(ChangingList { service, endpoints: RefCell::new(endpoints), changes: Cell::new(0) }))
    }

    /// Changes the entry of this index: one that is up begins to drain, one that drains has been started anew.
    pub fn change(&self, index: usize, now_ms: i64) {
        let mut endpoints = self.endpoints.borrow_mut();
        let index = index % endpoints.len().max(1);
        let Some(endpoint) = endpoints.get_mut(index) else { return };
        if endpoint.draining {
            endpoint.started_ms = now_ms;
        }
        endpoint.draining = !endpoint.draining;
        self.changes.set(self.changes.get() + 1);
        self.service.replace_entry(index, endpoint.json());
    }

    /// Makes changes at a steady rate, for ever.
    pub async fn keep_changing(self: Rc<Self>, per_minute: f64, seed: u64) {
        let pause = Duration::from_secs_f64(60.0 / per_minute);
        let mut next = tokio::time::Instant::now();
        let mut index = seed as usize;
        loop {
            next += pause;
            tokio::time::sleep_until(next).await;
            index = index.wrapping_mul(5).wrapping_add(1_013);
            let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
            self.change(index, now.as_millis() as i64);
        }
    }
}
