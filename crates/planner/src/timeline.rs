//! Future use of a machine while a plan is made.

use crate::problem::{Machine, RunningTask};
use crate::resources::Resources;

/// Resources that are reserved for a job from a given time on.
struct FutureReservation {
    starts_at: f64,
    resources: Resources,
}

/// Running tasks and reservations of one machine.
pub(crate) struct MachineTimeline {
    /// Resources that are free now.
    pub(crate) free: Resources,
    /// Running tasks in ascending order of their end.
    pub(crate) running: Vec<RunningTask>,
    /// Reservations of jobs that this plan has already placed.
    reserved: Vec<FutureReservation>,
    /// Resources that are not reserved, assuming that all running work has ended or was preempted.
    unreserved: Resources,
    /// Latest start of all reservations.
    last_reserved_start: f64,
}

impl MachineTimeline {
    /// Creates the timeline of a machine in its current state, without reservations.
    pub(crate) fn of(machine: &Machine) -> Self {
        let mut running = machine.running.clone();
        running.sort_by(|a, b| a.ends_at.total_cmp(&b.ends_at));
        let mut unreserved = machine.free;
        for task in &running {
            unreserved.add(&task.resources);
        }
        MachineTimeline {
            free: machine.free,
            running,
            reserved: Vec::new(),
            unreserved,
            last_reserved_start: 0.0,
        }
    }

    /// Whether some job has a reservation on this machine.
    pub(crate) fn has_reservations(&self) -> bool {
        !self.reserved.is_empty()
    }

    /// Whether no task that needs at least `need` and runs for at least `run_s` fits on this machine,
    /// now or later.
    pub(crate) fn is_full(&self, now: f64, need: &Resources, run_s: f64) -> bool {
        !self.unreserved.fits(need) && (self.reserved.is_empty() || now + run_s > self.last_reserved_start)
    }

    /// Returns the earliest time, at or after `not_before`, at which `need` fits for a run of `run_s`
    /// seconds.
    pub(crate) fn earliest_start(&self, not_before: f64, need: &Resources, run_s: f64) -> Option<f64> {
        let mut start = not_before;
        if self.is_full(start, need, run_s) {
            return None;
        }
        let mut free = self.free;
        let mut upcoming = self.running.iter().peekable();
        loop {
            while let Some(task) = upcoming.next_if(|task| task.ends_at <= start || task.endless) {
                if !task.endless {
                    free.add(&task.resources);
                }
            }
            if self.without_reservations(free, start + run_s).fits(need) {
                return Some(start);
            }
            start = upcoming.peek()?.ends_at;
        }
    }

    /// Returns the part of `free` that is not reserved at any time before `end`.
    fn without_reservations(&self, free: Resources, end: f64) -> Resources {
        let mut remaining = free;
        for reservation in self.reserved.iter().filter(|reservation| end > reservation.starts_at) {
            remaining.subtract(&reservation.resources);
        }
        remaining
    }

    /// Starts a task now.
    pub(crate) fn start(&mut self, task: RunningTask) {
        self.free.subtract(&task.resources);
        let position = self.running.partition_point(|other| other.ends_at <= task.ends_at);
        self.running.insert(position, task);
    }

    /// Reserves `resources` from `starts_at` on.
    pub(crate) fn reserve(&mut self, starts_at: f64, resources: Resources) {
        self.reserved.push(FutureReservation { starts_at, resources });
        self.unreserved.subtract(&resources);
        self.last_reserved_start = self.last_reserved_start.max(starts_at);
    }

    /// Preempts the running tasks at `positions`, which then end at `ends_at`. Returns their ids.
    ///
    /// The tasks are changed in place and sorted afterwards. Moving them one by one would shift the
    /// positions of the others, so that the wrong tasks would be preempted.
    pub(crate) fn preempt(&mut self, positions: &[usize], ends_at: f64) -> Vec<usize> {
        let mut task_ids = Vec::new();
        for &position in positions {
            let task = &mut self.running[position];
            task_ids.extend(task.preemption.take().map(|candidate| candidate.task_id));
            task.ends_at = ends_at;
            task.endless = false;
        }
        self.running.sort_by(|a, b| a.ends_at.total_cmp(&b.ends_at));
        task_ids
    }
}
