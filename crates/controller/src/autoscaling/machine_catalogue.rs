//! The cloud's catalogue of machine types: reads it from the cloud, validates it and stores it, so
//! that nodes can decide on submissions while the cloud does not respond.

use crate::leader::state::Role;
use crate::model::records::*;
use crate::{CallContext, CloudReply, CloudRequest, Controller, StoreRequest, Time};
use protocol::cloud::{MachineType, MachineTypes};
use protocol::state::{Compare, Mutation, Transaction};
use tracing::{info, warn};

/// Time between reads of the catalogue.
const REFRESH_INTERVAL_S: Time = 60.0;

/// Delay before the catalogue is read again after a failed call.
const RETRY_INTERVAL_S: Time = 2.0;

/// Whether the planner can work with `catalogue`.
fn is_valid(catalogue: &MachineTypes) -> bool {
    !catalogue.types.is_empty() && catalogue.types.iter().all(is_valid_type)
}

fn is_valid_type(machine_type: &MachineType) -> bool {
    let values = [
        machine_type.cores,
        machine_type.accelerators,
        machine_type.memory_gb,
        machine_type.price,
        machine_type.spot_price,
        machine_type.boot_s,
        machine_type.fetch_gb_per_s,
        machine_type.cache_gb,
    ];
    values.into_iter().all(|value| value.is_finite() && value >= 0.0) && !machine_type.zones.is_empty()
}

impl Controller {
    /// Reads the catalogue from the cloud when it is due.
    pub(super) fn tick_machine_types(&mut self) {
        let now = self.now;
        let Role::Leader(leader) = &self.role else { return };
        let token = leader.fencing_token;
        let outdated = leader.fleet.types_read_at.is_none_or(|read_at| now - read_at > REFRESH_INTERVAL_S);
        if leader.fleet.types_in_flight || !outdated || !self.try_acquire_cloud_call() {
            return;
        }
        self.call_cloud(CallContext::CloudTypes { token }, CloudRequest::Types);
        let Role::Leader(leader) = &mut self.role else { return };
        leader.fleet.types_in_flight = true;
        leader.fleet.types_read_at = Some(now);
    }

    /// Adopts the catalogue in the reply if it is valid, and stores it if it is the first one.
    pub(super) fn on_machine_types(&mut self, token: u64, reply: CloudReply) {
        let now = self.now;
        let Some(leader) = self.leader_state(token) else { return };
        leader.fleet.types_in_flight = false;
        let CloudReply::Types(catalogue) = reply else {
            leader.fleet.types_read_at = Some(now - (REFRESH_INTERVAL_S - RETRY_INTERVAL_S));
            return;
        };
        if !is_valid(&catalogue) {
            warn!("machine type catalogue is invalid, ignored");
            return;
        }
        leader.planning.needed = true;
        let is_first = self.machine_types.is_none();
        self.machine_types = Some(catalogue.types.clone());
        if is_first {
            info!(types = catalogue.types.len(), "machine types loaded");
            self.store_machine_types(token, catalogue.types);
        }
    }

    /// Stores the catalogue in one value or, if it is too large and every node can read the split
    /// form, in several. A catalogue that does not fit in one transaction is not stored, because a
    /// partial catalogue would make nodes refuse jobs that can run.
    fn store_machine_types(&mut self, token: u64, types: Vec<MachineType>) {
        let max_bytes = self.store_limits.value_bytes();
        let put = |(key, value)| Mutation::Put { key, value, lease: None };
        let single_value = Value::Types(types.clone());
        let mutations: Vec<Mutation<Value>> = if json_size(&single_value) > max_bytes
            && self.uses_current_format()
        {
            let delete_single_value = Mutation::Delete { key: TYPES_KEY.to_string() };
            catalogue_chunks(&types, max_bytes).into_iter().map(put).chain([delete_single_value]).collect()
        } else {
            vec![put((TYPES_KEY.to_string(), single_value))]
        };
        if mutations.len() > self.store_limits.mutations() {
            return;
        }
        let compares = vec![Compare { key: LEADER_KEY.to_string(), version: token }];
        let transaction = Transaction { compares, mutations };
        self.call_store(CallContext::TypesWrite, StoreRequest::Commit(transaction));
    }
}
