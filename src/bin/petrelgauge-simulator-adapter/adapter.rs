//! Dispatches batches of events to the process's gateway instances and collects their actions.

use crate::error::{AdapterError, EventError};
use crate::instance::Instance;
use crate::wire::{self, Batch, WireEvent};
use petrelgauge::{Entry, Event, Time};
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The gateway instances of this process and the endpoint lists they share.
#[derive(Default)]
pub struct Adapter {
    /// Endpoint lists by slot, shared by all instances.
    lists: BTreeMap<u64, Arc<[Entry]>>,
    /// The instances by their number.
    instances: BTreeMap<u64, Instance>,
}

impl Adapter {
    /// Handles one line of events and returns the line of actions to reply with.
    ///
    /// # Errors
    ///
    /// Fails if the line is not a valid batch or contains an invalid event.
    pub fn handle_batch(&mut self, line: &[u8]) -> Result<String, AdapterError> {
        let batch: Batch = serde_json::from_slice(line).map_err(AdapterError::InvalidBatch)?;
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

    /// Translates the events of one instance. Events that define a list, or start or end the instance, are
    /// applied immediately.
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
