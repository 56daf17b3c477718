//! A stand-in for a worker: its lease, fencing tokens, tasks and commands.

use protocol::cloud::ListedMachine;
use protocol::worker::*;
use std::collections::{BTreeMap, BTreeSet};

/// The shortest time, in seconds, between heartbeats that are sent early.
const MIN_HEARTBEAT_GAP_S: f64 = 0.5;

/// A task of a job.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskKey {
    /// The job's id.
    pub job: String,
    /// The task's number in the job, from 0 on.
    pub index: u32,
}

impl std::fmt::Debug for TaskKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("").field(&self.job).field(&self.index).finish()
    }
}

/// How far a task is on its machine. Times are in simulated seconds.
#[derive(Debug, Clone, PartialEq)]
pub enum TaskPhase {
    /// Its image is being fetched.
    Fetching {
        /// When the image is there.
        until: f64,
    },
    /// It waits for its gang.
    Waiting {
        /// When it began to wait.
        since: f64,
    },
    /// It runs.
    Running {
        /// When it completes.
        until: f64,
    },
    /// It runs, but its gang has lost a task.
    Orphaned {
        /// When it notices.
        until: f64,
    },
    /// It has ended.
    Exited(ExitCause),
}

/// A task on a machine.
#[derive(Debug, Clone)]
pub struct Task {
    /// Which attempt of the task it is.
    pub attempt: u64,
    /// How far it is.
    pub phase: TaskPhase,
}

impl Task {
    /// Whether it has its image and has not exited.
    pub fn on_machine(&self) -> bool {
        !matches!(self.phase, TaskPhase::Fetching { .. } | TaskPhase::Exited(_))
    }

    /// Whether it has exited.
    pub fn has_exited(&self) -> bool {
        matches!(self.phase, TaskPhase::Exited(_))
    }

    fn status(&self, key: &TaskKey) -> TaskStatus {
        let (state, exit_cause) = match self.phase {
            TaskPhase::Fetching { .. } => (TaskState::Fetching, None),
            TaskPhase::Waiting { .. } => (TaskState::Waiting, None),
            TaskPhase::Running { .. } | TaskPhase::Orphaned { .. } => (TaskState::Running, None),
            TaskPhase::Exited(cause) => (TaskState::Exited, Some(cause)),
        };
        let task = task_name(&key.job, key.index);
        TaskStatus { task, attempt: self.attempt, state, exit_cause, checkpointed: None }
    }
}

/// A heartbeat that has got no response yet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HeartbeatInFlight {
    /// Its number.
    pub sequence: u64,
    /// The worker's epoch as it was sent.
    pub epoch: u64,
    /// When it was sent, in simulated seconds.
    pub sent_at: f64,
}

/// What launching a task takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Launch {
    /// How long its image is fetched, in seconds.
    pub fetch_s: f64,
}

/// A worker and its machine. Times are in simulated seconds.
pub struct Worker {
    /// The machine as the cloud lists it.
    pub machine: ListedMachine,
    /// Rises whenever the lease ends.
    pub epoch: u64,
    /// The number of its last heartbeat.
    pub sequence: u64,
    /// The highest fencing token that it has seen.
    pub fencing_token: u64,
    /// When the last accepted heartbeat was sent, or the epoch began.
    pub renewed_at: f64,
    /// The controller that it sends heartbeats to.
    pub node: usize,
    /// When the next heartbeat is due.
    pub next_heartbeat: f64,
    /// The heartbeat that waits for a response.
    pub in_flight: Option<HeartbeatInFlight>,
    /// Its tasks, exited ones included until they are cleared.
    pub tasks: BTreeMap<TaskKey, Task>,
    /// It fails every task.
    pub faulty: bool,
    /// How long a job's image takes here for the first time, if not as usual.
    pub first_fetch_s: Option<f64>,
    /// Jobs whose image has been fetched.
    pub fetched_images: BTreeSet<String>,
    /// It does nothing until then.
    pub hung_until: f64,
    /// Its heartbeats leave it, but nothing reaches it until then.
    pub responses_lost_until: f64,
    /// Its heartbeats arrive nowhere until then, while direct commands reach it.
    pub heartbeats_lost_until: f64,
    last_heartbeat: f64,
    token_changed_at: f64,
}

