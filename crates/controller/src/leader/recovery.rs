//! Progress of reading the stored records after an election.

use crate::messages::Time;
use crate::model::records::IMAGES_PREFIX;
use crate::storage::spec_chunks::ChunkReader;
use std::collections::BTreeMap;

/// How far a new leader has read the stored records: prefix by prefix, page by page.
pub struct Recovery {
    /// All records are read.
    pub finished: bool,
    /// A page has been asked for and not answered yet.
    pub read_in_flight: bool,
    /// The prefix that is being read.
    pub prefix: &'static str,
    /// The last key of the prefix that was read.
    pub cursor: Option<String>,
    /// No page is asked for before then.
    pub retry_at: Time,
    /// The revision of the first page, from which the watch starts.
    pub revision: Option<u64>,
    /// Chunks of specifications that were read before the records that name them.
    pub spec_chunks: ChunkReader,
    /// Keys of pages whose jobs are not among the live ones, by job.
    pub orphaned_pages: BTreeMap<String, Vec<String>>,
}

impl Recovery {
    /// Nothing is read yet.
    pub fn new(now: Time) -> Self {
        Recovery {
            finished: false,
            read_in_flight: false,
            prefix: IMAGES_PREFIX,
            cursor: None,
            retry_at: now,
            revision: None,
            spec_chunks: ChunkReader::default(),
            orphaned_pages: BTreeMap::new(),
        }
    }
}
