//! Watches the endpoint list over one long-lived HTTP response, which is reopened with backoff. After an
//! update that cannot be used, requests the complete list over a second connection.

use crate::discovery::endpoint_list::EndpointList;
use crate::discovery::endpoint_table::EndpointTable;
use crate::discovery::host_names::HostNames;
use crate::discovery::list_assembler::ListText;
use crate::discovery::list_request::{
    fetch_complete_list, open_request, ListQuery, ListResponse, RequestError,
};
use crate::facade::Facade;
use crate::host::pool::HostPool;
use crate::os::clock::Clock;
use crate::os::socket::ByteStream;
use crate::resources::counters::Counters;
use crate::MemberId;
use petrelgauge_lifecycle::backoff::{Backoff, Cause as BackoffCause};
use petrelgauge_lifecycle::watch::{WatchState, COMPLETE_LIST_INTERVAL};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use thiserror::Error;
use tokio::sync::watch;

/// Reason why a list is not applied.
#[derive(Debug, Error)]
enum ListError {
    #[error(transparent)]
    InvalidJson(#[from] serde_json::Error),
    #[error("the list is truncated")]
    Truncated,
    #[error("host {0} has no address")]
    HostWithoutAddress(String),
    #[error("revision {0} is older than the current one")]
    Outdated(u64),
    #[error("the list of revision {0} is not complete")]
    NotComplete(u64),
    #[error(transparent)]
    Request(#[from] RequestError),
}

/// A request for the complete list that is in flight.
type CompleteListRequest = Pin<Box<dyn Future<Output = Result<EndpointList, RequestError>>>>;

/// Options of [`DiscoveryWatch::new`].
pub struct WatchOptions {
    /// The routing decisions, which are updated with each list.
    pub facade: Facade,
    /// The host connections, which are updated with each list.
    pub host_pool: Rc<HostPool>,
    /// Counters reported to operators.
    pub counters: Rc<Counters>,
    /// Clock for all deadlines.
    pub clock: Clock,
    /// Backoff between watch requests.
    pub backoff: Backoff,
    /// The list used until discovery sends one.
    pub initial_list: Option<EndpointList>,
    /// Host IDs by host name, handed over by a previous process of this gateway.
    pub assigned_ids: BTreeMap<String, MemberId>,
}

/// Watches the endpoint list of discovery and applies its updates.
pub struct DiscoveryWatch {
    endpoint_table: EndpointTable,
    watch_state: WatchState,
    backoff: Backoff,
    counters: Rc<Counters>,
    clock: Clock,
    /// Shared with the rest of the gateway.
    has_received_list: Rc<Cell<bool>>,
}

impl DiscoveryWatch {
    /// Builds a watch and applies the initial list. An initial list with a host without an address is logged
    /// and ignored.
    pub fn new(options: WatchOptions) -> DiscoveryWatch {
        let WatchOptions { facade, host_pool, counters, clock, backoff, initial_list, assigned_ids } =
            options;
        let mut watch = DiscoveryWatch {
            endpoint_table: EndpointTable::new(facade, host_pool, assigned_ids, clock.now()),
            watch_state: WatchState::default(),
            backoff,
            counters,
            clock,
            has_received_list: Rc::default(),
        };
        if let Some(list) = initial_list {
            // There is no earlier list that a partial one could update.
            watch.apply_initial_list(EndpointList { complete: true, ..list });
        }
        watch
    }

    /// Names and IDs of the hosts, updated with each list.
    pub fn host_names(&self) -> Rc<HostNames> {
        self.endpoint_table.host_names()
    }

    /// Revision of the current list, updated with each list.
    pub fn revision(&self) -> Rc<Cell<u64>> {
        self.endpoint_table.revision()
    }

    /// Whether discovery has sent a valid list; updated by the watch.
    pub fn has_received_list(&self) -> Rc<Cell<bool>> {
        self.has_received_list.clone()
    }

    /// Keeps a watch open to the latest address of `addresses`. Never returns.
    pub async fn run(mut self, mut addresses: watch::Receiver<SocketAddr>) {
        let clock = self.clock;
        let mut last_cause = String::new();
        loop {
            let address = *addresses.borrow_and_update();
            self.counters.watches.add();
            let error = tokio::select! {
                error = self.watch(address) => error,
                Ok(()) = addresses.changed() => {
                    // The new source may number revisions differently, so its complete list is requested. The
                    // current list stays in use until it arrives.
                    self.watch_state.on_source_changed();
                    last_cause.clear();
                    continue;
                }
            };
            // Logged only if the cause changes, not at every attempt while discovery is down.
            let cause = error.to_string();
            if cause != last_cause {
                log::warn!("discovery watch ended address={address} cause={cause}");
                last_cause = cause;
            }
            let kind = if error.is_rejection() { BackoffCause::Rejected } else { BackoffCause::Lost };
            let pause = self.backoff.pause(kind);
            log::debug!("discovery watch retry scheduled pause_us={pause} cause={last_cause}");
            tokio::select! {
                () = clock.sleep_until(clock.now() + pause) => {}
                Ok(()) = addresses.changed() => self.watch_state.on_source_changed(),
            }
        }
    }

    /// Watches until the request ends, and returns the reason.
    async fn watch(&mut self, address: SocketAddr) -> RequestError {
        let query = match self.watch_state.resume_after() {
            Some(revision) => ListQuery::WatchAfter(revision),
            None => ListQuery::Watch,
        };
        self.watch_state.on_watch_opened();
        let stream = match open_request(address, query, self.clock).await {
            Ok(stream) => stream,
            Err(error) => return error,
        };
        let error = self.apply_response(&stream, address).await;
        if error.is_malformed() {
            self.counters.bad_lists.add();
        }
        error
    }

    /// Applies the updates of a watch until it ends.
    async fn apply_response(&mut self, stream: &impl ByteStream, address: SocketAddr) -> RequestError {
        let clock = self.clock;
        let mut response = ListResponse::default();
        let mut list_request: Option<CompleteListRequest> = None;
        loop {
            let read = tokio::select! {
                read = response.read(stream, clock) => read,
                result = completed(&mut list_request) => {
                    list_request = self.on_complete_list_response(result, address);
                    continue;
                }
            };
            self.counters.list_bytes.add_many(response.take_byte_count());
            if response.is_accepted() {
                self.backoff.reset();
            }
            let has_unusable_update = self.apply_updates(&response.take_texts());
            if has_unusable_update && list_request.is_none() {
                list_request = self.request_complete_list(address);
            }
            if let Err(error) = read {
                return error;
            }
        }
    }

    /// Applies updates of the watch and returns whether any was unusable. An unusable update leaves the
    /// current list unchanged; the complete list is needed afterwards, because the watch does not resend
    /// changes.
    fn apply_updates(&mut self, updates: &[ListText]) -> bool {
        let mut has_unusable_update = false;
        for text in updates {
            let Err(cause) = parse_list(text).and_then(|list| self.apply_update(list)) else { continue };
            log::warn!("endpoint list update rejected cause={cause}");
            self.watch_state.on_unusable_line();
            self.counters.bad_lists.add();
            has_unusable_update = true;
        }
        has_unusable_update
    }

    fn apply_update(&mut self, list: EndpointList) -> Result<(), ListError> {
        let EndpointList { revision, complete, .. } = list;
        self.has_received_list.set(true);
        if self.watch_state.is_first_list() && !self.endpoint_table.is_empty() {
            log::info!("discovery source changed revision={revision} complete={complete}");
        }
        if !self.watch_state.on_update(revision, list.update()) {
            return Err(ListError::Outdated(revision));
        }
        self.apply(list);
        Ok(())
    }

    /// Schedules a request for the complete list if it is still needed.
    fn request_complete_list(&self, address: SocketAddr) -> Option<CompleteListRequest> {
        if !self.watch_state.needs_complete_list() {
            return None;
        }
        let starts_at = self.clock.now() + COMPLETE_LIST_INTERVAL;
        Some(Box::pin(fetch_complete_list(address, starts_at, self.clock)))
    }

    /// Applies the response to a request for the complete list, or schedules the next request.
    fn on_complete_list_response(
        &mut self,
        response: Result<EndpointList, RequestError>,
        address: SocketAddr,
    ) -> Option<CompleteListRequest> {
        let applied = response.map_err(ListError::from).and_then(|list| self.apply_complete_list(list));
        let Err(cause) = applied else { return None };
        log::debug!("complete endpoint list request failed cause={cause}");
        self.request_complete_list(address)
    }

    /// Applies a complete list that was requested separately, unless the watch has received a newer one.
    fn apply_complete_list(&mut self, list: EndpointList) -> Result<(), ListError> {
        if !list.complete {
            return Err(ListError::NotComplete(list.revision));
        }
        if let Some(host) = list.host_without_address() {
            return Err(ListError::HostWithoutAddress(host.to_string()));
        }
        if !self.watch_state.on_complete_list(list.revision) {
            return Err(ListError::Outdated(list.revision));
        }
        self.apply(list);
        Ok(())
    }

    fn apply_initial_list(&mut self, list: EndpointList) {
        if let Some(host) = list.host_without_address() {
            self.counters.bad_lists.add();
            log::warn!("initial endpoint list rejected host={host} cause=no_address");
            return;
        }
        self.watch_state.on_update(list.revision, list.update());
        self.apply(list);
    }

    fn apply(&mut self, list: EndpointList) {
        self.counters.lists.add();
        self.endpoint_table.apply(list, self.clock.now());
    }
}

fn parse_list(text: &ListText) -> Result<EndpointList, ListError> {
    let ListText::Complete(text) = text else { return Err(ListError::Truncated) };
    let list: EndpointList = serde_json::from_slice(text)?;
    match list.host_without_address() {
        Some(host) => Err(ListError::HostWithoutAddress(host.to_string())),
        None => Ok(list),
    }
}

/// Waits for the request in flight, or forever if there is none. Cancel safe.
async fn completed(request: &mut Option<CompleteListRequest>) -> Result<EndpointList, RequestError> {
    match request {
        Some(request) => request.await,
        None => std::future::pending().await,
    }
}
