//! A machine as the leader knows it.

mod image_cache;

use crate::agents::one_way_partition::InboundReachability;
use crate::messages::Time;
use image_cache::ImageCache;
use protocol::worker::{Heartbeat, TaskStatus};
use settings::Timing;
use sharding::ProxyId;
use std::collections::BTreeSet;
use tracing::warn;

/// A heartbeat's place in the order of its agent's heartbeats: the agent epoch and, within that, the
/// sequence number.
pub type HeartbeatPosition = (u64, u64);

/// Where a machine is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachinePhase {
    /// Created, and no heartbeat has come yet.
    Booting,
    /// In service.
    Up,
    /// To be deleted; takes no work.
    Terminating,
}

/// A machine as the leader knows it, from heartbeats, the cloud's list and stored placements.
#[derive(Debug, Clone)]
pub struct Machine {
    /// The cloud's id; never used again.
    pub id: String,
    /// The agent's address, for direct commands; empty before the first heartbeat.
    pub addr: String,
    /// The name of its machine type.
    pub machine_type: String,
    /// The zone that it is in.
    pub zone: String,
    /// Whether the cloud may reclaim it.
    pub spot: bool,
    /// Where it is in its life.
    pub phase: MachinePhase,
    /// When it was created, or first known.
    pub known_since: Time,
    /// The position of the newest heartbeat, or answer to a direct command.
    pub newest_position: HeartbeatPosition,
    /// The position of the newest heartbeat that the agent sent by itself. Only these renew its
    /// lease, and the answer to a direct command may overtake one that was sent before it.
    newest_heartbeat_position: HeartbeatPosition,
    /// The highest fencing token that its agent has seen.
    pub highest_token_seen: u64,
    /// The position of the heartbeat that `tasks` is the content of.
    pub content_position: HeartbeatPosition,
    /// The fencing token that the agent had seen by then.
    pub content_token: u64,
    /// The node that received its newest heartbeat, if not this one.
    pub proxy: Option<ProxyId>,
    /// When its newest heartbeat, except answers to direct commands, came to a node.
    pub last_heartbeat_at: Option<Time>,
    /// When its heartbeat last showed exactly what is placed there, with nothing left to
    /// send; None: something has changed since.
    pub reconciled_at: Option<Time>,
    /// Its heartbeats come to this node, and it was not redirected to a proxy.
    pub reports_here: bool,
    /// When its newest heartbeat came to this node or to a proxy.
    pub last_heard_at: Option<Time>,
    /// No heartbeat that may have been answered came later than that.
    pub last_possible_response_at: Time,
    /// When its first heartbeat came, while nothing else shows that the machine exists: the
    /// heartbeat may have been delayed for minutes, and the machine be gone.
    pub unconfirmed_since: Option<Time>,
    /// Whether responses reach it.
    pub reachability: InboundReachability,
    /// Since when this leader has taken it for up.
    pub up_since: Time,
    /// It was silent for too long and is to be scaled in.
    pub declared_dead: bool,
    /// The cloud's list has shown it.
    pub listed: bool,
    /// When the cloud reclaims it, if that was announced.
    pub spot_reclaim_at: Option<Time>,
    /// Its tasks, by the heartbeat at `content_position`.
    pub tasks: Vec<TaskStatus>,
    /// The images that its tasks needed.
    images: ImageCache,
    /// Since when it has had no work.
    pub idle_since: Time,
    /// Jobs that failed here since the last success, for no other known reason.
    pub failed_jobs: BTreeSet<String>,
    /// Its tasks fail: it takes no work and is to be scaled in.
    pub quarantined: bool,
    /// Since when several jobs have failed here: no work until it is clear whether the machine is at
    /// fault.
    pub suspected_since: Option<Time>,
    /// Its run times as a multiple of what is expected.
    pub slowness: f64,
}

