//! Simulated worker with its lease, fencing tokens, tasks and commands.

use protocol::cloud::ListedMachine;
use protocol::worker::*;
use std::collections::{BTreeMap, BTreeSet};

/// Minimum interval between a heartbeat and a following one that is sent early, in seconds.
const MIN_HEARTBEAT_GAP_S: f64 = 0.5;

/// Key of a task: its job and its index.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskKey {
    /// Id of the job.
    pub job: String,
    /// Index of the task in the job, starting at 0.
    pub index: u32,
}

impl std::fmt::Debug for TaskKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("").field(&self.job).field(&self.index).finish()
    }
}

/// Phase of a task on its machine. Times are in simulated seconds.
#[derive(Debug, Clone, PartialEq)]
pub enum TaskPhase {
    /// The image is being fetched.
    Fetching {
        /// Time at which the image is available.
        until: f64,
    },
    /// The task is waiting for the rest of its gang.
    Waiting {
        /// Time at which it began to wait.
        since: f64,
    },
    /// The task is running.
    Running {
        /// Time at which it completes.
        until: f64,
    },
    /// The task is running, but its gang has lost another task.
    Orphaned {
        /// Time at which it notices the loss and exits.
        until: f64,
    },
    /// The task has exited.
    Exited(ExitCause),
}

/// Task on a machine.
#[derive(Debug, Clone)]
pub struct Task {
    /// Attempt number.
    pub attempt: u64,
    /// Current phase.
    pub phase: TaskPhase,
}

impl Task {
    /// Returns whether the image has been fetched and the task has not exited.
    pub fn on_machine(&self) -> bool {
        !matches!(self.phase, TaskPhase::Fetching { .. } | TaskPhase::Exited(_))
    }

    /// Returns whether the task has exited.
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

/// Heartbeat without a response so far.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HeartbeatInFlight {
    /// Sequence number of the heartbeat.
    pub sequence: u64,
    /// Epoch of the worker when it was sent.
    pub epoch: u64,
    /// Time of sending, in simulated seconds.
    pub sent_at: f64,
}

/// Parameters of a task launch.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Launch {
    /// Duration of the image fetch, in seconds.
    pub fetch_s: f64,
}

/// Worker and its machine. Times are in simulated seconds.
pub struct Worker {
    /// Machine as listed by the cloud.
    pub machine: ListedMachine,
    /// Epoch, incremented whenever the lease expires.
    pub epoch: u64,
    /// Sequence number of the last heartbeat.
    pub sequence: u64,
    /// Highest fencing token seen so far.
    pub fencing_token: u64,
    /// Time at which the last accepted heartbeat was sent or the epoch began, whichever is later.
    pub renewed_at: f64,
    /// Controller that receives the heartbeats.
    pub node: usize,
    /// Time at which the next heartbeat is due.
    pub next_heartbeat: f64,
    /// Heartbeat that is waiting for a response.
    pub in_flight: Option<HeartbeatInFlight>,
    /// Tasks on the machine, including exited ones until a command removes them.
    pub tasks: BTreeMap<TaskKey, Task>,
    /// Whether every task fails.
    pub faulty: bool,
    /// Duration of the first fetch of a job's image, in seconds, if it differs from the usual one.
    pub first_fetch_s: Option<f64>,
    /// Jobs whose image has been fetched.
    pub fetched_images: BTreeSet<String>,
    /// Time until which the machine hangs.
    pub hung_until: f64,
    /// Time until which responses and commands do not reach the worker, while its heartbeats arrive.
    pub responses_lost_until: f64,
    /// Time until which its heartbeats are lost, while direct commands reach it.
    pub heartbeats_lost_until: f64,
    /// Attempts that were removed by command.
    removed: BTreeSet<(TaskKey, u64)>,
    last_heartbeat: f64,
    token_changed_at: f64,
}

impl Worker {
    /// Creates a worker that starts at `now` and sends its heartbeats to `node`.
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
            removed: BTreeSet::new(),
            last_heartbeat: f64::MIN,
            token_changed_at: f64::MIN,
        }
    }

    /// Returns the next heartbeat and records that it is waiting for a response.
    pub fn send_heartbeat(&mut self, now: f64) -> Heartbeat {
        let heartbeat = self.next_heartbeat_body();
        let sent = HeartbeatInFlight { sequence: self.sequence, epoch: self.epoch, sent_at: now };
        self.in_flight = Some(sent);
        self.last_heartbeat = now;
        heartbeat
    }

    /// Returns the body of the next heartbeat, which is also the reply to direct commands.
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

    /// Returns the duration of the fetch of a job's image if this is the first fetch on this machine
    /// and it differs from the usual one.
    pub fn first_fetch_of(&self, job: &str) -> Option<f64> {
        self.first_fetch_s.filter(|_| !self.fetched_images.contains(job))
    }

    /// Schedules the next heartbeat earlier because of a change, keeping the minimum interval.
    pub fn expedite_heartbeat(&mut self, now: f64) {
        let earliest = now.max(self.last_heartbeat + MIN_HEARTBEAT_GAP_S);
        self.next_heartbeat = self.next_heartbeat.min(earliest);
    }

    /// Records a fencing token if it is the highest so far.
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

    /// Ends all tasks and begins a new epoch if the lease has expired. Returns whether it has expired.
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

    /// Whether this attempt was removed by command.
    pub fn has_removed(&self, task: &TaskKey, attempt: u64) -> bool {
        self.removed.contains(&(task.clone(), attempt))
    }

    /// Ends the worker's process with all of its tasks. It continues at `continues_at`, with its next
    /// epoch.
    pub fn restart(&mut self, now: f64, continues_at: f64) {
        self.tasks.clear();
        self.epoch += 1;
        self.renewed_at = now;
        self.in_flight = None;
        self.hung_until = self.hung_until.max(continues_at);
        self.expedite_heartbeat(continues_at);
    }

    /// Executes a command and returns whether it took effect. Without `launch`, a started task exits
    /// with `ExitCause::Unknown`.
    pub fn execute(&mut self, now: f64, command: &Command, launch: Option<Launch>) -> bool {
        let Some((job, index)) = split_task(&command.task) else { return false };
        let key = TaskKey { job: job.to_string(), index };
        match command.kind {
            CommandKind::Start => {
                let started = self.start(now, key, command.attempt, launch);
                if !started {
                    return false;
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
                    self.removed.insert((key, command.attempt));
                }
            }
        }
        self.expedite_heartbeat(now);
        true
    }

    /// Starts an attempt of a task. Returns false if the attempt is already known or an earlier one
    /// has not exited.
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
