//! Whether a job is cancelled because one of its dependencies is: decided from the records of both.
//!
//! No task of such a job has ever started, since its dependency was never done. So its
//! cancellation follows from that of the dependency, wherever that is stored, and needs no write
//! of its own. A node answers right however many dependents a cancelled job has, and whether or
//! not there is a leader.

use crate::client_api::status_queries::{Requester, StatusQuery};
use crate::{Controller, Time};
use protocol::job::JobStatus;
use std::collections::{BTreeSet, HashSet};

/// Seconds after which a parked query fails; clients wait for two seconds.
const MAX_PARKED_S: Time = 4.0;

/// Jobs that were found not to be cancelled with a dependency. Valid for one round of answers.
pub(crate) type ClearedJobs = HashSet<String>;

/// Status queries that wait until more is known of the dependencies.
#[derive(Default)]
pub struct CancellationLineage {
    /// Queries in the order in which they were parked.
    parked_queries: Vec<StatusQuery>,
    /// Jobs that are being looked up for parked queries.
    lookups: BTreeSet<String>,
    /// A lookup has finished since the parked queries were last tried.
    lookup_finished: bool,
}

impl CancellationLineage {
    /// The lookup of job `id` for parked queries was answered, or has failed.
    pub fn on_lookup_done(&mut self, id: &str) {
        self.lookup_finished |= self.lookups.remove(id);
    }

    /// Takes out the queries that have been parked for too long.
    fn take_expired(&mut self, now: Time) -> Vec<StatusQuery> {
        let is_expired = |query: &StatusQuery| now - query.asked_at > MAX_PARKED_S;
        if !self.parked_queries.iter().any(is_expired) {
            return Vec::new();
        }
        let (expired, parked) = std::mem::take(&mut self.parked_queries).into_iter().partition(is_expired);
        self.parked_queries = parked;
        expired
    }
}

/// What is known of the dependencies of a job, direct and indirect.
enum LineageVerdict {
    /// None of them is cancelled.
    Clear,
    /// One of them is cancelled.
    Cancelled,
    /// Nothing is known of these.
    Unknown(Vec<String>),
}

/// Whether a query can be answered.
pub(crate) enum LineageCheck {
    /// It can.
    Decided {
        /// The query.
        query: StatusQuery,
        /// Whether the job is cancelled with a dependency.
        cancelled: bool,
    },
    /// It waits until the dependencies are looked up.
    Parked,
}

impl Controller {
    /// Walks the dependencies of job `id` that are not done, except those in `cleared`.
    fn lineage(&self, id: &str, cleared: &mut ClearedJobs) -> LineageVerdict {
        let mut visited: BTreeSet<&str> = BTreeSet::new();
        let mut to_visit = vec![id];
        let mut unknown = Vec::new();
        while let Some(next) = to_visit.pop() {
            if cleared.contains(next) || !visited.insert(next) {
                continue;
            }
            match (self.terminal_states.get(next), self.status_queries.cached_job(next)) {
                (Some((JobStatus::Cancelled, _)), _) => return LineageVerdict::Cancelled,
                (Some(_), _) => {}
                // All of its dependencies are done, so none of them can be cancelled.
                (None, Some(job)) if !job.waits_for_dependencies() => {}
                (None, Some(job)) if job.external_spec.is_some() => unknown.push(next.to_string()),
                (None, Some(job)) => to_visit.extend(job.dependencies.iter().map(String::as_str)),
                (None, None) => unknown.push(next.to_string()),
            }
        }
        if !unknown.is_empty() {
            return LineageVerdict::Unknown(unknown);
        }
        cleared.extend(visited.into_iter().map(String::from));
        LineageVerdict::Clear
    }

    /// Whether the job of a query is cancelled with a dependency. If that is not known, the
    /// dependencies are looked up, and the query is parked until then.
    pub(crate) fn check_lineage(&mut self, query: StatusQuery, cleared: &mut ClearedJobs) -> LineageCheck {
        if !self.checks.cancellation_lineage {
            return LineageCheck::Decided { query, cancelled: false };
        }
        match self.lineage(&query.id, cleared) {
            LineageVerdict::Clear => LineageCheck::Decided { query, cancelled: false },
            LineageVerdict::Cancelled => {
                // The dependency's cancellation is stored, so this one is as final.
                self.terminal_states.insert(&query.id, JobStatus::Cancelled, 0);
                LineageCheck::Decided { query, cancelled: true }
            }
            LineageVerdict::Unknown(ids) => {
                self.status_queries.lineage.parked_queries.push(query);
                self.look_up_lineage(ids);
                LineageCheck::Parked
            }
        }
    }

    /// Looks up jobs that are not being looked up yet.
    fn look_up_lineage(&mut self, ids: Vec<String>) {
        for id in ids {
            if self.status_queries.lineage.lookups.insert(id.clone()) {
                let lookup = StatusQuery { requester: Requester::Lineage, id, asked_at: self.now };
                self.status_queries.enqueue_uncached(lookup);
            }
        }
    }

    /// Tries the parked queries again if a lookup has finished.
    pub(crate) fn retry_parked_queries(&mut self) {
        let lineage = &mut self.status_queries.lineage;
        if !std::mem::take(&mut lineage.lookup_finished) {
            return;
        }
        let mut cleared = ClearedJobs::new();
        for query in std::mem::take(&mut lineage.parked_queries) {
            if let Some(unanswered) = self.try_answer(query, &mut cleared) {
                self.status_queries.enqueue_uncached(unanswered);
            }
        }
    }

    /// Fails the queries that have been parked for too long.
    pub(crate) fn expire_parked_queries(&mut self) {
        let expired = self.status_queries.lineage.take_expired(self.now);
        self.fail_queries(expired, "jobs before it are being looked up");
    }
}