impl Machine {
    /// A machine that was just created, or is known by name only.
    pub fn new(id: &str, machine_type: &str, zone: &str, spot: bool, now: Time) -> Self {
        Machine {
            id: id.to_string(),
            addr: String::new(),
            machine_type: machine_type.to_string(),
            zone: zone.to_string(),
            spot,
            phase: MachinePhase::Booting,
            known_since: now,
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

    /// A heartbeat came to a node at `received_at`: its response may have renewed the machine's
    /// lease, unless it is an old copy. `check_order`: whether old copies are recognized by
    /// their position.
    /// (Heartbeats that the answer to a direct command had overtaken were once ignored, and tasks
    /// were started elsewhere before the lease had expired.)
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

    /// A heartbeat came to a node at `received_at`. (Answers to direct commands once counted too: a
    /// machine that sent no heartbeats was given work as long as something was now and then
    /// cancelled there.)
    pub fn record_contact(&mut self, received_at: Time) {
        self.last_heard_at = latest(self.last_heard_at, received_at);
    }

    /// Takes over the content of a newer heartbeat.
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

    /// The machine is up, by a heartbeat or by the cloud's list.
    pub fn mark_up(&mut self, now: Time) {
        if self.phase == MachinePhase::Booting {
            self.phase = MachinePhase::Up;
            self.up_since = now;
            self.idle_since = now;
        }
    }

    /// Seconds since the last heartbeat, if the machine is up; otherwise 0.
    pub fn silence_s(&self, now: Time) -> Time {
        match self.phase {
            MachinePhase::Up => now - self.last_heard_at.unwrap_or(self.up_since),
            MachinePhase::Booting | MachinePhase::Terminating => 0.0,
        }
    }

    /// Whether it is up but has missed heartbeats: no work is placed there.
    pub fn missed_heartbeats(&self, now: Time, timing: &Timing) -> bool {
        self.silence_s(now) > timing.failure_suspicion_s / 2.0
    }

    /// Whether heartbeats have come and none was missed since.
    pub fn has_recent_heartbeats(&self, now: Time, timing: &Timing) -> bool {
        self.last_heard_at.is_some() && !self.missed_heartbeats(now, timing)
    }

    /// A heartbeat that is no answer to a direct command came to a node at `received_at`.
    pub fn record_unsolicited_heartbeat(&mut self, received_at: Time) {
        self.record_contact(received_at);
        self.last_heartbeat_at = latest(self.last_heartbeat_at, received_at);
    }

    /// Whether a heartbeat with the same content need not be reconciled: nothing has changed
    /// since that was done, less than `validity_s` ago.
    pub fn is_reconciled(&self, now: Time, validity_s: Time) -> bool {
        self.reconciled_at.is_some_and(|at| now - at < validity_s)
    }

    /// A later heartbeat with the content of the last one that had any.
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

    /// A task that needs `image`, of that size in GB, was here at that time.
    pub fn record_image(&mut self, image: u32, needed_at: Time, size_gb: f64) {
        self.images.record(image, needed_at, size_gb);
    }

    /// The images that it should still hold: the latest that fit its cache.
    pub fn cached_images(&self, cache_gb: f64) -> Vec<u32> {
        self.images.held_in(cache_gb)
    }

    /// At most `max_images` that were needed at `since` or later, with their sizes in GB; the latest
    /// first.
    pub fn latest_images(&self, since: Time, max_images: usize) -> impl Iterator<Item = (u32, f64)> + '_ {
        self.images.latest(since, max_images)
    }

    /// Its tasks fail: no more work for it, and it is scaled in.
    pub fn quarantine(&mut self) {
        if !self.quarantined {
            warn!(machine = %self.id, "machine quarantined: its tasks fail");
        }
        self.quarantined = true;
    }

    /// Whether tasks may be placed on it, as far as its own state shows.
    pub fn accepts_work(&self) -> bool {
        let is_cordoned = self.quarantined
            || self.suspected_since.is_some()
            || self.unconfirmed_since.is_some()
            || self.reachability.receives_nothing();
        self.phase != MachinePhase::Terminating && self.spot_reclaim_at.is_none() && !is_cordoned
    }
}

fn latest(known: Option<Time>, at: Time) -> Option<Time> {
    Some(known.map_or(at, |known| known.max(at)))
}
