//! The leader's state of a machine.

mod image_cache;

use crate::agents::one_way_partition::InboundReachability;
use crate::messages::Time;
use image_cache::ImageCache;
use protocol::worker::{Heartbeat, TaskStatus};
use settings::Timing;
use sharding::ProxyId;
use std::collections::BTreeSet;
use tracing::warn;

/// Position of a heartbeat in the order of its agent's heartbeats: the agent epoch and the sequence
/// number within the epoch.
pub type HeartbeatPosition = (u64, u64);

/// Lifecycle phase of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachinePhase {
    /// Created; neither a heartbeat nor the cloud's list has shown it running yet.
    Booting,
    /// In service.
    Up,
    /// Marked for deletion; accepts no work.
    Terminating,
}

/// State of a machine, known from heartbeats, the cloud's list and stored placements.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Id assigned by the cloud; never reused.
    pub id: String,
    /// Address of the agent for direct commands; empty while it is unknown.
    pub addr: String,
    /// Name of its machine type.
    pub machine_type: String,
    /// Name of its zone.
    pub zone: String,
    /// Whether it is a spot machine, which the cloud may reclaim.
    pub spot: bool,
    /// Lifecycle phase.
    pub phase: MachinePhase,
    /// Estimated time of its creation: the sending of the rental request that was answered, the arrival of
    /// its first heartbeat, or earlier according to the age that the cloud's list states. The boot
    /// time-out, the minimum charge and plans count from it; it proves nothing (see `exists_since`).
    pub created_at: Time,
    /// Time by which the machine certainly existed: the arrival of the reply to its rental. For a machine
    /// that another leader rented: the arrival of the first list or heartbeat, or earlier according to
    /// the age that the cloud's list states.
    pub exists_since: Time,
    /// Whether this leader received the reply to its rental.
    pub rented_by_this_leader: bool,
    /// Position of the newest heartbeat, including replies to direct commands.
    pub newest_position: HeartbeatPosition,
    /// Position of the newest heartbeat that was not a reply to a direct command. Only such heartbeats
    /// renew the lease, and a reply may overtake a heartbeat that was sent before it.
    newest_heartbeat_position: HeartbeatPosition,
    /// Highest fencing token that its agent has seen.
    pub highest_token_seen: u64,
    /// Position of the heartbeat from which `tasks` was taken.
    pub content_position: HeartbeatPosition,
    /// Fencing token that the agent had seen when it sent that heartbeat.
    pub content_token: u64,
    /// Node that received its newest heartbeat, if not this one.
    pub proxy: Option<ProxyId>,
    /// Time at which a node received its newest heartbeat, except replies to direct commands.
    pub last_heartbeat_at: Option<Time>,
    /// Time at which its heartbeat last matched the placements exactly, with nothing left to send to
    /// it, or None if something has changed since.
    pub reconciled_at: Option<Time>,
    /// Whether its heartbeats come to this node and it was not redirected to a proxy.
    pub reports_here: bool,
    /// Time at which this node or a proxy received its newest heartbeat.
    pub last_heard_at: Option<Time>,
    /// Latest time at which a heartbeat arrived whose response may have been sent.
    pub last_possible_response_at: Time,
    /// Time of its first heartbeat, while nothing else shows that the machine exists. The heartbeat may
    /// have been delayed for minutes, and the machine may no longer exist.
    pub unconfirmed_since: Option<Time>,
    /// Whether responses reach it.
    pub reachability: InboundReachability,
    /// Time since which this leader has considered it up.
    pub up_since: Time,
    /// Whether it was declared dead after too long a silence; it is then scaled in.
    pub declared_dead: bool,
    /// Whether it has appeared in the cloud's list.
    pub listed: bool,
    /// Whether a list does not show it that should show it by its estimated age. That is no proof that it
    /// is gone, but it gets no work until a list shows it.
    pub possibly_gone: bool,
    /// Time at which the cloud reclaims it, if that was announced.
    pub spot_reclaim_at: Option<Time>,
    /// Its tasks, according to the heartbeat at `content_position`.
    pub tasks: Vec<TaskStatus>,
    /// Images that its tasks needed.
    images: ImageCache,
    /// Time since which it has had no work.
    pub idle_since: Time,
    /// Jobs that failed here since the last success, except failures with another known cause.
    pub failed_jobs: BTreeSet<String>,
    /// Whether it is quarantined, because its tasks fail or the cloud reports it as failed; it accepts
    /// no work and is scaled in.
    pub quarantined: bool,
    /// Time since which it has been suspected because several jobs failed on it. It accepts no work
    /// until it is clear whether the machine is at fault.
    pub suspected_since: Option<Time>,
    /// Its run times, as a multiple of the expected ones.
    pub slowness: f64,
}

