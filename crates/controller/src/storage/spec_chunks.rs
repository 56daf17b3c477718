//! Jobs whose specification is too large for their record: it lies beside it in parts, which
//! were stored before the record that names them.

use crate::model::records::*;
use crate::storage::store_limits::TARGET_TRANSACTION_BYTES;
use crate::{CallContext, Controller, StoreReply, StoreRequest, Time};
use protocol::state::{Compare, Mutation, Transaction};
use std::collections::BTreeMap;

/// What a leader has read of parts, before the records that name them.
#[derive(Default)]
pub struct ChunkReader {
    chunks: BTreeMap<(String, String), Vec<(String, String)>>,
}

impl ChunkReader {
    /// A part was listed; parts come in the order of their keys.
    pub fn add(&mut self, key: &str, text: String) {
        if let Some((id, nonce)) = SpecChunks::of_key(key) {
            let of = self.chunks.entry((id.to_string(), nonce.to_string())).or_default();
            of.push((key.to_string(), text));
        }
    }

    /// Completes a record; false if its parts are not there.
    pub fn complete(&mut self, record: &mut JobRecord) -> bool {
        let Some(parts) = record.spec_chunks.clone() else { return true };
        let pieces = self.chunks.remove(&(record.spec.id.clone(), parts.nonce)).unwrap_or_default();
        let pieces: Vec<String> = pieces.into_iter().map(|p| p.1).collect();
        record.join_spec(&pieces)
    }

    /// Keys of parts that no record names, and that were begun before `wall`: of
    /// submissions that were given up. (Others' records may be about to be written.)
    pub fn abandoned_keys(self, wall: Time) -> Vec<String> {
        let old = |nonce: &str| begun(nonce).is_some_and(|at| at < wall);
        let all = self.chunks.into_iter().filter(|((_, nonce), _)| old(nonce));
        all.flat_map(|(_, keys)| keys.into_iter().map(|k| k.0)).collect()
    }
}

/// A name for a submission's parts: when it was made, and what tells it from others.
pub fn nonce(wall: Time, draw: u32) -> String {
    format!("{:x}-{draw:x}", wall.max(0.0) as u64)
}

/// What has to hold for a job to be new.
pub fn new_job(id: &str) -> Vec<Compare> {
    [job_key(id), over_key(id)].map(|key| Compare { key, version: 0 }).into()
}

fn begun(nonce: &str) -> Option<Time> {
    let (at, _) = nonce.split_once('-')?;
    u64::from_str_radix(at, 16).ok().map(|at| at as Time)
}

impl Controller {
    /// Stores the next parts of a submission, or at last its record.
    pub(crate) fn store_next_chunks(&mut self, id: &str) {
        let most = self.store_limits.mutations();
        let (mut room, mut changes) = (TARGET_TRANSACTION_BYTES, Vec::new());
        let left = self.client_requests.pending_chunks(id);
        while let Some((key, value)) = left.pop() {
            let size = json_size(&value) + key.len() + 40;
            if changes.len() >= most || size > room && !changes.is_empty() {
                left.push((key, value));
                break;
            }
            room = room.saturating_sub(size);
            changes.push(Mutation::Put { key, value, lease: None });
        }
        if changes.is_empty() {
            return self.store_job_record(id);
        }
        self.client_writes.try_acquire(self.now, changes.len() as f64);
        // (Repetitions of a known submission once left parts that nobody named.)
        let txn = Transaction { compares: new_job(id), mutations: changes };
        self.commit_hedged(CallContext::CreateChunks { id: id.to_string() }, txn);
    }

    pub(crate) fn on_chunks_stored(&mut self, id: &str, reply: StoreReply) {
        match reply {
            StoreReply::Committed(_) => self.store_next_chunks(id),
            // Nothing counts yet: the submission comes again, with another name for its parts.
            reply => self.on_job_created(id, reply),
        }
    }

    /// Reads the parts of a record's specification.
    pub(crate) fn read_spec_chunks(&mut self, token: Option<u64>, record: JobRecord, version: u64) {
        let Some(prefix) = record.spec_chunks.as_ref().map(|p| p.prefix(&record.spec.id)) else { return };
        let purpose =
            CallContext::SpecChunks { token, record: Box::new(record), version, pieces: Vec::new() };
        self.call_store(purpose, StoreRequest::List { prefix, after: None });
    }

    pub(crate) fn on_spec_chunks(
        &mut self,
        token: Option<u64>,
        mut record: Box<JobRecord>,
        version: u64,
        mut pieces: Vec<String>,
        reply: StoreReply,
    ) {
        let page = match reply {
            StoreReply::Page(page) => page,
            _ => return self.on_spec_chunks_failed(token, record, version),
        };
        let last = page.items.last().map(|i| i.key.clone());
        pieces.extend(page.items.into_iter().filter_map(|i| match i.value {
            Value::SpecChunk(text) => Some(text),
            _ => None,
        }));
        if let (true, Some(after)) = (page.more, last) {
            let Some(prefix) = record.spec_chunks.as_ref().map(|p| p.prefix(&record.spec.id)) else { return };
            let purpose = CallContext::SpecChunks { token, record, version, pieces };
            self.call_store(purpose, StoreRequest::List { prefix, after: Some(after) });
            return;
        }
        if !record.join_spec(&pieces) {
            return self.on_spec_chunks_failed(token, record, version);
        }
        match token {
            Some(token) if self.leader_state(token).is_some() => {
                let key = job_key(&record.spec.id);
                self.observe_record(&key, Value::Job(record), version);
            }
            Some(_) => {}
            None => self.answer_from_joined_record(&record, version),
        }
    }

    /// They are there, since the record is, but cannot be read now.
    fn on_spec_chunks_failed(&mut self, token: Option<u64>, record: Box<JobRecord>, version: u64) {
        match token {
            // The leader cannot go on without: the watch would not show it again.
            Some(token) if self.leader_state(token).is_some() => {
                self.spec_chunk_retries.push((self.now, record, version))
            }
            Some(_) => {}
            None => self.on_job_read_failed(&record.spec.id),
        }
    }

    /// Parts that could not be read are asked for again.
    pub(crate) fn tick_spec_chunks(&mut self) {
        let (now, retry) = (self.now, self.timing.renewal_interval_s / 2.0);
        let Some(token) = self.token() else { return self.spec_chunk_retries.clear() };
        let again = std::mem::take(&mut self.spec_chunk_retries);
        let (due, later) = again.into_iter().partition(|(at, ..)| now - at >= retry);
        self.spec_chunk_retries = later;
        for (_, record, version) in due {
            self.read_spec_chunks(Some(token), *record, version);
        }
    }
}
