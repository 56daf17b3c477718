//! Chunked storage of job specifications that are too large for the job's record. The chunks are
//! written before the record that refers to them.

use crate::model::records::{job_key, json_size, terminal_job_key, JobRecord, SpecChunks, Value};
use crate::storage::store_limits::TARGET_TRANSACTION_BYTES;
use crate::{CallContext, Controller, StoreReply, StoreRequest, Time};
use protocol::state::{Compare, Mutation, Transaction};
use std::collections::BTreeMap;

/// JSON bytes of a chunk's mutation, besides its key and value.
const PUT_OVERHEAD_BYTES: usize = 40;
/// Number of retries of a failed read per lease renewal interval.
const RETRIES_PER_RENEWAL_INTERVAL: f64 = 2.0;

/// Submission that chunks belong to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Submission {
    job_id: String,
    nonce: String,
}

/// Chunk as read from the store.
struct Chunk {
    key: String,
    text: String,
}

/// Chunks read by a new leader before the records that refer to them.
#[derive(Default)]
pub struct ChunkReader {
    chunks: BTreeMap<Submission, Vec<Chunk>>,
}

impl ChunkReader {
    /// Adds a listed chunk. Chunks must be added in the order of their keys.
    pub fn add(&mut self, key: &str, text: String) {
        let Some((job_id, nonce)) = SpecChunks::parse_key(key) else { return };
        let submission = Submission { job_id: job_id.to_string(), nonce: nonce.to_string() };
        self.chunks.entry(submission).or_default().push(Chunk { key: key.to_string(), text });
    }

    /// Restores the specification of a record. Returns false if chunks are missing.
    pub fn complete(&mut self, record: &mut JobRecord) -> bool {
        let Some(spec_chunks) = &record.spec_chunks else { return true };
        let submission = Submission { job_id: record.spec.id.clone(), nonce: spec_chunks.nonce.clone() };
        let chunks = self.chunks.remove(&submission).unwrap_or_default();
        let texts: Vec<String> = chunks.into_iter().map(|chunk| chunk.text).collect();
        record.join_spec(&texts)
    }

    /// Returns the keys of chunks that no record refers to and whose submission began before time of
    /// day `wall_s`, and so was abandoned. The record of a later one may still be written.
    pub fn abandoned_keys(self, wall_s: Time) -> Vec<String> {
        let is_abandoned = |submission: &Submission| {
            submission_wall_s(&submission.nonce).is_some_and(|began_wall_s| began_wall_s < wall_s)
        };
        self.chunks
            .into_iter()
            .filter(|(submission, _)| is_abandoned(submission))
            .flat_map(|(_, chunks)| chunks.into_iter().map(|chunk| chunk.key))
            .collect()
    }
}

/// Creates the nonce of a submission's chunks from its time of day in seconds and a random number.
pub fn new_nonce(wall_s: Time, random: u32) -> String {
    format!("{:x}-{random:x}", wall_s.max(0.0) as u64)
}

/// Returns the time of day in a nonce, in seconds.
fn submission_wall_s(nonce: &str) -> Option<Time> {
    let (wall_s, _) = nonce.split_once('-')?;
    u64::from_str_radix(wall_s, 16).ok().map(|wall_s| wall_s as Time)
}

/// Returns the conditions that neither a live nor a terminal job with this id exists.
pub fn new_job_conditions(id: &str) -> Vec<Compare> {
    [job_key(id), terminal_job_key(id)].map(|key| Compare { key, version: 0 }).into()
}

/// Record whose chunks could not be read and must be read again.
pub struct SpecChunkRetry {
    failed_at: Time,
    record: Box<JobRecord>,
    version: u64,
}

/// Chunks that go into one transaction.
pub struct ChunkMutations {
    /// Puts of the chunks.
    pub mutations: Vec<Mutation<Value>>,
    /// Bytes that they add to the transaction.
    pub size_bytes: usize,
}

/// Removes from the end of `pending` the chunks that fit into `max_mutations` and `bytes_left`. If an
/// empty transaction has room for none, it gets one, and the store decides.
pub fn take_chunks(
    pending: &mut Vec<(String, Value)>,
    max_mutations: usize,
    bytes_left: usize,
) -> ChunkMutations {
    let is_empty_transaction = bytes_left >= TARGET_TRANSACTION_BYTES;
    let mut size_bytes = 0;
    let mut mutations = Vec::new();
    while let Some((key, value)) = pending.pop() {
        let size = json_size(&value) + key.len() + PUT_OVERHEAD_BYTES;
        let fits = size_bytes + size <= bytes_left || is_empty_transaction && mutations.is_empty();
        if mutations.len() >= max_mutations || !fits {
            pending.push((key, value));
            break;
        }
        size_bytes += size;
        mutations.push(Mutation::Put { key, value, lease: None });
    }
    ChunkMutations { mutations, size_bytes }
}

