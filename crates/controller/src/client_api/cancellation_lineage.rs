//! Whether a job is cancelled with one before it, told from the records of both.
//!
//! No task of such a job has ever started, since what it waits for was never done: that it is
//! cancelled follows from the first cancellation alone, wherever that is stored, and needs no
//! write of its own. So a node answers right however many jobs come after the
//! cancelled one, and whoever leads, or nobody.

use crate::client_api::status_queries::{Requester, StatusQuery};
use crate::{Controller, Time};
use protocol::job::JobStatus;
use std::collections::{BTreeSet, HashSet};

/// Questions that wait until more is known of the jobs before.
#[derive(Default)]
pub struct CancellationLineage {
    parked_queries: Vec<StatusQuery>,
    /// Jobs that are being asked for on their behalf.
    lookups: BTreeSet<String>,
    /// Something was learned since they were last looked at.
    has_news: bool,
}

impl CancellationLineage {
    /// The question after `id` on behalf of others has its answer, or gets none now.
    pub fn on_lookup_done(&mut self, id: &str) {
        self.has_news |= self.lookups.remove(id);
    }
}

/// Those that wait longer are told to ask again: users wait for two seconds.
const PATIENCE_S: Time = 4.0;

/// What the records of the jobs before one say of it.
enum LineageVerdict {
    /// None of them is cancelled.
    Clear,
    Cancelled,
    /// Nothing is known of these.
    Unknown(Vec<String>),
}

impl Controller {
    /// Looks at all jobs before `id` that are not done; what was found clear before is
    /// passed over.
    fn lineage(&self, id: &str, clear: &mut HashSet<String>) -> LineageVerdict {
        let mut seen: BTreeSet<&str> = BTreeSet::new();
        let (mut left, mut unknown) = (vec![id], Vec::new());
        while let Some(next) = left.pop() {
            if clear.contains(next) || !seen.insert(next) {
                continue;
            }
            match (self.terminal_states.get(next), self.status_queries.cached_jobs.get(next)) {
                (Some((JobStatus::Cancelled, _)), _) => return LineageVerdict::Cancelled,
                (Some(_), _) => {}
                // Once it has waited for all of its own, none of them can be cancelled.
                (None, Some(row)) if !row.waits_for_dependencies() => {}
                (None, Some(row)) if row.external_spec.is_some() => unknown.push(next.to_string()),
                (None, Some(row)) => left.extend(row.dependencies.iter().map(String::as_str)),
                (None, None) => unknown.push(next.to_string()),
            }
        }
        if unknown.is_empty() {
            clear.extend(seen.into_iter().map(String::from));
            return LineageVerdict::Clear;
        }
        LineageVerdict::Unknown(unknown)
    }

    /// Whether the job that `a` asks for is cancelled with one before it; None: that is
    /// looked up first, and the question answered then.
    pub(crate) fn check_lineage(
        &mut self,
        query: StatusQuery,
        clear: &mut HashSet<String>,
    ) -> Option<(StatusQuery, bool)> {
        if !self.checks.cancellation_lineage {
            return Some((query, false));
        }
        match self.lineage(&query.id, clear) {
            LineageVerdict::Clear => Some((query, false)),
            LineageVerdict::Cancelled => {
                // The cause is stored, and so this is as final as if it were.
                self.terminal_states.insert(&query.id, JobStatus::Cancelled, 0);
                Some((query, true))
            }
            LineageVerdict::Unknown(ids) => {
                self.status_queries.lineage.parked_queries.push(query);
                for id in ids {
                    if self.status_queries.lineage.lookups.insert(id.clone()) {
                        self.status_queries.enqueue(StatusQuery {
                            requester: Requester::Lineage,
                            id,
                            asked_at: self.now,
                        });
                    }
                }
                None
            }
        }
    }

    /// Looks again at what waits, once more is known.
    pub(crate) fn retry_parked_queries(&mut self) {
        if !std::mem::take(&mut self.status_queries.lineage.has_news) {
            return;
        }
        let mut clear = HashSet::new();
        for a in std::mem::take(&mut self.status_queries.lineage.parked_queries) {
            if let Some(a) = self.try_answer(a, &mut clear) {
                self.status_queries.enqueue(a);
            }
        }
    }

    /// Questions that have waited for too long are given back.
    pub(crate) fn expire_parked_queries(&mut self) {
        let now = self.now;
        let kin = &mut self.status_queries.lineage;
        if kin.parked_queries.iter().all(|a| now - a.asked_at <= PATIENCE_S) {
            return;
        }
        let (late, parked) =
            std::mem::take(&mut kin.parked_queries).into_iter().partition(|a| now - a.asked_at > PATIENCE_S);
        kin.parked_queries = parked;
        self.fail_queries(late, "jobs before it are being looked up");
    }
}
