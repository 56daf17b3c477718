//! Storage of the images that the machines hold, for the next leader, which has no other source for
//! them.

use crate::leader::state::Role;
use crate::messages::Time;
use crate::model::cluster::MachineImages;
use crate::model::records::{images_key, json_text_bytes, ImagesRecord, Value};
use crate::storage::fencing::{is_fenced, leader_compare, LEADERSHIP_LOST};
use crate::storage::write_queue::LEADER_WRITE_SHARE;
use crate::{CallContext, Controller, StoreReply, StoreRequest};
use protocol::state::{Compare, Item, Mutation, Transaction};
use std::collections::BTreeMap;

/// Maximum number of images stored per machine.
const MAX_IMAGES_PER_MACHINE: usize = 6;
/// Maximum number of parts that the machines' images are stored in.
const MAX_PARTS: usize = 1024;
/// Maximum number of parts written per worker lease duration.
const MAX_PARTS_PER_LEASE: usize = 64;
/// JSON bytes of a machine in a part, besides its id.
const MACHINE_OVERHEAD_BYTES: usize = 8;
/// JSON bytes of an image in a part, besides its name.
const IMAGE_OVERHEAD_BYTES: usize = 16;
/// JSON bytes of an index into a part's images.
const INDEX_BYTES: usize = 4;
/// Generous upper bound of the JSON bytes of an image and an index of it, besides the image's name.
const IMAGE_AND_INDEX_BYTES: usize = 24;

/// Part of the machines' images as stored.
struct StoredPart {
    record: ImagesRecord,
    version: u64,
}

/// Part whose write awaits its reply.
struct PartInFlight {
    part: usize,
    record: ImagesRecord,
}

/// Machines' images as last stored.
#[derive(Default)]
pub struct StoredImages {
    parts: BTreeMap<usize, StoredPart>,
    /// Time of the next comparison with the images that the machines hold.
    check_at: Time,
    in_flight: Option<PartInFlight>,
    /// Part from which the next comparison starts, so that a part that can't be stored holds up no other.
    next_part: usize,
}

impl StoredImages {
    /// Records that `record` is stored as part `part` in `version`.
    pub fn record(&mut self, part: usize, record: ImagesRecord, version: u64) {
        self.parts.insert(part, StoredPart { record, version });
    }

    fn is_check_due(&self, now: Time) -> bool {
        self.in_flight.is_none() && now >= self.check_at
    }

    /// Returns the next part that differs from its stored record, with its number.
    fn next_changed(&self, records: Vec<ImagesRecord>) -> Option<(usize, ImagesRecord)> {
        let is_stored = |part: &usize, record: &ImagesRecord| {
            self.parts.get(part).is_some_and(|stored| stored.record == *record)
        };
        let parts = records.into_iter().enumerate().take(MAX_PARTS);
        let mut changed: Vec<(usize, ImagesRecord)> =
            parts.filter(|(part, record)| !is_stored(part, record)).collect();
        let next = changed.iter().position(|(part, _)| *part >= self.next_part).unwrap_or(0);
        (next < changed.len()).then(|| changed.swap_remove(next))
    }

    /// Returns the transaction that writes a part, and records it as in flight.
    fn begin_write(&mut self, fencing_token: u64, part: usize, record: ImagesRecord) -> Transaction<Value> {
        let key = images_key(part);
        let version = self.parts.get(&part).map_or(0, |stored| stored.version);
        self.in_flight = Some(PartInFlight { part, record: record.clone() });
        self.next_part = part + 1;
        Transaction {
            compares: vec![leader_compare(fencing_token), Compare { key: key.clone(), version }],
            mutations: vec![Mutation::Put { key, value: Value::Images(record), lease: None }],
        }
    }
}

/// Splits the images that the machines hold into parts of at most about `max_bytes` of JSON each.
fn split_into_parts(machines: &[MachineImages], max_bytes: usize) -> Vec<ImagesRecord> {
    let mut parts: Vec<ImagesRecord> = Vec::new();
    let mut size = usize::MAX;
    for machine in machines.iter().map(|machine| with_images_that_fit(machine, max_bytes)) {
        if size.saturating_add(max_size(&machine)) > max_bytes {
            parts.push(ImagesRecord::default());
            size = 0;
        }
        if let Some(part) = parts.last_mut() {
            size += add_machine(part, &machine);
        }
    }
    parts
}

