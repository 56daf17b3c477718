//! Attribution of task failures to the job or to the machine. Different jobs that fail on one
//! machine implicate the machine; one job that fails on different machines implicates the job.
//! Earlier successes count in favor of either. A machine is not quarantined at its first failure
//! because that cost up to three healthy machines for every job submitted with a mistake.

use crate::leader::state::Role;
use crate::model::job::Job;
use crate::model::machine::Machine;
use crate::{Controller, Time};
use tracing::warn;

/// Maximum pause between probes of a suspected job, in worker leases.
const MAX_PROBE_PAUSE_LEASES: f64 = 2.0;
/// Number of probes after which the pause no longer doubles.
const MAX_PAUSE_DOUBLINGS: u32 = 16;

/// Pauses between the probes of a suspected job.
struct ProbePauses {
    /// Half of the first pause, in seconds.
    base_s: Time,
    /// Maximum pause, in seconds.
    max_s: Time,
}

impl Controller {
    /// Attributes the failure of a task of the job on `machine`. The caller has ruled out all
    /// known causes except the job's program and the machine.
    pub(crate) fn attribute_failure(&mut self, job_id: &str, machine: &str) {
        let now = self.now;
        let workers = &self.settings.params.workers;
        let pauses = ProbePauses {
            base_s: workers.heartbeat_interval_s,
            max_s: workers.lease_s * MAX_PROBE_PAUSE_LEASES,
        };
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(job) = leader.cluster.jobs.get_mut(job_id) else { return };
        if !job.is_suspected() {
            if let Some(machine) = leader.cluster.machines.get_mut(machine) {
                suspect_machine(machine, job, job_id, now);
            }
        }
        if !job.is_suspected() {
            return;
        }
        schedule_probe(job, job_id, &pauses, now);
        // The failures of a suspected job say nothing about the machines.
        for name in &job.failed_on {
            if let Some(machine) = leader.cluster.machines.get_mut(name) {
                machine.failed_jobs.remove(job_id);
            }
        }
    }
}

/// Counts the failure of a job that is not itself suspected against the machine.
fn suspect_machine(machine: &mut Machine, job: &mut Job, job_id: &str, now: Time) {
    if machine.quarantined {
        return;
    }
    let has_succeeded = job.done_count > 0;
    if has_succeeded {
        return machine.quarantine();
    }
    // All failed tasks of one job on one machine count as one failure.
    machine.failed_jobs.insert(job_id.to_string());
    job.failed_on.insert(machine.id.clone());
    // Several faulty jobs may have been submitted together, so the machine is only suspected. It
    // is quarantined if the jobs don't fail on other machines as well in the meantime.
    if machine.failed_jobs.len() > 1 {
        machine.suspected_since = Some(now);
    }
}

/// Sets when a suspected job may start a task again. One task at a time probes whether the job
/// works, with a pause that doubles after each probe, until a task succeeds.
fn schedule_probe(job: &mut Job, job_id: &str, pauses: &ProbePauses, now: Time) {
    if now < job.not_before {
        return;
    }
    if job.probes == 0 {
        warn!(job = %job_id, machines = job.failed_on.len(), "job suspected: it fails on several machines");
    }
    job.probes += 1;
    let doubled = f64::from(1u32 << job.probes.min(MAX_PAUSE_DOUBLINGS));
    job.not_before = now + (pauses.base_s * doubled).min(pauses.max_s);
}
