//! Chunked storage of large texts: job specifications and machine type catalogues that do not fit one
//! value.

use super::json_size::json_char_bytes;
use super::keys::{catalogue_key, SPEC_CHUNK_PREFIX};
use super::value_fit::JobValueSizes;
use super::{JobRecord, Value};
use protocol::cloud::MachineType;
use protocol::job::JobSpec;
use serde::{Deserialize, Serialize};

/// JSON bytes of a chunk's value besides its text.
const CHUNK_OVERHEAD_BYTES: usize = 60;
/// Minimum size of a chunk's text in bytes, regardless of the limit of a value.
const MIN_CHUNK_BYTES: usize = 16;
/// JSON bytes that the reference to the specification's chunks adds to a job's record.
pub const SPEC_CHUNKS_FIELD_BYTES: usize = 80;

/// Splits the JSON text of `value` into chunks that each fit a value of `max_value_bytes`.
fn split_into_chunks<T: Serialize>(value: &T, max_value_bytes: usize) -> Vec<String> {
    let text = serde_json::to_string(value).unwrap_or_default();
    // An escaped quote takes two bytes, so a chunk's text may double in size when it is stored.
    let max_chunk_bytes = (max_value_bytes.saturating_sub(CHUNK_OVERHEAD_BYTES) / 2).max(MIN_CHUNK_BYTES);
    let mut chunks: Vec<String> = vec![String::new()];
    let mut chunk_bytes = 0;
    for character in text.chars() {
        let bytes = json_char_bytes(character).div_ceil(2).max(character.len_utf8());
        match chunks.last_mut() {
            Some(chunk) if chunk_bytes + bytes <= max_chunk_bytes => {
                chunk.push(character);
                chunk_bytes += bytes;
            }
            _ => {
                chunks.push(character.into());
                chunk_bytes = bytes;
            }
        }
    }
    chunks
}

/// Returns the machine type catalogue in chunks, with their keys. Nodes read the chunks if they do
/// not find `TYPES_KEY`.
pub fn catalogue_chunks(types: &[MachineType], max_value_bytes: usize) -> Vec<(String, Value)> {
    let chunks = split_into_chunks(&types, max_value_bytes).into_iter().enumerate();
    chunks.map(|(number, text)| (catalogue_key(number), Value::SpecChunk(text))).collect()
}

/// Returns the catalogue that `chunks` make up; None if they are not all the chunks of one text.
pub fn parse_catalogue(chunks: &[String]) -> Option<Vec<MachineType>> {
    serde_json::from_str(&chunks.concat()).ok()
}

/// Reference to the stored chunks of a job's specification.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpecChunks {
    /// Name that no other submission has used.
    pub nonce: String,
    /// Number of chunks.
    pub count: u32,
}

impl SpecChunks {
    /// Returns the prefix of the chunks' keys, which sort in the order of the text.
    pub fn prefix(&self, id: &str) -> String {
        format!("{SPEC_CHUNK_PREFIX}{id}/{}/", self.nonce)
    }

    /// Returns the chunks' keys, in the order of the text.
    pub fn keys(&self, id: &str) -> Vec<String> {
        (0..self.count).map(|number| format!("{}{number:05}", self.prefix(id))).collect()
    }

    /// Returns the job id and nonce in a chunk's key.
    pub fn parse_key(key: &str) -> Option<(&str, &str)> {
        let (id_and_nonce, _) = key.strip_prefix(SPEC_CHUNK_PREFIX)?.rsplit_once('/')?;
        id_and_nonce.split_once('/')
    }
}

/// Returns a specification without the fields that may be long.
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
    /// Splits off the specification of a record that would not fit a value of `max_value_bytes`.
    /// Returns the record, which refers to the chunks, and the chunks with their keys. Chunks are
    /// valid only once the record that refers to them is stored.
    pub fn split_spec(self, nonce: String, max_value_bytes: usize) -> (Self, Vec<(String, Value)>) {
        let texts = split_into_chunks(&self.spec, max_value_bytes);
        let chunks = SpecChunks { nonce, count: texts.len() as u32 };
        let keys = chunks.keys(&self.spec.id);
        let values = keys.into_iter().zip(texts.into_iter().map(Value::SpecChunk)).collect();
        let spec = spec_stub(&self.spec);
        let per_page = JobValueSizes::with_chunked_spec(&spec).tasks_per_page(max_value_bytes);
        (JobRecord { spec, per_page, spec_chunks: Some(chunks), ..self }, values)
    }

    /// Restores a specification that was split off. Returns false if `texts` are not its chunks.
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
