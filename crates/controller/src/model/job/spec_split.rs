//! Moves the specification of a job out of its stored record, into chunks, when the record has no room
//! for it. Records that an earlier version stored, or that were stored before all nodes could read
//! chunks, can exceed the next limits.

use super::Job;
use crate::model::records::{JobValueSizes, Value};

impl Job {
    /// Splits the specification into chunks named by `nonce`, which have to be stored before the
    /// record.
    pub(super) fn split_spec(&mut self, nonce: String) {
        if self.spec_chunks.is_some() {
            return;
        }
        let (record, mut chunks) = self.record().split_spec(nonce, self.page_layout.next_value_bytes());
        chunks.reverse();
        self.spec_chunks = record.spec_chunks;
        self.value_sizes = JobValueSizes::with_chunked_spec(&self.spec);
        self.unstored_spec_chunks = chunks;
    }

    /// Returns the chunks of the specification that must be stored before the record, in reverse
    /// order: key and value.
    pub fn unstored_spec_chunks(&self) -> &[(String, Value)] {
        &self.unstored_spec_chunks
    }

    /// Records that the chunks with these keys are stored.
    pub fn on_spec_chunks_stored(&mut self, keys: &[String]) {
        self.unstored_spec_chunks.retain(|(key, _)| !keys.contains(key));
    }
}
