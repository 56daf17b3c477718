//! A machine as the leader knows it.

use crate::agents::one_way_partition::InboundReachability;
use crate::messages::Time;
use protocol::worker::{Heartbeat, TaskStatus};
use settings::Timing;
use sharding::ProxyId;
use std::collections::BTreeSet;
use tracing::warn;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachinePhase {
    /// Rented, its worker not heard yet.
    Booting,
    Up,
    /// To be deleted; takes no work.
    Terminating,
}

/// Most images that are remembered of a machine.
const MOST_IMAGES: usize = 64;

#[derive(Debug, Clone)]
pub struct Machine {
    pub id: String,
    pub addr: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub phase: MachinePhase,
    /// Rental, or when it was first known.
    pub known_since: Time,
    /// The worker's newest (session, seq), and the token it had seen then.
    pub newest_position: (u64, u64),
    /// The same of what it sent by itself, which alone renews its lease: the answer to a direct
    /// command may come before the report that was made before it.
    newest_heartbeat_position: (u64, u64),
    pub highest_token_seen: u64,
    /// The report that its tasks here are of, in full.
    pub content_position: (u64, u64),
    /// The token that it had seen by then.
    pub content_token: u64,
    /// The node that took its newest report, if not this one.
    pub proxy: Option<ProxyId>,
    /// When its newest report came to a node that no command had asked for.
    pub last_heartbeat_at: Option<Time>,
    /// When its report last showed just what is placed there, with nothing to be
    /// told; None: not since something changed.
    pub reconciled_at: Option<Time>,
    /// It stays with this node: it reports here, and was not sent on.
    pub reports_here: bool,
    /// When its newest report came to this node or to a gateway.
    pub last_heard_at: Option<Time>,
    /// No report that it is known to have been answered came later than that.
    pub last_possible_response_at: Time,
    /// When it was first heard, while nothing else shows that it is there: the
    /// report may have been held for minutes and speak of a machine long gone.
    pub unconfirmed_since: Option<Time>,
    /// Whether it hears what it is answered.
    pub reachability: InboundReachability,
    /// Since when this leader has taken it for up.
    pub up_since: Time,
    /// It was silent for too long and is given back.
    pub given_up: bool,
    pub listed: bool,
    /// Cloud takes it away at that time.
    pub spot_reclaim_at: Option<Time>,
    pub tasks: Vec<TaskStatus>,
    /// Images its tasks needed, with when last and how large; the latest first.
    images: Vec<(u32, Time, f64)>,
    pub idle_since: Time,
    /// Jobs that failed here since the last success, for no other known reason.
    pub failed_jobs: BTreeSet<String>,
    pub quarantined: bool,
    /// Several jobs failed here: no work until it is clear whose fault it was.
    pub suspected_since: Option<Time>,
    pub slowness: f64,
}

