//! Job dependencies at the leader: updates the dependency graph and applies its results.
//! `docs/dependencies.md` explains why this is correct.

use crate::leader::state::{LeaderState, Role};
use crate::model::cluster::ClusterState;
use crate::model::records::*;
use crate::storage::archive::Archive;
use crate::{CallContext, Controller, StoreReply, StoreRequest, TerminalStateCache, Time};
use dependencies::{DependencyGraph, GraphEffects, JobOutcome};
use protocol::job::JobStatus;
use protocol::state::Item;
use std::collections::BTreeSet;
use tracing::info;

/// Maximum number of dependency records that are read at the same time.
const MAX_READS_IN_FLIGHT: usize = 8;

/// Delay before a missing record is read again, as a fraction of the lease renewal interval.
const RETRY_INTERVAL_FRACTION: f64 = 0.25;

/// The dependency graph of live jobs, and the dependencies whose records are being read.
#[derive(Default)]
pub struct JobDependencies {
    /// Dependencies of the live jobs.
    pub graph: DependencyGraph,
    /// Ids of the dependencies that are being read.
    reads_in_flight: BTreeSet<String>,
    /// Earliest time of the next read.
    retry_at: Time,
}

impl JobDependencies {
    /// Returns the ids of dependencies to read now and marks them as in flight.
    fn take_due_reads(&mut self, now: Time) -> Vec<String> {
        let max_reads = MAX_READS_IN_FLIGHT.saturating_sub(self.reads_in_flight.len());
        if now < self.retry_at || max_reads == 0 {
            return Vec::new();
        }
        let unread = self.graph.unknown().filter(|id| !self.reads_in_flight.contains(*id));
        let due: Vec<String> = unread.take(max_reads).cloned().collect();
        self.reads_in_flight.extend(due.iter().cloned());
        due
    }
}

/// Returns the outcome that a status stands for, or None if the status is not final.
pub(crate) fn outcome_of(status: JobStatus) -> Option<JobOutcome> {
    match status {
        JobStatus::Done => Some(JobOutcome::Done),
        JobStatus::Cancelled => Some(JobOutcome::Cancelled),
        JobStatus::Pending | JobStatus::Running => None,
    }
}

/// Returns the stored outcome of job `id`, if it has one. A job that is done only in memory counts
/// as live, because its end may not be stored yet.
fn stored_outcome(
    cluster: &ClusterState,
    archive: &Archive,
    terminal_states: &TerminalStateCache,
    id: &str,
) -> Option<JobOutcome> {
    let cancelled = || {
        let job = cluster.jobs.get(id)?;
        (job.status == JobStatus::Cancelled).then_some(job.status)
    };
    let cached = terminal_states.get(id).map(|state| state.0);
    let status = cached.or_else(|| archive.terminal_status(id)).or_else(cancelled);
    status.and_then(outcome_of)
}

/// Adds live job `id` to the graph, with the stored outcomes of its dependencies.
fn add_to_graph(leader: &mut LeaderState, terminal_states: &TerminalStateCache, id: &str) -> GraphEffects {
    let LeaderState { dependencies, cluster, archive, .. } = leader;
    let job = cluster.jobs.get(id).filter(|job| job.ready_wall_s.is_none() && !job.is_final());
    let Some(job) = job else { return GraphEffects::default() };
    let outcome = |dependency: &str| stored_outcome(cluster, archive, terminal_states, dependency);
    let is_live = |dependency: &str| cluster.jobs.contains_key(dependency);
    dependencies.graph.add(id, &job.spec.dependencies, outcome, is_live)
}

impl Controller {
    /// Whether every node is known to support the current storage format.
    pub(crate) fn uses_current_format(&self) -> bool {
        self.store_limits.next_limits_in_force() || self.formats.common_format(&self.settings.peers) >= FORMAT
    }

    /// Adds a new live job to the graph.
    pub(crate) fn add_job_to_dependency_graph(&mut self, id: &str) {
        let Role::Leader(leader) = &mut self.role else { return };
        let effects = add_to_graph(leader, &self.terminal_states, id);
        self.apply_graph_effects(effects);
    }

    /// Builds the dependency graph once all records have been read.
    pub(crate) fn build_graph(&mut self) {
        let Role::Leader(leader) = &mut self.role else { return };
        let jobs = leader.cluster.jobs.iter();
        let dependent = jobs.filter(|(_, job)| !job.spec.dependencies.is_empty());
        let dependent: Vec<String> = dependent.map(|(id, _)| id.clone()).collect();
        let effects: Vec<GraphEffects> =
            dependent.iter().map(|id| add_to_graph(leader, &self.terminal_states, id)).collect();
        hold_dependencies(leader);
        for effects in effects {
            self.apply_graph_effects(effects);
        }
    }

