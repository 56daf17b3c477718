//! Which pages of a job go into a transaction.

use crate::model::job::Job;
use crate::storage::store_limits::TARGET_TRANSACTION_BYTES;
use std::collections::BTreeSet;

/// Bytes in JSON of a page's mutation and condition, beside its value.
const MUTATION_OVERHEAD_BYTES: usize = 200;

/// The pages of a job that a transaction takes.
#[derive(Debug, PartialEq)]
pub struct PageSelection {
    /// The pages, of which there is at least one; 0 stands for the main record.
    pub pages: BTreeSet<usize>,
    /// Bytes that they add to the transaction.
    pub size_bytes: usize,
}

/// The pages of `job` that go into a transaction that has `transaction_bytes` so far and room for
/// `max_mutations`. None: nothing is due, or nothing fits. `all`: also pages that could wait.
///
/// The main record goes with every write, and other pages as far as the transaction and the rate
/// have room. (A huge array's pages were once all put into one that the store had to refuse as
/// too large, again and again, and everybody's writes with it.) Of a new layout the record
/// comes last: once all others are stored, or together with them.
pub fn select_pages(
    job: &Job,
    all: bool,
    max_mutations: usize,
    transaction_bytes: usize,
) -> Option<PageSelection> {
    let is_changing_layout = job.page_layout.is_changing();
    let due = job.persistence.pages_due(all || is_changing_layout);
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
        // A record that is too large by itself is sent alone, for the store to judge.
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
