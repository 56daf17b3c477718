//! Jobs that wait for others, at the leader: what the graph is told and what follows from
//! it. `docs/pipelines.md` has the argument.

use crate::leader::{LeaderState, Role};
use crate::records::*;
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
    reading: BTreeSet<String>,
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
fn enter(l: &mut LeaderState, finals: &TerminalStateCache, id: &str) -> GraphEffects {
    let Some(job) = l.jobs.get(id).filter(|j| j.freed_at.is_none() && !j.is_final()) else {
        return GraphEffects::default();
    };
    let (jobs, archive) = (&l.jobs, &l.archive);
    // A job that is done in memory only counts as live: its end may not be stored yet.
    let cancelled = |a: &str| jobs.get(a).filter(|j| j.status == JobStatus::Cancelled).map(|j| j.status);
    let fate = |a: &str| {
        let status = finals.get(a).map(|f| f.0).or_else(|| archive.over(a)).or_else(|| cancelled(a));
        status.and_then(fate_of)
    };
    l.pipelines.graph.add(id, &job.spec.awaits, fate, |a| jobs.contains_key(a))
}

impl Controller {
    /// Whether every node is known to have this version.
    pub(crate) fn newest_forms(&self) -> bool {
        self.limits.fallen() || self.versions.all_read(&self.settings.peers) >= FORMAT
    }

    /// A live job was taken in.
    pub(crate) fn enter_graph(&mut self, id: &str) {
        let Role::Leader(l) = &mut self.role else { return };
        let effects = enter(l, &self.finals, id);
        self.follow_effects(effects);
    }

    /// All records were read: who waits for whom.
    pub(crate) fn build_graph(&mut self) {
        let Role::Leader(l) = &mut self.role else { return };
        let waiting: Vec<String> =
            l.jobs.iter().filter(|(_, j)| !j.spec.awaits.is_empty()).map(|(id, _)| id.clone()).collect();
        let mut all = Vec::new();
        for id in &waiting {
            all.push(enter(l, &self.finals, id));
        }
        let named: Vec<String> =
            l.archive.waiting.keys().filter(|id| l.pipelines.graph.named(id)).cloned().collect();
        for id in named {
            l.archive.hold(&id);
        }
        for effects in all {
            self.follow_effects(effects);
        }
    }

    /// It is stored that job `id` is over.
    pub(crate) fn is_over(&mut self, id: &str, status: JobStatus) {
        let Some(fate) = fate_of(status) else { return };
        let Role::Leader(l) = &mut self.role else { return };
        let effects = l.pipelines.graph.settle(id, fate);
        self.follow_effects(effects);
    }

    /// It is stored that job `id` waits for nobody any more.
    pub(crate) fn stored_free(&mut self, id: &str) {
        let Role::Leader(l) = &mut self.role else { return };
        for over in l.pipelines.graph.stored_free(id) {
            l.archive.release(&over);
        }
    }

    /// The record of job `id` is gone from those that run, and how it ended is not known.
    pub(crate) fn moved_unseen(&mut self, id: &str) {
        if let Role::Leader(l) = &mut self.role {
            l.pipelines.graph.doubt(id);
        }
    }

    fn follow_effects(&mut self, effects: GraphEffects) {
        let (now, wall) = (self.now, self.wall);
        for id in effects.freed {
            let Role::Leader(l) = &mut self.role else { return };
            let Some(job) = l.jobs.get_mut(&id).filter(|j| !j.is_final()) else { continue };
            info!(job = %id, waited_s = now - job.submitted, "job waits for no other any more");
            job.freed(now, wall);
            let spec = job.spec.clone();
            // At once, not with the next tick.
            (l.plan_dirty, l.plan_after) = (true, l.plan_after.min(now));
            self.note_arrival(&spec, now);
        }
        for id in effects.withdrawn {
            self.finals.put(&id, JobStatus::Cancelled, 0);
            let Role::Leader(l) = &mut self.role else { return };
            if let Some(job) = l.jobs.get_mut(&id) {
                job.withdraw();
            }
            self.settle_final(&id);
        }
        let Role::Leader(l) = &mut self.role else { return };
        for id in effects.released {
            l.archive.release(&id);
        }
    }

    /// Reads what is stored of awaited jobs of which nothing is known: those that were over
    /// when this leader began, or that another node has taken just now.
    pub(crate) fn pipelines_on_time(&mut self) {
        let now = self.now;
        let Role::Leader(l) = &mut self.role else { return };
        let token = l.token;
        let p = &mut l.pipelines;
        if now < p.retry_at || p.reading.len() >= MOST_READS {
            return;
        }
        let room = MOST_READS - p.reading.len();
        let next: Vec<String> =
            p.graph.unknown().filter(|id| !p.reading.contains(*id)).take(room).cloned().collect();
        p.reading.extend(next.iter().cloned());
        for id in next {
            let op = StoreRequest::Get(job_key(&id));
            self.state(CallContext::Awaited { token, id, over: false }, op);
        }
    }

    pub(crate) fn on_awaited(&mut self, token: u64, id: &str, over: bool, r: StoreReply) {
        let (now, retry) = (self.now, self.d.renew_s / 4.0);
        let Some(l) = self.lead(token) else { return };
        match r {
            StoreReply::Missing(_) if !over => {
                let purpose = CallContext::Awaited { token, id: id.to_string(), over: true };
                self.state(purpose, StoreRequest::Get(over_key(id)));
            }
            StoreReply::Item(Item { value: Value::Over(o), .. }) => {
                l.pipelines.reading.remove(id);
                self.finals.put(id, o.status, o.done);
                self.is_over(id, o.status);
            }
            StoreReply::Item(Item { key, value: value @ Value::Job(_), version }) => {
                l.pipelines.reading.remove(id);
                l.pipelines.graph.met(id);
                self.saw_record(&key, value, version);
            }
            // Not there at all: accepted jobs are never missing, so it is asked for again.
            _ => {
                l.pipelines.reading.remove(id);
                l.pipelines.retry_at = now + retry;
            }
        }
    }
}