/// Returns an upper bound of the bytes that a machine adds to a part.
fn max_size(machine: &MachineImages) -> usize {
    let images: usize = machine.images.iter().map(|(name, _)| max_image_size(name)).sum();
    json_text_bytes(&machine.id) + MACHINE_OVERHEAD_BYTES + images
}

/// Returns an upper bound of the bytes that an image and its index add to a part.
fn max_image_size(name: &str) -> usize {
    json_text_bytes(name) + IMAGE_AND_INDEX_BYTES
}

/// Returns the machine with as many of its images as a part of `max_bytes` can hold.
fn with_images_that_fit(machine: &MachineImages, max_bytes: usize) -> MachineImages {
    let mut machine = machine.clone();
    while max_size(&machine) > max_bytes && machine.images.pop().is_some() {}
    machine
}

/// Adds a machine to a part. Returns the number of bytes added.
fn add_machine(part: &mut ImagesRecord, machine: &MachineImages) -> usize {
    let mut size = json_text_bytes(&machine.id) + MACHINE_OVERHEAD_BYTES;
    let mut indices = Vec::new();
    for (name, gb) in &machine.images {
        let existing_index = part.images.iter().position(|(existing_name, _)| existing_name == name);
        let index = existing_index.unwrap_or_else(|| {
            size += json_text_bytes(name) + IMAGE_OVERHEAD_BYTES;
            part.images.push((name.clone(), *gb));
            part.images.len() - 1
        });
        indices.push(index as u32);
    }
    size += indices.len() * INDEX_BYTES;
    part.machines.push((machine.id.clone(), indices));
    size
}

impl Controller {
    /// Stores the parts of the machines' images that have changed, one at a time, and checks for
    /// further changes once per worker lease duration.
    pub(super) fn store_images(&mut self) {
        let now = self.now;
        let interval_s = self.settings.params.workers.lease_s;
        let max_bytes = self.store_limits.value_bytes() * 3 / 4;
        let rate = self.store_limits.write_rps() * LEADER_WRITE_SHARE;
        let Role::Leader(leader) = &mut self.role else { return };
        let token = leader.fencing_token;
        let budget = leader.fleet.write_budget(rate);
        if !leader.archive.is_enabled() || !leader.archive.images.is_check_due(now) {
            return;
        }
        if budget.available_at(now) < rate / 2.0 {
            return;
        }
        let machine_images = leader.cluster.images_held(MAX_IMAGES_PER_MACHINE);
        let images = &mut leader.archive.images;
        let Some((part, record)) = images.next_changed(split_into_parts(&machine_images, max_bytes)) else {
            images.check_at = now + interval_s;
            return;
        };
        budget.try_acquire(now, 1.0);
        // The writes of several changed parts are spread over a lease duration.
        images.check_at = now + interval_s / MAX_PARTS_PER_LEASE as f64;
        let txn = images.begin_write(token, part, record);
        self.call_store(CallContext::ImagesWrite { token }, StoreRequest::Commit(txn));
    }

    /// Handles the reply to the write of a part.
    pub(crate) fn on_images_write(&mut self, token: u64, reply: StoreReply) {
        let next_check_at = self.now + self.settings.params.workers.lease_s;
        let Some(leader) = self.leader_state(token) else { return };
        let images = &mut leader.archive.images;
        let Some(PartInFlight { part, record }) = images.in_flight.take() else { return };
        match reply {
            StoreReply::Committed(revision) => images.record(part, record, revision),
            StoreReply::Conflict(conflict) if is_fenced(&conflict) => self.step_down(LEADERSHIP_LOST),
            // An earlier write may have been applied without a reply, so the part is read back.
            // Otherwise writes with its outdated version would fail forever, and no other part
            // would be written.
            StoreReply::Conflict(_) | StoreReply::Unknown => {
                images.check_at = next_check_at;
                let context = CallContext::ImagesRead { token, part };
                self.call_store(context, StoreRequest::Get(images_key(part)));
            }
            // The write is not urgent, since only the next leader needs it.
            _ => images.check_at = next_check_at,
        }
    }

    /// Handles the reply to the read of a part.
    pub(crate) fn on_images_read(&mut self, token: u64, part: usize, reply: StoreReply) {
        let Some(leader) = self.leader_state(token) else { return };
        if let StoreReply::Item(Item { value: Value::Images(record), version, .. }) = reply {
            leader.archive.record_stored_images(part, record, version);
        }
    }
}
