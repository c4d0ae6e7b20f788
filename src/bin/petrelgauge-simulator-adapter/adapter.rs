//! All routers of the process: batches of events go to their instances, actions come back.

use crate::error::{AdapterError, EventError};
use crate::instance::Instance;
use crate::wire::{self, Batch, WireEvent};
use petrelgauge::{Entry, Event, Time};
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::Arc;

/// All routers of this process.
#[derive(Default)]
pub struct Adapter {
    /// Endpoint lists, by the slots that they were defined under.
    lists: BTreeMap<u64, Arc<[Entry]>>,
    instances: BTreeMap<u64, Instance>,
}

impl Adapter {
    /// Turns one line of events into the line of actions that answers it.
    ///
    /// # Errors
    ///
    /// Fails if the line is not a batch, or an event in it cannot be used.
    pub fn handle_batch(&mut self, line: &[u8]) -> Result<String, AdapterError> {
        let batch: Batch = serde_json::from_slice(line).map_err(AdapterError::NotABatch)?;
        let now = batch.now;
        let mut groups = Vec::new();
        for group in batch.groups {
            let number = group.instance;
            let events = self
                .translate(now, number, group.events)
                .map_err(|cause| AdapterError::Event { instance: number, cause })?;
            let Some(instance) = self.instances.get_mut(&number) else { continue };
            let actions = instance.step(now, &events);
            if !actions.is_empty() {
                let actions: Vec<_> = actions.iter().map(wire::action_to_json).collect();
                groups.push(json!({"i": number, "actions": actions}));
            }
        }
        Ok(json!({ "groups": groups }).to_string())
    }

    /// The router's events for those of one instance in a batch.
    fn translate(
        &mut self,
        now: Time,
        number: u64,
        wire_events: Vec<WireEvent>,
    ) -> Result<Vec<Event>, EventError> {
        let mut events = Vec::new();
        for wire_event in wire_events {
            match wire_event {
                WireEvent::DefineList { slot, rows } => self.define_list(slot, rows)?,
                WireEvent::Configure { seed, info } => {
                    events.clear();
                    self.instances.insert(number, Instance::new(seed, &info)?);
                }
                WireEvent::Teardown => {
                    events.clear();
                    self.instances.remove(&number);
                }
                other => {
                    let instance = self.instances.get_mut(&number).ok_or(EventError::NotConfigured)?;
                    events.extend(instance.translate(now, other, &self.lists)?);
                }
            }
        }
        Ok(events)
    }

    fn define_list(&mut self, slot: u64, rows: Vec<wire::Row>) -> Result<(), EventError> {
        let entries: Result<Vec<Entry>, EventError> = rows.into_iter().map(wire::Row::into_entry).collect();
        self.lists.insert(slot, entries?.into());
        Ok(())
    }
}