impl Machine {
    /// Creates the state of a machine that was just created or has just become known.
    pub fn new(id: &str, machine_type: &str, zone: &str, spot: bool, now: Time) -> Self {
        Machine {
            id: id.to_string(),
            addr: String::new(),
            machine_type: machine_type.to_string(),
            zone: zone.to_string(),
            spot,
            phase: MachinePhase::Booting,
            created_at: now,
            exists_since: now,
            rented_by_this_leader: false,
            newest_position: (0, 0),
            newest_heartbeat_position: (0, 0),
            highest_token_seen: 0,
            content_position: (0, 0),
            content_token: 0,
            proxy: None,
            last_heartbeat_at: None,
            reconciled_at: None,
            reports_here: false,
            last_heard_at: None,
            last_possible_response_at: now,
            unconfirmed_since: None,
            reachability: InboundReachability::default(),
            up_since: now,
            declared_dead: false,
            listed: false,
            possibly_gone: false,
            spot_reclaim_at: None,
            tasks: Vec::new(),
            images: ImageCache::default(),
            idle_since: now,
            failed_jobs: BTreeSet::new(),
            quarantined: false,
            suspected_since: None,
            slowness: 1.0,
        }
    }

    /// Records that a node received a heartbeat at `received_at`. Unless it is an old copy, its response
    /// may have renewed the machine's lease. `check_order` is whether old copies are recognized by
    /// their position. Replies to direct commands do not count for this order: if heartbeats that a
    /// reply overtook were ignored, tasks could be started elsewhere before the lease has expired.
    pub fn record_heartbeat(&mut self, position: HeartbeatPosition, received_at: Time, check_order: bool) {
        if check_order && position <= self.newest_heartbeat_position {
            return;
        }
        self.newest_heartbeat_position = self.newest_heartbeat_position.max(position);
        self.last_possible_response_at = self.last_possible_response_at.max(received_at);
        if self.last_heard_at.is_some() {
            self.record_contact(received_at);
        }
    }

    /// Records that a node received a heartbeat at `received_at`. Replies to direct commands must not
    /// be recorded: otherwise, a machine that sends no heartbeats would be given work as long as tasks
    /// are cancelled there from time to time.
    pub fn record_contact(&mut self, received_at: Time) {
        self.last_heard_at = later_of(self.last_heard_at, received_at);
    }

    /// Applies the content of a newer heartbeat.
    pub fn apply_heartbeat(&mut self, heartbeat: &Heartbeat, now: Time) {
        self.newest_position = (heartbeat.epoch, heartbeat.sequence);
        self.content_position = self.newest_position;
        self.content_token = heartbeat.fencing_token;
        self.addr.clone_from(&heartbeat.addr);
        self.machine_type.clone_from(&heartbeat.machine_type);
        self.zone.clone_from(&heartbeat.zone);
        self.spot = heartbeat.spot;
        self.highest_token_seen = self.highest_token_seen.max(heartbeat.fencing_token);
        self.mark_up(now);
        self.spot_reclaim_at = heartbeat.notice_s.map(|notice_s| now + notice_s);
        self.tasks.clone_from(&heartbeat.tasks);
    }

