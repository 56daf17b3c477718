//! Reads the machine type catalogue from the store, on every node.

use crate::model::records::{parse_catalogue, Value, CATALOGUE_PREFIX, TYPES_KEY};
use crate::{CallContext, Controller, StoreReply, StoreRequest};
use protocol::state::Item;

impl Controller {
    /// Reads the machine types from the store, at intervals, until they are known.
    pub(super) fn read_stored_machine_types(&mut self) {
        if self.machine_types.is_some() || self.now < self.next_types_read_at {
            return;
        }
        self.next_types_read_at = self.now + self.timing.renewal_interval_s;
        self.call_store(CallContext::TypesRead, StoreRequest::Get(TYPES_KEY.to_string()));
    }

    /// Handles the reply to a read of the machine types, which are stored as one value or in chunks.
    pub(crate) fn on_types_read(&mut self, reply: StoreReply) {
        match reply {
            StoreReply::Item(Item { value: Value::Types(types), .. }) => self.machine_types = Some(types),
            StoreReply::Missing(_) => {
                let request = StoreRequest::List { prefix: CATALOGUE_PREFIX.to_string(), after: None };
                self.call_store(CallContext::TypesRead, request);
            }
            StoreReply::Page(page) if self.machine_types.is_none() => {
                let chunks: Vec<String> = page.items.into_iter().filter_map(chunk_text).collect();
                self.machine_types = parse_catalogue(&chunks);
            }
            _ => {}
        }
    }
}

fn chunk_text(item: Item<Value>) -> Option<String> {
    match item.value {
        Value::SpecChunk(text) => Some(text),
        _ => None,
    }
}