impl Worker {
    /// A worker that starts at `now` and sends its heartbeats to `node`.
    pub fn new(machine: ListedMachine, now: f64, node: usize) -> Self {
        Worker {
            machine,
            epoch: 1,
            sequence: 0,
            fencing_token: 0,
            renewed_at: now,
            node,
            next_heartbeat: now,
            in_flight: None,
            tasks: BTreeMap::new(),
            faulty: false,
            first_fetch_s: None,
            fetched_images: BTreeSet::new(),
            hung_until: 0.0,
            responses_lost_until: 0.0,
            heartbeats_lost_until: 0.0,
            last_heartbeat: f64::MIN,
            token_changed_at: f64::MIN,
        }
    }

    /// Sends a heartbeat, which waits for a response from then on.
    pub fn send_heartbeat(&mut self, now: f64) -> Heartbeat {
        let heartbeat = self.next_heartbeat_body();
        let sent = HeartbeatInFlight { sequence: self.sequence, epoch: self.epoch, sent_at: now };
        self.in_flight = Some(sent);
        self.last_heartbeat = now;
        heartbeat
    }

    /// The next heartbeat, also as the reply to direct commands.
    pub fn next_heartbeat_body(&mut self) -> Heartbeat {
        self.sequence += 1;
        Heartbeat {
            machine: self.machine.id.clone(),
            addr: self.machine.addr.clone().unwrap_or_default(),
            machine_type: self.machine.machine_type.clone(),
            zone: self.machine.zone.clone(),
            spot: self.machine.spot,
            epoch: self.epoch,
            sequence: self.sequence,
            fencing_token: self.fencing_token,
            notice_s: None,
            tasks: self.tasks.iter().map(|(key, task)| task.status(key)).collect(),
        }
    }

    /// How long a job's image takes here, if this is its first fetch and it takes unusually long.
    pub fn first_fetch_of(&self, job: &str) -> Option<f64> {
        self.first_fetch_s.filter(|_| !self.fetched_images.contains(job))
    }

    /// Something changed: the next heartbeat goes out soon.
    pub fn expedite_heartbeat(&mut self, now: f64) {
        let earliest = now.max(self.last_heartbeat + MIN_HEARTBEAT_GAP_S);
        self.next_heartbeat = self.next_heartbeat.min(earliest);
    }

    /// Remembers a fencing token if it is the highest so far.
    pub fn observe_token(&mut self, token: u64, now: f64, lease_s: f64) {
        if token <= self.fencing_token {
            return;
        }
        self.fencing_token = token;
        if now - self.token_changed_at > lease_s / 2.0 {
            self.token_changed_at = now;
            self.expedite_heartbeat(now);
        }
    }

    /// Ends all tasks and begins a new epoch if the lease has expired. Whether it has.
    pub fn expire_lease(&mut self, now: f64, lease_s: f64) -> bool {
        if now - self.renewed_at <= lease_s {
            return false;
        }
        self.tasks.clear();
        self.epoch += 1;
        self.renewed_at = now;
        self.in_flight = None;
        self.expedite_heartbeat(now);
        true
    }

    /// Executes a command. A task without a `launch` fails to start.
    pub fn execute(&mut self, now: f64, command: &Command, launch: Option<Launch>) {
        let Some((job, index)) = split_task(&command.task) else { return };
        let key = TaskKey { job: job.to_string(), index };
        match command.kind {
            CommandKind::Start => {
                let started = self.start(now, key, command.attempt, launch);
                if !started {
                    return;
                }
            }
            CommandKind::Stop => {
                let task = self.tasks.get_mut(&key).filter(|task| task.attempt == command.attempt);
                if let Some(task) = task.filter(|task| !task.has_exited()) {
                    task.phase = TaskPhase::Exited(ExitCause::Stopped);
                }
            }
            CommandKind::Forget => {
                let task = self.tasks.get(&key);
                if task.is_some_and(|task| task.attempt == command.attempt && task.has_exited()) {
                    self.tasks.remove(&key);
                }
            }
        }
        self.expedite_heartbeat(now);
    }

    /// Begins a task's attempt; false if it is known, or an earlier one goes on.
    fn start(&mut self, now: f64, key: TaskKey, attempt: u64, launch: Option<Launch>) -> bool {
        let known = self.tasks.get(&key);
        if known.is_some_and(|task| task.attempt == attempt || !task.has_exited()) {
            return false;
        }
        let phase = match launch {
            None => TaskPhase::Exited(ExitCause::Unknown),
            Some(launch) => TaskPhase::Fetching { until: now + launch.fetch_s },
        };
        self.tasks.insert(key, Task { attempt, phase });
        true
    }
}
