//! Heartbeats that are held for the leader, and their expiry.

use super::worker::HeldHeartbeat;
use super::{to_millis, HeartbeatProxy, ProxyAction};
use crate::{RequestId, Time};

/// Time by which the response to the heartbeat of `machine` is due at the latest.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct HoldDeadline {
    pub(super) at_ms: u64,
    pub(super) machine: String,
}

/// Action for a held heartbeat whose deadline has passed.
enum HoldExpiry {
    /// Respond to it under the delegated lease.
    Respond {
        fencing_token: u64,
    },
    /// Hold it until this time.
    HoldUntil(Time),
    Reject(&'static str),
    Redirect,
}

impl HeartbeatProxy {
    pub(super) fn hold(&mut self, machine: String, request: RequestId, received_at: Time, until: Time) {
        let deadline_ms = to_millis(until);
        if let Some(worker) = self.workers.get_mut(&machine) {
            worker.held = Some(HeldHeartbeat { request, received_at, deadline_ms });
            self.hold_deadlines.insert(HoldDeadline { at_ms: deadline_ms, machine });
        }
    }

    pub(super) fn hold_without_lease(&mut self, now: Time, request: RequestId, machine: String) {
        if !self.may_obtain_lease_soon(now) {
            return self.actions.push(ProxyAction::Redirect(request, self.leader_node()));
        }
        let until = now + self.max_hold_s();
        self.hold(machine, request, now, until);
    }

    /// Ends the hold of `machine`'s heartbeat, if there is one.
    pub(super) fn release_held(&mut self, machine: &str) -> Option<HeldHeartbeat> {
        let held = self.workers.get_mut(machine)?.held.take()?;
        self.hold_deadlines.remove(&HoldDeadline { at_ms: held.deadline_ms, machine: machine.to_string() });
        Some(held)
    }

    /// Whether a lease may be granted soon, because there is no leader, or the leader is
    /// new or still recovering.
    fn may_obtain_lease_soon(&self, now: Time) -> bool {
        let is_new = now - self.leader_since < self.timing.worker_timeout_s / 2.0;
        self.leader.is_none() || is_new || self.is_leader_recovering()
    }

    /// Whether the leader has replied but does not process heartbeats yet.
    fn is_leader_recovering(&self) -> bool {
        let leader_token = self.leader.as_ref().map(|leader| leader.fencing_token);
        self.lease
            .as_ref()
            .is_some_and(|lease| !lease.leader_ready && Some(lease.fencing_token) == leader_token)
    }

    /// Returns the maximum time for which a heartbeat is held, in seconds. The worker
    /// stops waiting for the response to a heartbeat that is held longer.
    fn max_hold_s(&self) -> f64 {
        self.timing.recovery_hold_s
    }

    pub(super) fn expire_holds(&mut self, now: Time) {
        while self.hold_deadlines.first().is_some_and(|deadline| deadline.at_ms <= to_millis(now)) {
            let Some(HoldDeadline { machine, .. }) = self.hold_deadlines.pop_first() else { return };
            let Some(held) = self.workers.get_mut(&machine).and_then(|worker| worker.held.take()) else {
                continue;
            };
            match self.decide_expired_hold(now, &machine, &held) {
                HoldExpiry::Respond { fencing_token } => {
                    self.respond_without_commands(held.request, fencing_token);
                }
                HoldExpiry::HoldUntil(until) => self.hold(machine, held.request, held.received_at, until),
                HoldExpiry::Reject(error) => self.actions.push(ProxyAction::Reject(held.request, error)),
                HoldExpiry::Redirect => {
                    self.actions.push(ProxyAction::Redirect(held.request, self.leader_node()));
                }
            }
        }
    }

    fn decide_expired_hold(&self, now: Time, machine: &str, held: &HeldHeartbeat) -> HoldExpiry {
        if let Some(lease) = self.valid_lease(now) {
            // A task there has to be killed: only the leader may renew the worker's lease.
            if self.leader_only.get(machine) == Some(&true) {
                return HoldExpiry::Reject("the leader has not answered");
            }
            return HoldExpiry::Respond { fencing_token: lease.fencing_token };
        }
        let last_deadline = held.received_at + self.max_hold_s();
        if self.may_obtain_lease_soon(now) && held.deadline_ms < to_millis(last_deadline) {
            return HoldExpiry::HoldUntil(last_deadline);
        }
        // Redirecting all workers to a recovering leader would only slow it down.
        if self.is_leader_recovering() {
            return HoldExpiry::Reject("the leader reads its records");
        }
        HoldExpiry::Redirect
    }
}
