//! Submissions and cancellations in progress at this node, and limits and responses that clients'
//! requests share.

use crate::client_api::cancellations::PendingCancellation;
use crate::client_api::dependency_checks::DependencyCheck;
use crate::client_api::submissions::PendingSubmission;
use crate::model::records::{JobRecord, Value};
use crate::{Controller, RequestId};
use protocol::job::{JobStatus, JobView};
use std::collections::BTreeMap;

/// Maximum number of submissions, and of cancellations, in progress.
pub(crate) const MAX_WAITING_REQUESTS: usize = 2_000;

/// Error text of a request that exceeds a limit of this node.
pub(crate) const ERROR_BUSY: &str = "busy";
/// Error text of a request for which the store could not be reached.
pub(crate) const ERROR_STORE_UNREACHABLE: &str = "state service not reached";
/// Error text of a request for a job that was never accepted.
pub(crate) const ERROR_NO_SUCH_JOB: &str = "no such job";

/// Share of the store's write rate that submissions through one node may use while the store
/// accepts them. When the store refuses writes, the node reduces its rate, at the lowest to an equal
/// share of the rate that the leader leaves to the nodes, and raises it again when writes succeed.
/// With a fixed rate of that equal share, nine in ten submissions were refused while the store was
/// half idle.
pub const MAX_CLIENT_WRITE_SHARE: f64 = 0.5;

/// Clients' requests in progress at this node, by job id.
#[derive(Default)]
pub struct ClientRequests {
    /// Submissions that are being written.
    pub(super) submissions: BTreeMap<String, PendingSubmission>,
    /// Submissions whose dependencies are being looked up.
    pub(super) dependency_checks: BTreeMap<String, DependencyCheck>,
    /// Cancellations in progress.
    pub(super) cancellations: BTreeMap<String, PendingCancellation>,
    /// Always empty; stands for the chunks of an unknown submission.
    no_chunks: Vec<(String, Value)>,
    /// Jobs that were submitted through this node, with the versions of their records. If this node
    /// leads, it takes them from here without waiting for its watch.
    pub created: Vec<(String, JobRecord, u64)>,
}

impl ClientRequests {
    /// Returns the chunks of submission `id` that are not stored yet, in reverse order: key and
    /// value.
    pub fn pending_chunks(&mut self, id: &str) -> &mut Vec<(String, Value)> {
        match self.submissions.get_mut(id) {
            Some(submission) => &mut submission.pending_chunks,
            None => &mut self.no_chunks,
        }
    }
}

/// Task counts of a job that a response shows.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TaskCounts {
    /// Number of completed tasks.
    pub(crate) done: u32,
    /// Number of running tasks.
    pub(crate) running: u32,
}

impl TaskCounts {
    /// Returns the counts of a terminal job, which has no running tasks.
    pub(crate) fn terminal(done: u32) -> Self {
        TaskCounts { done, running: 0 }
    }
}

impl Controller {
    /// Answers a request with the status of job `job_id`.
    pub(crate) fn respond_with_job(
        &mut self,
        request_id: RequestId,
        status_code: u16,
        job_id: &str,
        status: JobStatus,
        counts: Option<TaskCounts>,
    ) {
        let view = JobView {
            id: job_id.to_string(),
            status,
            done: counts.map(|counts| counts.done),
            running: counts.map(|counts| counts.running),
        };
        self.respond(request_id, status_code, protocol::encode(&view));
    }

    /// Discards the list of created jobs, which only a leader needs, if this node does not lead.
    pub(crate) fn tick_client_requests(&mut self) {
        if !self.is_leader() {
            self.client_requests.created.clear();
        }
    }
}
