//! Periodic work of the leader, and its order.

use crate::leader::state::Role;
use crate::model::records::{job_key, Value, JOB_WATCH_PREFIX};
use crate::{CallContext, Controller, StoreRequest};

/// Number of sweeps over all machines per planning interval. Work that visits every machine need not
/// be done on every message.
const SWEEPS_PER_PLANNING_INTERVAL: f64 = 5.0;

impl Controller {
    /// Does the leader's work that is due. Does nothing on a follower.
    pub(crate) fn tick_leader(&mut self) {
        let Role::Leader(leader) = &self.role else { return };
        let token = leader.fencing_token;
        self.tick_lease_renewal();
        self.tick_recovery(token);
        self.expire_early_heartbeats();
        let Some(leader) = self.leader_state(token) else { return };
        if leader.recovery.finished {
            self.tick_recovered_leader(token);
        }
        self.tick_forwarding();
    }

    /// Does the work that requires all records to have been read.
    fn tick_recovered_leader(&mut self, token: u64) {
        self.tick_job_watch(token);
        self.observe_created_jobs();
        self.update_tenure(token);
        let sweep_due = self.start_machine_sweep();
        if sweep_due {
            self.tick_failure_detection();
            self.step_down_if_unreachable();
            self.log_summary();
        }
        self.tick_planning();
        if sweep_due {
            self.tick_fleet();
        }
        self.tick_write_queue();
        self.tick_archive();
        self.tick_dependencies();
        self.respond_to_pending_heartbeats();
        self.tick_pending_kills();
        self.mark_kills_leader_only();
    }

    /// Keeps a watch open on the stored jobs.
    fn tick_job_watch(&mut self, token: u64) {
        let now = self.now;
        let Some(leader) = self.leader_state(token) else { return };
        if leader.watch.in_flight || now < leader.watch.retry_at {
            return;
        }
        leader.watch.in_flight = true;
        let after = leader.watch.revision.unwrap_or(0);
        // The watch returns as often as the lease is renewed, since the age of the known state counts
        // from the sending of the last watch.
        let wait_ms = (self.timing.renewal_interval_s * 1000.0) as u64;
        let request = StoreRequest::Watch { prefix: JOB_WATCH_PREFIX.to_string(), after, wait_ms };
        self.call_store(CallContext::JobWatch { token, sent: now }, request);
    }

    /// Processes the jobs that were created through this node, ahead of the watch.
    fn observe_created_jobs(&mut self) {
        for (id, record, version) in std::mem::take(&mut self.client_requests.created) {
            self.observe_record(&job_key(&id), Value::Job(Box::new(record)), version);
        }
    }

    fn update_tenure(&mut self, token: u64) {
        let now = self.now;
        let may_act = self.may_act();
        let Some(leader) = self.leader_state(token) else { return };
        leader.leadership.tenure.update(now, may_act, token);
        let may_respond = leader.leadership.authority.may_respond(now);
        leader.leadership.responsiveness.update(now, may_respond);
    }

    /// Returns whether a sweep over all machines is due; if so, records its start.
    fn start_machine_sweep(&mut self) -> bool {
        let now = self.now;
        let interval_s = self.timing.planning_interval_s / SWEEPS_PER_PLANNING_INTERVAL;
        if !self.may_act() {
            return false;
        }
        let Role::Leader(leader) = &mut self.role else { return false };
        if now - leader.last_machine_sweep_at < interval_s {
            return false;
        }
        leader.last_machine_sweep_at = now;
        true
    }
}