    /// Marks a booting machine as up, after a heartbeat or according to the cloud's list.
    pub fn mark_up(&mut self, now: Time) {
        if self.phase == MachinePhase::Booting {
            self.phase = MachinePhase::Up;
            self.up_since = now;
            self.idle_since = now;
        }
    }

    /// Returns the seconds since the last heartbeat if the machine is up, otherwise 0.
    pub fn silence_s(&self, now: Time) -> Time {
        match self.phase {
            MachinePhase::Up => now - self.last_heard_at.unwrap_or(self.up_since),
            MachinePhase::Booting | MachinePhase::Terminating => 0.0,
        }
    }

    /// Whether the machine is up but has missed heartbeats; no work is placed on it then.
    pub fn missed_heartbeats(&self, now: Time, timing: &Timing) -> bool {
        self.silence_s(now) > timing.failure_suspicion_s / 2.0
    }

    /// Whether the machine has sent heartbeats and has not missed any since the last one.
    pub fn has_recent_heartbeats(&self, now: Time, timing: &Timing) -> bool {
        self.last_heard_at.is_some() && !self.missed_heartbeats(now, timing)
    }

    /// Records that a node received a heartbeat that is not a reply to a direct command.
    pub fn record_unsolicited_heartbeat(&mut self, received_at: Time) {
        self.record_contact(received_at);
        self.last_heartbeat_at = later_of(self.last_heartbeat_at, received_at);
    }

    /// Whether a heartbeat with the same content need not be reconciled, because this was done less
    /// than `validity_s` ago and nothing has changed since.
    pub fn is_reconciled(&self, now: Time, validity_s: Time) -> bool {
        self.reconciled_at.is_some_and(|at| now - at < validity_s)
    }

    /// Returns a heartbeat with a later sequence number and the content of the last one that had any.
    pub fn repeated_heartbeat(&self, sequence: u64) -> Heartbeat {
        Heartbeat {
            machine: self.id.clone(),
            addr: self.addr.clone(),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            epoch: self.content_position.0,
            sequence,
            fencing_token: self.content_token,
            notice_s: None,
            tasks: self.tasks.clone(),
        }
    }

    /// Records that a task on the machine needed `image`, of `size_gb` GB, at `needed_at`.
    pub fn record_image(&mut self, image: u32, needed_at: Time, size_gb: f64) {
        self.images.record(image, needed_at, size_gb);
    }

    /// Returns the images that the machine is expected to hold: the most recently needed ones that fit
    /// in its cache.
    pub fn cached_images(&self, cache_gb: f64) -> Vec<u32> {
        self.images.images_that_fit(cache_gb)
    }

    /// Returns at most `max_images` images that were needed at `since` or later, with their sizes in
    /// GB, most recently needed first.
    pub fn latest_images(&self, since: Time, max_images: usize) -> impl Iterator<Item = (u32, f64)> + '_ {
        self.images.latest(since, max_images)
    }

    /// Quarantines the machine because its tasks fail; it accepts no work and is scaled in.
    pub fn quarantine(&mut self) {
        if !self.quarantined {
            warn!(machine = %self.id, "machine quarantined: its tasks fail");
        }
        self.quarantined = true;
    }

    /// Whether tasks may be placed on the machine according to its own state.
    pub fn accepts_work(&self) -> bool {
        let is_cordoned = self.quarantined
            || self.suspected_since.is_some()
            || self.unconfirmed_since.is_some()
            || self.possibly_gone
            || self.reachability.receives_nothing();
        self.phase != MachinePhase::Terminating && self.spot_reclaim_at.is_none() && !is_cordoned
    }
}

fn later_of(known: Option<Time>, at: Time) -> Option<Time> {
    Some(known.map_or(at, |known| known.max(at)))
}