impl Controller {
    /// Stores the next chunks of a submission, or its record once all chunks are stored.
    pub(crate) fn store_next_chunks(&mut self, id: &str) {
        let max_mutations = self.store_limits.mutations();
        let pending = self.client_requests.pending_chunks(id);
        let ChunkMutations { mutations, .. } = take_chunks(pending, max_mutations, TARGET_TRANSACTION_BYTES);
        if mutations.is_empty() {
            return self.store_job_record(id);
        }
        self.client_writes.try_acquire(self.now, mutations.len() as f64);
        // Without these conditions, a repeated submission of a known job would leave chunks that no
        // record refers to.
        let txn = Transaction { compares: new_job_conditions(id), mutations };
        self.commit_hedged(CallContext::CreateChunks { id: id.to_string() }, txn);
    }

    /// Handles the reply to a write of chunks.
    pub(crate) fn on_chunks_stored(&mut self, id: &str, reply: StoreReply) {
        match reply {
            StoreReply::Committed(_) => self.store_next_chunks(id),
            // No record refers to the chunks yet: the submission is retried with another nonce.
            reply => self.on_job_created(id, reply),
        }
    }

    /// Reads the chunks of a record's specification, for the leader if there is a `token` and for a
    /// status query otherwise.
    pub(crate) fn read_spec_chunks(&mut self, token: Option<u64>, record: JobRecord, version: u64) {
        let record = Box::new(record);
        self.list_spec_chunks(token, record, version, Vec::new(), None);
    }

    /// Lists the chunks after key `after`; `pieces` are the texts of the preceding chunks.
    fn list_spec_chunks(
        &mut self,
        token: Option<u64>,
        record: Box<JobRecord>,
        version: u64,
        pieces: Vec<String>,
        after: Option<String>,
    ) {
        let Some(chunks) = &record.spec_chunks else { return };
        let prefix = chunks.prefix(&record.spec.id);
        let context = CallContext::SpecChunks { token, record, version, pieces };
        self.call_store(context, StoreRequest::List { prefix, after });
    }

    /// Handles the reply to a listing of chunks.
    pub(crate) fn on_spec_chunks(
        &mut self,
        token: Option<u64>,
        mut record: Box<JobRecord>,
        version: u64,
        mut pieces: Vec<String>,
        reply: StoreReply,
    ) {
        let StoreReply::Page(page) = reply else {
            return self.on_spec_chunks_failed(token, record, version);
        };
        let last_key = page.items.last().map(|item| item.key.clone());
        pieces.extend(page.items.into_iter().filter_map(|item| match item.value {
            Value::SpecChunk(text) => Some(text),
            _ => None,
        }));
        if page.more && last_key.is_some() {
            return self.list_spec_chunks(token, record, version, pieces, last_key);
        }
        if !record.join_spec(&pieces) {
            return self.on_spec_chunks_failed(token, record, version);
        }
        self.on_record_complete(token, record, version);
    }

    fn on_record_complete(&mut self, token: Option<u64>, record: Box<JobRecord>, version: u64) {
        let Some(token) = token else {
            return self.answer_from_joined_record(&record, version);
        };
        if self.leader_state(token).is_some() {
            let key = job_key(&record.spec.id);
            self.observe_record(&key, Value::Job(record), version);
        }
    }

    /// Handles a failed read of chunks, which exist, since the record does.
    fn on_spec_chunks_failed(&mut self, token: Option<u64>, record: Box<JobRecord>, version: u64) {
        let Some(token) = token else {
            return self.on_job_read_failed(&record.spec.id);
        };
        // The leader needs the job, and the watch will not show it again.
        if self.leader_state(token).is_some() {
            self.spec_chunk_retries.push(SpecChunkRetry { failed_at: self.now, record, version });
        }
    }

    /// Retries failed reads of chunks.
    pub(crate) fn tick_spec_chunks(&mut self) {
        let now = self.now;
        let retry_s = self.timing.renewal_interval_s / RETRIES_PER_RENEWAL_INTERVAL;
        let Some(token) = self.token() else { return self.spec_chunk_retries.clear() };
        let retries = std::mem::take(&mut self.spec_chunk_retries);
        let (due, later) = retries.into_iter().partition(|retry| now - retry.failed_at >= retry_s);
        self.spec_chunk_retries = later;
        for SpecChunkRetry { record, version, .. } in due {
            self.read_spec_chunks(Some(token), *record, version);
        }
    }
}
