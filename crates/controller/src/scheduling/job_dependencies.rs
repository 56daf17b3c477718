//! Jobs that wait for others, at the leader: what the graph is told and what follows from
//! it. `docs/pipelines.md` has the argument.

use crate::leader::state::{LeaderState, Role};
use crate::model::records::*;
use crate::{CallContext, Controller, StoreReply, StoreRequest, TerminalStateCache, Time};
use dependencies::{DependencyGraph, GraphEffects, JobOutcome};
use protocol::job::JobStatus;
use protocol::state::Item;
use std::collections::BTreeSet;
use tracing::info;

/// The graph of live jobs, and awaited ones whose records are being read.
#[derive(Default)]
pub struct JobDependencies {
    pub graph: DependencyGraph,
    reads_in_flight: BTreeSet<String>,
    retry_at: Time,
}

/// Records of awaited jobs that are read at a time.
const MOST_READS: usize = 8;

/// How a job has ended, if its status says so.
pub(crate) fn fate_of(status: JobStatus) -> Option<JobOutcome> {
    match status {
        JobStatus::Done => Some(JobOutcome::Done),
        JobStatus::Cancelled => Some(JobOutcome::Cancelled),
        JobStatus::Pending | JobStatus::Running => None,
    }
}

/// Tells the graph of live job `id`, with what is stored of those that it awaits.
fn enter(leader: &mut LeaderState, finals: &TerminalStateCache, id: &str) -> GraphEffects {
    let Some(job) = leader.cluster.jobs.get(id).filter(|j| j.ready_wall_s.is_none() && !j.is_final()) else {
        return GraphEffects::default();
    };
    let (jobs, archive) = (&leader.cluster.jobs, &leader.archive);
    // A job that is done in memory only counts as live: its end may not be stored yet.
    let cancelled = |a: &str| jobs.get(a).filter(|j| j.status == JobStatus::Cancelled).map(|j| j.status);
    let fate = |a: &str| {
        let status =
            finals.get(a).map(|f| f.0).or_else(|| archive.terminal_status(a)).or_else(|| cancelled(a));
        status.and_then(fate_of)
    };
    leader.dependencies.graph.add(id, &job.spec.dependencies, fate, |a| jobs.contains_key(a))
}

impl Controller {
    /// Whether every node is known to have this version.
    pub(crate) fn uses_current_format(&self) -> bool {
        self.store_limits.next_limits_in_force() || self.formats.common_format(&self.settings.peers) >= FORMAT
    }

    /// A live job was taken in.
    pub(crate) fn enter_graph(&mut self, id: &str) {
        let Role::Leader(leader) = &mut self.role else { return };
        let effects = enter(leader, &self.terminal_states, id);
        self.apply_graph_effects(effects);
    }

    /// All records were read: who waits for whom.
    pub(crate) fn build_graph(&mut self) {
        let Role::Leader(leader) = &mut self.role else { return };
        let waiting: Vec<String> = leader
            .cluster
            .jobs
            .iter()
            .filter(|(_, j)| !j.spec.dependencies.is_empty())
            .map(|(id, _)| id.clone())
            .collect();
        let mut all = Vec::new();
        for id in &waiting {
            all.push(enter(leader, &self.terminal_states, id));
        }
        let named: Vec<String> = leader
            .archive
            .waiting
            .keys()
            .filter(|id| leader.dependencies.graph.has_dependents(id))
            .cloned()
            .collect();
        for id in named {
            leader.archive.hold(&id);
        }
        for effects in all {
            self.apply_graph_effects(effects);
        }
    }

    /// It is stored that job `id` is over.
    pub(crate) fn record_outcome(&mut self, id: &str, status: JobStatus) {
        let Some(fate) = fate_of(status) else { return };
        let Role::Leader(leader) = &mut self.role else { return };
        let effects = leader.dependencies.graph.record_outcome(id, fate);
        self.apply_graph_effects(effects);
    }

    /// It is stored that job `id` waits for nobody any more.
    pub(crate) fn on_ready_stored(&mut self, id: &str) {
        let Role::Leader(leader) = &mut self.role else { return };
        for over in leader.dependencies.graph.on_ready_stored(id) {
            leader.archive.release(&over);
        }
    }

    /// The record of job `id` is gone from those that run, and how it ended is not known.
    pub(crate) fn on_archived_unseen(&mut self, id: &str) {
        if let Role::Leader(leader) = &mut self.role {
            leader.dependencies.graph.mark_unknown(id);
        }
    }

    fn apply_graph_effects(&mut self, effects: GraphEffects) {
        let (now, wall) = (self.now, self.time_of_day);
        for id in effects.ready {
            let Role::Leader(leader) = &mut self.role else { return };
            let Some(job) = leader.cluster.jobs.get_mut(&id).filter(|j| !j.is_final()) else { continue };
            info!(job = %id, waited_s = now - job.submitted_at, "job dependencies finished");
            job.on_dependencies_done(now, wall);
            let spec = job.spec.clone();
            // At once, not with the next tick.
            (leader.planning.needed, leader.planning.next_plan_at) =
                (true, leader.planning.next_plan_at.min(now));
            self.record_arrival(&spec, now);
        }
        for id in effects.cancelled {
            self.terminal_states.insert(&id, JobStatus::Cancelled, 0);
            let Role::Leader(leader) = &mut self.role else { return };
            if let Some(job) = leader.cluster.jobs.get_mut(&id) {
                job.cancel();
            }
            self.settle_terminal(&id);
        }
        let Role::Leader(leader) = &mut self.role else { return };
        for id in effects.forgotten {
            leader.archive.release(&id);
        }
    }

    /// Reads what is stored of awaited jobs of which nothing is known: those that were over
    /// when this leader began, or that another node has taken just now.
    pub(crate) fn tick_dependencies(&mut self) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else { return };
        let token = leader.fencing_token;
        let p = &mut leader.dependencies;
        if now < p.retry_at || p.reads_in_flight.len() >= MOST_READS {
            return;
        }
        let room = MOST_READS - p.reads_in_flight.len();
        let next: Vec<String> =
            p.graph.unknown().filter(|id| !p.reads_in_flight.contains(*id)).take(room).cloned().collect();
        p.reads_in_flight.extend(next.iter().cloned());
        for id in next {
            let op = StoreRequest::Get(job_key(&id));
            self.call_store(CallContext::DependencyRead { token, id, over: false }, op);
        }
    }

    pub(crate) fn on_dependency_read(&mut self, token: u64, id: &str, over: bool, reply: StoreReply) {
        let (now, retry) = (self.now, self.timing.renewal_interval_s / 4.0);
        let Some(leader) = self.leader_state(token) else { return };
        match reply {
            StoreReply::Missing(_) if !over => {
                let purpose = CallContext::DependencyRead { token, id: id.to_string(), over: true };
                self.call_store(purpose, StoreRequest::Get(over_key(id)));
            }
            StoreReply::Item(Item { value: Value::Terminal(o), .. }) => {
                leader.dependencies.reads_in_flight.remove(id);
                self.terminal_states.insert(id, o.status, o.done);
                self.record_outcome(id, o.status);
            }
            StoreReply::Item(Item { key, value: value @ Value::Job(_), version }) => {
                leader.dependencies.reads_in_flight.remove(id);
                leader.dependencies.graph.mark_known(id);
                self.observe_record(&key, value, version);
            }
            // Not there at all: accepted jobs are never missing, so it is asked for again.
            _ => {
                leader.dependencies.reads_in_flight.remove(id);
                leader.dependencies.retry_at = now + retry;
            }
        }
    }
}
