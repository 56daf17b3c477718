//! Large texts in chunks: job specifications and the catalogue of machine types that do not fit one
//! value.

use super::keys::{catalogue_key, SPEC_CHUNK_PREFIX};
use super::page_size::tasks_per_page;
use super::{json_size, JobRecord, Value};
use protocol::cloud::MachineType;
use protocol::job::JobSpec;
use serde::{Deserialize, Serialize};

/// Bytes of a chunk's value in JSON beside its text.
const CHUNK_OVERHEAD_BYTES: usize = 60;
/// Fewest bytes of text in a chunk, whatever the limit of a value.
const MIN_CHUNK_BYTES: usize = 16;
/// Bytes in JSON that the reference to its chunks adds to a job's record.
pub const SPEC_CHUNKS_FIELD_BYTES: usize = 80;

/// The JSON text of `value` in chunks that each fit a value of `max_value_bytes`.
fn split_into_chunks<T: Serialize>(value: &T, max_value_bytes: usize) -> Vec<String> {
    let text = serde_json::to_string(value).unwrap_or_default();
    // A quote takes two bytes, so a chunk's text may double when it is stored.
    let max_chunk_bytes = (max_value_bytes.saturating_sub(CHUNK_OVERHEAD_BYTES) / 2).max(MIN_CHUNK_BYTES);
    let mut chunks: Vec<String> = vec![String::new()];
    for c in text.chars() {
        match chunks.last_mut() {
            Some(chunk) if chunk.len() + c.len_utf8() <= max_chunk_bytes => chunk.push(c),
            _ => chunks.push(c.into()),
        }
    }
    chunks
}

/// The catalogue of machine types in chunks, with their keys. Read by nodes that find no
/// `TYPES_KEY`.
pub fn catalogue_chunks(types: &[MachineType], max_value_bytes: usize) -> Vec<(String, Value)> {
    let chunks = split_into_chunks(&types, max_value_bytes).into_iter().enumerate();
    chunks.map(|(number, text)| (catalogue_key(number), Value::SpecChunk(text))).collect()
}

/// The catalogue that `chunks` make; None if they are not all of one text.
pub fn parse_catalogue(chunks: &[String]) -> Option<Vec<MachineType>> {
    serde_json::from_str(&chunks.concat()).ok()
}

/// Where the chunks of a job's specification are stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpecChunks {
    /// A name that no other submission has used.
    pub nonce: String,
    /// Number of chunks.
    pub count: u32,
}

impl SpecChunks {
    /// The prefix of the chunks' keys, which sort in the order of the text.
    pub fn prefix(&self, id: &str) -> String {
        format!("{SPEC_CHUNK_PREFIX}{id}/{}/", self.nonce)
    }

    /// The chunks' keys, in the order of the text.
    pub fn keys(&self, id: &str) -> Vec<String> {
        (0..self.count).map(|number| format!("{}{number:05}", self.prefix(id))).collect()
    }

    /// The job id and nonce in a chunk's key.
    pub fn of_key(key: &str) -> Option<(&str, &str)> {
        let (id_and_nonce, _) = key.strip_prefix(SPEC_CHUNK_PREFIX)?.rsplit_once('/')?;
        id_and_nonce.split_once('/')
    }
}

/// A specification without the fields that may be long.
pub fn spec_stub(spec: &JobSpec) -> JobSpec {
    JobSpec {
        class: String::new(),
        team: String::new(),
        image: String::new(),
        machine_types: None,
        zone: None,
        dependencies: Vec::new(),
        ..spec.clone()
    }
}

impl JobRecord {
    /// Splits the specification off a record that would not fit a value of `max_value_bytes`.
    /// Returns the record, which refers to the chunks, and the chunks with their keys. Chunks
    /// count only once the record that refers to them is stored.
    pub fn split_spec(self, nonce: String, max_value_bytes: usize) -> (Self, Vec<(String, Value)>) {
        let texts = split_into_chunks(&self.spec, max_value_bytes);
        let chunks = SpecChunks { nonce, count: texts.len() as u32 };
        let keys = chunks.keys(&self.spec.id);
        let values = keys.into_iter().zip(texts.into_iter().map(Value::SpecChunk)).collect();
        let spec = spec_stub(&self.spec);
        let per_page = tasks_per_page(max_value_bytes, json_size(&spec) + SPEC_CHUNKS_FIELD_BYTES);
        (JobRecord { spec, per_page, spec_chunks: Some(chunks), ..self }, values)
    }

    /// Restores a specification that was split off. False if `texts` are not its chunks.
    pub fn join_spec(&mut self, texts: &[String]) -> bool {
        let Some(chunks) = &self.spec_chunks else { return true };
        if texts.len() != chunks.count as usize {
            return false;
        }
        match serde_json::from_str::<JobSpec>(&texts.concat()) {
            Ok(spec) if spec.id == self.spec.id => {
                self.spec = spec;
                true
            }
            _ => false,
        }
    }
}
