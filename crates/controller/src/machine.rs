//! A machine as the leader knows it.

use crate::messages::Time;
use crate::one_way_partition::InboundReachability;
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
    Leaving,
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
    pub life: MachinePhase,
    /// Rental, or when it was first known.
    pub since: Time,
    /// The worker's newest (session, seq), and the token it had seen then.
    pub newest: (u64, u64),
    /// The same of what it sent by itself, which alone renews its lease: the answer to a direct
    /// command may come before the report that was made before it.
    newest_beat: (u64, u64),
    pub token_seen: u64,
    /// The report that its tasks here are of, in full.
    pub content: (u64, u64),
    /// The token that it had seen by then.
    pub content_token: u64,
    /// The node that took its newest report, if not this one.
    pub via: Option<ProxyId>,
    /// When its newest report came to a node that no command had asked for.
    pub reported: Option<Time>,
    /// When its report last showed just what is placed there, with nothing to be
    /// told; None: not since something changed.
    pub calm_at: Option<Time>,
    /// It stays with this node: it reports here, and was not sent on.
    pub stays: bool,
    /// When its newest report came to this node or to a gateway.
    pub heard: Option<Time>,
    /// No report that it is known to have been answered came later than that.
    pub answered: Time,
    /// When it was first heard, while nothing else shows that it is there: the
    /// report may have been held for minutes and speak of a machine long gone.
    pub doubted: Option<Time>,
    /// Whether it hears what it is answered.
    pub ears: InboundReachability,
    /// Since when this leader has taken it for up.
    pub up_since: Time,
    /// It was silent for too long and is given back.
    pub given_up: bool,
    pub listed: bool,
    /// Cloud takes it away at that time.
    pub notice_until: Option<Time>,
    pub tasks: Vec<TaskStatus>,
    /// Images its tasks needed, with when last and how large; the latest first.
    images: Vec<(u32, Time, f64)>,
    pub idle_since: Time,
    /// Jobs that failed here since the last success, for no other known reason.
    pub failures: BTreeSet<String>,
    pub sick: bool,
    /// Several jobs failed here: no work until it is clear whose fault it was.
    pub accused: Option<Time>,
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
            life: MachinePhase::Booting,
            since: now,
            newest: (0, 0),
            newest_beat: (0, 0),
            token_seen: 0,
            content: (0, 0),
            content_token: 0,
            via: None,
            reported: None,
            calm_at: None,
            stays: false,
            heard: None,
            answered: now,
            doubted: None,
            ears: InboundReachability::default(),
            up_since: now,
            given_up: false,
            listed: false,
            notice_until: None,
            tasks: Vec::new(),
            images: Vec::new(),
            idle_since: now,
            failures: BTreeSet::new(),
            sick: false,
            accused: None,
            slowness: 1.0,
        }
    }

    /// A report of that place in its worker's order came to a node at `came`: its lease may have
    /// been renewed, unless it is one that came before (`order`). (Reports that the answer to
    /// a direct command had overtaken once counted for nothing, and what ran on there was
    /// started elsewhere before the lease had ended.)
    pub fn beat(&mut self, place: (u64, u64), came: Time, order: bool) {
        if place > self.newest_beat || !order {
            self.newest_beat = self.newest_beat.max(place);
            self.answered = self.answered.max(came);
            if self.heard.is_some() {
                self.heard_at(came);
            }
        }
    }

    /// A report, that no command had asked for, came to a node at `came`. (The answers to
    /// direct commands once counted too: a mute machine was given work for as long as
    /// something was cancelled there now and then.)
    pub fn heard_at(&mut self, came: Time) {
        self.heard = later(self.heard, came);
    }

    /// Takes what a newer report says.
    pub fn update(&mut self, r: &Heartbeat, now: Time) {
        self.newest = (r.session, r.seq);
        self.content = self.newest;
        self.content_token = r.token;
        self.addr.clone_from(&r.addr);
        self.machine_type.clone_from(&r.machine_type);
        self.zone.clone_from(&r.zone);
        self.spot = r.spot;
        self.token_seen = self.token_seen.max(r.token);
        self.is_up(now);
        self.notice_until = r.notice_s.map(|s| now + s);
        self.tasks.clone_from(&r.tasks);
    }

    /// It is up, whether it was heard or the list says so.
    pub fn is_up(&mut self, now: Time) {
        if self.life == MachinePhase::Booting {
            self.life = MachinePhase::Up;
            (self.up_since, self.idle_since) = (now, now);
        }
    }

    /// How long nothing has been heard of it, if it is up.
    pub fn silence(&self, now: Time) -> Time {
        match self.life {
            MachinePhase::Up => now - self.heard.unwrap_or(self.up_since),
            _ => 0.0,
        }
    }

    /// Whether it is up, but has missed reports: no work goes there.
    pub fn quiet(&self, now: Time, d: &Timing) -> bool {
        self.silence(now) > d.silent_s / 2.0
    }

    /// Whether it was heard and has missed no reports since.
    pub fn heard_lately(&self, now: Time, d: &Timing) -> bool {
        self.heard.is_some() && !self.quiet(now, d)
    }

    /// A report that no command had asked for came to a node at `came`.
    pub fn reported_at(&mut self, came: Time) {
        self.heard_at(came);
        self.reported = later(self.reported, came);
    }

    /// Whether a report with the same content needs no look: nothing has changed
    /// here since a close one, which was not long ago.
    pub fn calm(&self, now: Time, within: Time) -> bool {
        self.calm_at.is_some_and(|at| now - at < within)
    }

    /// A later report that says the same as the last one in full.
    pub fn repeated(&self, seq: u64) -> Heartbeat {
        Heartbeat {
            machine: self.id.clone(),
            addr: self.addr.clone(),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            session: self.content.0,
            seq,
            token: self.content_token,
            notice_s: None,
            tasks: self.tasks.clone(),
        }
    }

    /// A task that needs `image` was there at that time.
    pub fn note_image(&mut self, image: u32, at: Time, gb: f64) {
        let at = self.images.iter().find(|i| i.0 == image).map_or(at, |i| i.1.max(at));
        self.images.retain(|i| i.0 != image);
        let place = self.images.partition_point(|i| i.1 >= at);
        self.images.insert(place, (image, at, gb));
        self.images.truncate(MOST_IMAGES);
    }

    /// The images that it should still hold: the latest that fit its cache.
    pub fn cached(&self, cache_gb: f64) -> Vec<u32> {
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
        if !self.sick {
            warn!(machine = %self.id, "quarantined, it fails its tasks");
        }
        self.sick = true;
    }

    pub fn takes_work(&self) -> bool {
        let troubled = self.sick || self.accused.is_some() || self.doubted.is_some() || self.ears.deaf();
        self.life != MachinePhase::Leaving && self.notice_until.is_none() && !troubled
    }
}

fn later(a: Option<Time>, b: Time) -> Option<Time> {
    Some(a.map_or(b, |a| a.max(b)))
}
