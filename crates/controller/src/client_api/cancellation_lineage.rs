//! Cancellations that a job inherits: a job is cancelled if one of its dependencies is.
//!
//! The status is derived from the records of the job and of its dependencies. No task of such a job
//! has ever started, because its dependency was never done, so the stored cancellation of the
//! dependency is sufficient and the job needs no write of its own. A node therefore answers
//! correctly no matter how many dependents a cancelled job has, and whether or not there is a
//! leader.

use crate::client_api::status_queries::{Requester, StatusQuery};
use crate::{Controller, Time};
use protocol::job::JobStatus;
use std::collections::{BTreeSet, HashSet};

/// Seconds after which a parked query fails. Clients wait for two seconds.
const MAX_PARKED_S: Time = 4.0;

/// Jobs known not to be cancelled with a dependency. Valid only while one batch of queries is
/// answered.
pub(crate) type UncancelledJobs = HashSet<String>;

/// Status queries that wait for lookups of the job's dependencies.
#[derive(Default)]
pub struct ParkedQueries {
    /// Queries in the order in which they were parked.
    queries: Vec<StatusQuery>,
    /// Ids of the jobs that are being looked up for parked queries.
    lookups: BTreeSet<String>,
    /// Whether a lookup has finished since the parked queries were last retried.
    lookup_finished: bool,
}

impl ParkedQueries {
    /// Handles the end of the lookup of job `id`, successful or not.
    pub fn on_lookup_done(&mut self, id: &str) {
        self.lookup_finished |= self.lookups.remove(id);
    }

    /// Removes and returns the queries that have been parked for too long.
    fn take_expired(&mut self, now: Time) -> Vec<StatusQuery> {
        let is_expired = |query: &StatusQuery| now - query.asked_at > MAX_PARKED_S;
        if !self.queries.iter().any(is_expired) {
            return Vec::new();
        }
        let (expired, remaining) = std::mem::take(&mut self.queries).into_iter().partition(is_expired);
        self.queries = remaining;
        expired
    }
}

/// Status of a job's dependencies, direct and indirect.
enum LineageStatus {
    /// No dependency is cancelled.
    NotCancelled,
    /// A dependency is cancelled.
    Cancelled,
    /// The records of these dependencies are not known.
    Unknown(Vec<String>),
}

/// Outcome of the check of a query's job for cancelled dependencies.
pub(crate) enum LineageCheck {
    /// The query can be answered.
    Decided {
        /// The query.
        query: StatusQuery,
        /// Whether the job is cancelled with a dependency.
        cancelled: bool,
    },
    /// The query waits until the dependencies are looked up.
    Parked,
}

impl Controller {
    /// Traverses the unfinished dependencies of job `id`, except the jobs in `uncancelled`.
    fn lineage_status(&self, id: &str, uncancelled: &mut UncancelledJobs) -> LineageStatus {
        let mut visited: BTreeSet<&str> = BTreeSet::new();
        let mut to_visit = vec![id];
        let mut unknown = Vec::new();
        while let Some(next) = to_visit.pop() {
            if uncancelled.contains(next) || !visited.insert(next) {
                continue;
            }
            match (self.terminal_states.get(next), self.status_queries.cached_job(next)) {
                (Some((JobStatus::Cancelled, _)), _) => return LineageStatus::Cancelled,
                (Some(_), _) => {}
                // All of its dependencies are done, so none of them can be cancelled.
                (None, Some(job)) if !job.waits_for_dependencies() => {}
                (None, Some(job)) if job.external_spec.is_some() => unknown.push(next.to_string()),
                (None, Some(job)) => to_visit.extend(job.dependencies.iter().map(String::as_str)),
                (None, None) => unknown.push(next.to_string()),
            }
        }
        if !unknown.is_empty() {
            return LineageStatus::Unknown(unknown);
        }
        uncancelled.extend(visited.into_iter().map(String::from));
        LineageStatus::NotCancelled
    }

    /// Checks whether the job of a query is cancelled with a dependency. If that is not known, the
    /// query is parked until the dependencies are looked up.
    pub(crate) fn check_lineage(
        &mut self,
        query: StatusQuery,
        uncancelled: &mut UncancelledJobs,
    ) -> LineageCheck {
        if !self.checks.cancellation_lineage {
            return LineageCheck::Decided { query, cancelled: false };
        }
        match self.lineage_status(&query.id, uncancelled) {
            LineageStatus::NotCancelled => LineageCheck::Decided { query, cancelled: false },
            LineageStatus::Cancelled => {
                // The dependency's cancellation is stored and final, so this one is final as well.
                self.terminal_states.insert(&query.id, JobStatus::Cancelled, 0);
                LineageCheck::Decided { query, cancelled: true }
            }
            LineageStatus::Unknown(ids) => {
                self.status_queries.parked.queries.push(query);
                self.look_up_lineage(ids);
                LineageCheck::Parked
            }
        }
    }

    /// Starts the lookups of those jobs that are not being looked up already.
    fn look_up_lineage(&mut self, ids: Vec<String>) {
        for id in ids {
            if self.status_queries.parked.lookups.insert(id.clone()) {
                let lookup = StatusQuery { requester: Requester::Lineage, id, asked_at: self.now };
                self.status_queries.enqueue_uncached(lookup);
            }
        }
    }

    /// Retries the parked queries if a lookup has finished.
    pub(crate) fn retry_parked_queries(&mut self) {
        let parked = &mut self.status_queries.parked;
        if !std::mem::take(&mut parked.lookup_finished) {
            return;
        }
        let mut uncancelled = UncancelledJobs::new();
        for query in std::mem::take(&mut parked.queries) {
            if let Some(unanswered) = self.try_answer(query, &mut uncancelled) {
                self.status_queries.enqueue_uncached(unanswered);
            }
        }
    }

    /// Fails the queries that have been parked for too long.
    pub(crate) fn expire_parked_queries(&mut self) {
        let expired = self.status_queries.parked.take_expired(self.now);
        self.fail_queries(expired, "jobs before it are being looked up");
    }
}