impl Machine {
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
            given_up: false,
            listed: false,
            spot_reclaim_at: None,
            tasks: Vec::new(),
            images: Vec::new(),
            idle_since: now,
            failed_jobs: BTreeSet::new(),
            quarantined: false,
            suspected_since: None,
            slowness: 1.0,
        }
    }

    /// A report of that place in its worker's order came to a node at `came`: its lease may have
    /// been renewed, unless it is one that came before (`order`). (Reports that the answer to
    /// a direct command had overtaken once counted for nothing, and what ran on there was
    /// started elsewhere before the lease had ended.)
    pub fn record_heartbeat(&mut self, place: (u64, u64), came: Time, order: bool) {
        if place > self.newest_heartbeat_position || !order {
            self.newest_heartbeat_position = self.newest_heartbeat_position.max(place);
            self.last_possible_response_at = self.last_possible_response_at.max(came);
            if self.last_heard_at.is_some() {
                self.record_contact(came);
            }
        }
    }

    /// A report, that no command had asked for, came to a node at `came`. (The answers to
    /// direct commands once counted too: a mute machine was given work for as long as
    /// something was cancelled there now and then.)
    pub fn record_contact(&mut self, came: Time) {
        self.last_heard_at = later(self.last_heard_at, came);
    }

    /// Takes what a newer report says.
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
        self.spot_reclaim_at = heartbeat.notice_s.map(|s| now + s);
        self.tasks.clone_from(&heartbeat.tasks);
    }

    /// It is up, whether it was heard or the list says so.
    pub fn mark_up(&mut self, now: Time) {
        if self.phase == MachinePhase::Booting {
            self.phase = MachinePhase::Up;
            (self.up_since, self.idle_since) = (now, now);
        }
    }

    /// How long nothing has been heard of it, if it is up.
    pub fn silence_s(&self, now: Time) -> Time {
        match self.phase {
            MachinePhase::Up => now - self.last_heard_at.unwrap_or(self.up_since),
            _ => 0.0,
        }
    }

    /// Whether it is up, but has missed reports: no work goes there.
    pub fn missed_heartbeats(&self, now: Time, timing: &Timing) -> bool {
        self.silence_s(now) > timing.failure_suspicion_s / 2.0
    }

    /// Whether it was heard and has missed no reports since.
    pub fn is_heard(&self, now: Time, timing: &Timing) -> bool {
        self.last_heard_at.is_some() && !self.missed_heartbeats(now, timing)
    }

    /// A report that no command had asked for came to a node at `came`.
    pub fn record_unsolicited_heartbeat(&mut self, came: Time) {
        self.record_contact(came);
        self.last_heartbeat_at = later(self.last_heartbeat_at, came);
    }

    /// Whether a report with the same content needs no look: nothing has changed
    /// here since a close one, which was not long ago.
    pub fn is_reconciled(&self, now: Time, within: Time) -> bool {
        self.reconciled_at.is_some_and(|at| now - at < within)
    }

    /// A later report that says the same as the last one in full.
    pub fn repeated_heartbeat(&self, seq: u64) -> Heartbeat {
        Heartbeat {
            machine: self.id.clone(),
            addr: self.addr.clone(),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            epoch: self.content_position.0,
            sequence: seq,
            fencing_token: self.content_token,
            notice_s: None,
            tasks: self.tasks.clone(),
        }
    }

    /// A task that needs `image` was there at that time.
    pub fn record_image(&mut self, image: u32, at: Time, gb: f64) {
        let at = self.images.iter().find(|i| i.0 == image).map_or(at, |i| i.1.max(at));
        self.images.retain(|i| i.0 != image);
        let place = self.images.partition_point(|i| i.1 >= at);
        self.images.insert(place, (image, at, gb));
        self.images.truncate(MOST_IMAGES);
    }

    /// The images that it should still hold: the latest that fit its cache.
    pub fn cached_images(&self, cache_gb: f64) -> Vec<u32> {
        let mut total = 0.0;
        let fits = |(_, _, gb): &&(u32, Time, f64)| {
            total += gb;
            total <= cache_gb.max(1.0)
        };
        self.images.iter().take_while(fits).map(|i| i.0).collect()
    }

    /// The latest images, as far as they tell anything at `since`.
    pub fn latest_images(&self, since: Time, most: usize) -> impl Iterator<Item = (u32, f64)> + '_ {
        self.images.iter().filter(move |i| i.1 >= since).take(most).map(|i| (i.0, i.2))
    }

    /// It fails its tasks: no more work for it, and back to the cloud.
    pub fn quarantine(&mut self) {
        if !self.quarantined {
            warn!(machine = %self.id, "machine quarantined: its tasks fail");
        }
        self.quarantined = true;
    }

    pub fn accepts_work(&self) -> bool {
        let troubled = self.quarantined
            || self.suspected_since.is_some()
            || self.unconfirmed_since.is_some()
            || self.reachability.receives_nothing();
        self.phase != MachinePhase::Terminating && self.spot_reclaim_at.is_none() && !troubled
    }
}

fn later(a: Option<Time>, b: Time) -> Option<Time> {
    Some(a.map_or(b, |a| a.max(b)))
}
