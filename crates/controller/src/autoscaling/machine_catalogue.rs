//! The cloud's catalogue of machine types: read from the cloud, checked, and stored, so that a
//! node can decide on submissions while the cloud does not answer.

use crate::leader::state::Role;
use crate::model::records::*;
use crate::{CallContext, CloudReply, CloudRequest, Controller, StoreRequest, Time};
use protocol::cloud::{MachineType, MachineTypes};
use protocol::state::{Compare, Mutation, Transaction};
use tracing::{info, warn};

/// How long a catalogue that was read is good.
const REFRESH_INTERVAL_S: Time = 60.0;

/// How soon it is read again after a call that failed.
const RETRY_INTERVAL_S: Time = 2.0;

/// Whether the planner can work with `catalogue`.
fn is_valid(catalogue: &MachineTypes) -> bool {
    !catalogue.types.is_empty() && catalogue.types.iter().all(is_valid_type)
}

fn is_valid_type(machine_type: &MachineType) -> bool {
    let figures = [
        machine_type.cores,
        machine_type.accelerators,
        machine_type.memory_gb,
        machine_type.price,
        machine_type.spot_price,
        machine_type.boot_s,
        machine_type.fetch_gb_per_s,
        machine_type.cache_gb,
    ];
    figures.into_iter().all(|figure| figure.is_finite() && figure >= 0.0) && !machine_type.zones.is_empty()
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

    /// Takes over a valid catalogue; stores the first one.
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
        let first = self.machine_types.is_none();
        self.machine_types = Some(catalogue.types.clone());
        if first {
            info!(types = catalogue.types.len(), "machine types loaded");
            self.store_machine_types(token, catalogue.types);
        }
    }

    /// Stores the catalogue in one value or, once every node can read that, in as many as it
    /// takes. A catalogue that is too long for one transaction is not stored: a half of it would
    /// make nodes refuse jobs that can run.
    fn store_machine_types(&mut self, token: u64, types: Vec<MachineType>) {
        let max_bytes = self.store_limits.value_bytes();
        let put = |(key, value)| Mutation::Put { key, value, lease: None };
        let whole = Value::Types(types.clone());
        let mutations: Vec<Mutation<Value>> = if json_size(&whole) > max_bytes && self.uses_current_format() {
            let delete_whole = Mutation::Delete { key: TYPES_KEY.to_string() };
            catalogue_chunks(&types, max_bytes).into_iter().map(put).chain([delete_whole]).collect()
        } else {
            vec![put((TYPES_KEY.to_string(), whole))]
        };
        if mutations.len() > self.store_limits.mutations() {
            return;
        }
        let compares = vec![Compare { key: LEADER_KEY.to_string(), version: token }];
        let transaction = Transaction { compares, mutations };
        self.call_store(CallContext::TypesWrite, StoreRequest::Commit(transaction));
    }
}
