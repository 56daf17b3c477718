//! A worker: leases, tokens, tasks, commands.

use protocol::cloud::ListedMachine;
use protocol::worker::*;
use std::collections::{BTreeMap, BTreeSet};

pub type TaskKey = (String, u32);

#[derive(Debug, Clone, PartialEq)]
pub enum Phase {
    Fetching {
        until: f64,
    },
    Waiting {
        since: f64,
    },
    Running {
        until: f64,
    },
    /// Its gang lost a task; it notices then.
    Orphaned {
        until: f64,
    },
    Exited(ExitCause),
}

#[derive(Debug, Clone)]
pub struct Task {
    pub attempt: u64,
    pub phase: Phase,
}

impl Task {
    /// It has its image and has not exited.
    pub fn on_machine(&self) -> bool {
        !matches!(self.phase, Phase::Fetching { .. } | Phase::Exited(_))
    }
}

pub struct Worker {
    pub place: ListedMachine,
    pub session: u64,
    pub seq: u64,
    pub token: u64,
    /// When the last answered report was sent (or the session began).
    pub renewed: f64,
    pub node: usize,
    pub next_report: f64,
    pub last_report: f64,
    /// (seq, session, sent) of the report in flight.
    pub in_flight: Option<(u64, u64, f64)>,
    pub tasks: BTreeMap<TaskKey, Task>,
    pub faulty: bool,
    /// What a job's first fetch takes here; its image stays.
    pub fetch_s: Option<f64>,
    pub fetched: BTreeSet<String>,
    pub hung_until: f64,
    /// Its reports leave it, but nothing reaches it until then.
    pub deaf_until: f64,
    /// It reaches no controller until then, while direct commands reach it.
    pub mute_until: f64,
    token_changed_at: f64,
}

/// What a launch needs to know of its job.
pub struct Launch {
    pub fetch_s: f64,
}

impl Worker {
    pub fn new(place: ListedMachine, now: f64, node: usize) -> Self {
        Worker {
            place,
            session: 1,
            seq: 0,
            token: 0,
            renewed: now,
            node,
            next_report: now,
            last_report: f64::MIN,
            in_flight: None,
            tasks: BTreeMap::new(),
            faulty: false,
            fetch_s: None,
            fetched: BTreeSet::new(),
            hung_until: 0.0,
            deaf_until: 0.0,
            mute_until: 0.0,
            token_changed_at: f64::MIN,
        }
    }

    pub fn report(&mut self) -> Heartbeat {
        self.seq += 1;
        let tasks = self
            .tasks
            .iter()
            .map(|((job, n), t)| TaskStatus {
                task: task_name(job, *n),
                attempt: t.attempt,
                state: match t.phase {
                    Phase::Fetching { .. } => TaskState::Fetching,
                    Phase::Waiting { .. } => TaskState::Waiting,
                    Phase::Running { .. } | Phase::Orphaned { .. } => TaskState::Running,
                    Phase::Exited(_) => TaskState::Exited,
                },
                exit_cause: match t.phase {
                    Phase::Exited(c) => Some(c),
                    _ => None,
                },
                checkpointed: None,
            })
            .collect();
        Heartbeat {
            machine: self.place.id.clone(),
            addr: self.place.addr.clone().unwrap_or_default(),
            machine_type: self.place.machine_type.clone(),
            zone: self.place.zone.clone(),
            spot: self.place.spot,
            epoch: self.session,
            sequence: self.seq,
            fencing_token: self.token,
            notice_s: None,
            tasks,
        }
    }

    /// Something changed: the next report goes out soon.
    pub fn hurry(&mut self, now: f64) {
        self.next_report = self.next_report.min(now.max(self.last_report + 0.5));
    }

    pub fn see_token(&mut self, token: u64, now: f64, lease_s: f64) {
        if token > self.token {
            self.token = token;
            if now - self.token_changed_at > lease_s / 2.0 {
                self.token_changed_at = now;
                self.hurry(now);
            }
        }
    }

    pub fn expire(&mut self, now: f64, lease_s: f64) -> bool {
        if now - self.renewed <= lease_s {
            return false;
        }
        self.tasks.clear();
        self.session += 1;
        self.renewed = now;
        self.in_flight = None;
        self.hurry(now);
        true
    }

    pub fn command(&mut self, now: f64, c: &Command, launch: Option<Launch>) {
        let Some((job, n)) = split_task(&c.task) else { return };
        let key = (job.to_string(), n);
        match c.kind {
            CommandKind::Start => {
                let known = self.tasks.get(&key);
                if known.is_some_and(|t| t.attempt == c.attempt) {
                    return;
                }
                let phase = match (known, launch) {
                    (Some(t), _) if !matches!(t.phase, Phase::Exited(_)) => return,
                    (_, None) => Phase::Exited(ExitCause::Unknown),
                    (_, Some(l)) => Phase::Fetching { until: now + l.fetch_s },
                };
                self.tasks.insert(key, Task { attempt: c.attempt, phase });
            }
            CommandKind::Stop => {
                if let Some(t) = self.tasks.get_mut(&key).filter(|t| t.attempt == c.attempt) {
                    if !matches!(t.phase, Phase::Exited(_)) {
                        t.phase = Phase::Exited(ExitCause::Stopped);
                    }
                }
            }
            CommandKind::Forget => {
                if self
                    .tasks
                    .get(&key)
                    .is_some_and(|t| t.attempt == c.attempt && matches!(t.phase, Phase::Exited(_)))
                {
                    self.tasks.remove(&key);
                }
            }
        }
        self.hurry(now);
    }
}
