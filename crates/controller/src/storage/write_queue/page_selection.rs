//! Selection of the pages of a job for a transaction.

use crate::model::job::Job;
use crate::storage::store_limits::TARGET_TRANSACTION_BYTES;
use std::collections::BTreeSet;

/// JSON bytes of a page's mutation and condition, besides its value.
const MUTATION_OVERHEAD_BYTES: usize = 200;

/// Pages of a job that go into a transaction.
#[derive(Debug, PartialEq)]
pub struct PageSelection {
    /// Page numbers, at least one; 0 stands for the main record.
    pub pages: BTreeSet<usize>,
    /// Bytes that the pages add to the transaction.
    pub size_bytes: usize,
}

/// Returns the pages of `job` for a transaction that has `transaction_bytes` so far and room for
/// `max_mutations`; None if nothing is due or nothing fits. `all_pages` includes pages that could wait.
///
/// The main record is part of every write; other pages are added while the transaction and the rate
/// have room. If all pages of a huge job went into one transaction, the store would refuse it as too
/// large every time, and so block the writes of all jobs. While the layout changes, the main record
/// is written last: after all other pages are stored, or together with the last of them.
pub fn select_pages(
    job: &Job,
    all_pages: bool,
    max_mutations: usize,
    transaction_bytes: usize,
) -> Option<PageSelection> {
    let is_changing_layout = job.page_layout.is_changing();
    let due = job.persistence.pages_due(all_pages || is_changing_layout);
    if due.is_empty() && !job.persistence.is_page_dirty(0) {
        return None;
    }
    let mark_mutations = usize::from(job.cancellation_mark.version.is_some());
    let with_record = !is_changing_layout || due.len() + 1 + mark_mutations <= max_mutations;
    let fits = |added: usize| transaction_bytes + added <= TARGET_TRANSACTION_BYTES;
    let mut pages = BTreeSet::new();
    let mut size_bytes = 0;
    if with_record {
        let record_bytes = mutation_bytes(job, 0);
        // A record that exceeds the size by itself is sent alone, and the store decides.
        if transaction_bytes > 0 && !fits(record_bytes) || mark_mutations >= max_mutations {
            return None;
        }
        pages.insert(0);
        size_bytes = record_bytes;
    }
    for page in due {
        let with_page = size_bytes + mutation_bytes(job, page);
        if pages.len() + mark_mutations >= max_mutations || !fits(with_page) {
            break;
        }
        pages.insert(page);
        size_bytes = with_page;
    }
    if is_changing_layout && with_record && !job.persistence.is_covered_by(&pages) {
        pages.remove(&0);
    }
    (!pages.is_empty()).then_some(PageSelection { pages, size_bytes })
}

fn mutation_bytes(job: &Job, page: usize) -> usize {
    job.page_bytes(page) + MUTATION_OVERHEAD_BYTES
}