    /// Updates the graph after the outcome of job `id` was stored.
    pub(crate) fn record_outcome(&mut self, id: &str, status: JobStatus) {
        let Some(outcome) = outcome_of(status) else { return };
        let Role::Leader(leader) = &mut self.role else { return };
        let effects = leader.dependencies.graph.record_outcome(id, outcome);
        self.apply_graph_effects(effects);
    }

    /// Releases the dependencies of job `id` after the store recorded that it no longer waits.
    pub(crate) fn on_ready_stored(&mut self, id: &str) {
        let Role::Leader(leader) = &mut self.role else { return };
        for dependency in leader.dependencies.graph.on_ready_stored(id) {
            leader.archive.release(&dependency);
        }
    }

    /// Marks the state of job `id` as unknown in the graph. Called when the record of the job is no
    /// longer among those of live jobs and the outcome of the job is not known.
    pub(crate) fn on_archived_with_unknown_outcome(&mut self, id: &str) {
        if let Role::Leader(leader) = &mut self.role {
            leader.dependencies.graph.mark_unknown(id);
        }
    }

    fn apply_graph_effects(&mut self, effects: GraphEffects) {
        for id in effects.ready {
            self.on_job_ready(&id);
        }
        for id in effects.cancelled {
            self.on_cancelled_with_dependency(&id);
        }
        let Role::Leader(leader) = &mut self.role else { return };
        for id in effects.unreferenced {
            leader.archive.release(&id);
        }
    }

    /// Makes job `id` ready to start after its last dependency was done.
    fn on_job_ready(&mut self, id: &str) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(job) = leader.cluster.jobs.get_mut(id).filter(|job| !job.is_final()) else { return };
        info!(job = %id, waited_s = now - job.submitted_at, "job dependencies finished");
        job.on_dependencies_done(now, self.wall_time_s);
        let spec = job.spec.clone();
        leader.planning.request_plan(now);
        self.record_arrival(&spec, now);
    }

    /// Cancels job `id` because one of its dependencies was cancelled.
    fn on_cancelled_with_dependency(&mut self, id: &str) {
        self.terminal_states.insert(id, JobStatus::Cancelled, 0);
        let Role::Leader(leader) = &mut self.role else { return };
        if let Some(job) = leader.cluster.jobs.get_mut(id) {
            job.cancel();
        }
        self.settle_terminal(id);
    }

    /// Reads the records of dependencies with unknown state: they ended before this leader was
    /// elected, or another node has just accepted them.
    pub(crate) fn tick_dependencies(&mut self) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else { return };
        let token = leader.fencing_token;
        for id in leader.dependencies.take_due_reads(now) {
            let request = StoreRequest::Get(job_key(&id));
            self.call_store(CallContext::DependencyRead { token, id, in_archive: false }, request);
        }
    }

    /// Handles the reply to a read of the record of dependency `id`. `in_archive` is whether the
    /// record was read from those of ended jobs.
    pub(crate) fn on_dependency_read(&mut self, token: u64, id: &str, in_archive: bool, reply: StoreReply) {
        let retry_at = self.now + self.timing.renewal_interval_s * RETRY_INTERVAL_FRACTION;
        let Some(leader) = self.leader_state(token) else { return };
        if let (StoreReply::Missing(_), false) = (&reply, in_archive) {
            let context = CallContext::DependencyRead { token, id: id.to_string(), in_archive: true };
            self.call_store(context, StoreRequest::Get(terminal_job_key(id)));
            return;
        }
        leader.dependencies.reads_in_flight.remove(id);
        match reply {
            StoreReply::Item(Item { value: Value::Terminal(record), .. }) => {
                self.terminal_states.insert(id, record.status, record.done);
                self.record_outcome(id, record.status);
            }
            StoreReply::Item(Item { key, value: value @ Value::Job(_), version }) => {
                leader.dependencies.graph.mark_known(id);
                self.observe_record(&key, value, version);
            }
            // Records of accepted jobs always exist, so a missing record is read again.
            _ => leader.dependencies.retry_at = retry_at,
        }
    }
}

/// Keeps records of ended jobs from being archived while other jobs depend on them.
fn hold_dependencies(leader: &mut LeaderState) {
    let ended = leader.archive.waiting.keys();
    let needed = ended.filter(|id| leader.dependencies.graph.has_dependents(id));
    let needed: Vec<String> = needed.cloned().collect();
    for id in needed {
        leader.archive.hold(&id);
    }
}
