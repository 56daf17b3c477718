//! Reports that are kept for the next leader, and work that is left lying beside room.

use super::*;

/// Once all troubles are over, no job waits that long beside room (the operators' figure).
const LEFT_S: f64 = 90.0;

/// Copies of reports for the next leader.
#[derive(Default)]
pub(super) struct Kept {
    until: f64,
    after_s: f64,
    token: Option<u64>,
    /// When they arrive; None: no new leader has begun.
    due: Option<f64>,
    reports: Vec<(String, Vec<u8>)>,
    /// Copies that reached a node after a new leader had begun.
    delivered: u64,
}

/// Since when each job has waited beside room.
#[derive(Default)]
pub(super) struct Idle {
    since: BTreeMap<String, f64>,
    looked: f64,
}

impl Simulation {
    /// Copies of reports that reached a node after a new leader had begun.
    pub fn kept_delivered(&self) -> u64 {
        self.kept.delivered
    }

    pub(super) fn keep_for_next(&mut self, after_s: f64, for_s: f64) {
        let token = self.leader().and_then(|n| self.token(n));
        let delivered = self.kept.delivered;
        let until = self.now + for_s;
        self.kept = Kept { until, after_s, token, due: None, reports: Vec::new(), delivered };
    }

    pub(super) fn keep_copy(&mut self, vm: &str, report: &Heartbeat) {
        if self.now < self.kept.until && self.kept.due.is_none() && self.rng.gen_bool(0.3) {
            self.kept.reports.push((vm.to_string(), protocol::encode(report)));
        }
    }

    pub(super) fn deliver_kept(&mut self) {
        if self.kept.reports.is_empty() {
            return;
        }
        let newest = self.leader().and_then(|n| self.token(n));
        let begun = newest.is_some() && newest > self.kept.token;
        if begun && self.kept.due.is_none() {
            self.kept.due = Some(self.now + self.kept.after_s);
        }
        if self.kept.due.is_none_or(|due| self.now < due) {
            return;
        }
        for (vm, body) in std::mem::take(&mut self.kept.reports) {
            for n in 0..self.nodes.len() {
                let at = self.now + self.delay();
                self.kept.delivered += 1;
                self.push(at, Ev::ReportArrives(vm.clone(), u64::MAX, n, body.clone()));
            }
        }
    }

    /// What each team's tasks take just now, in accelerators.
    pub fn used(&self) -> BTreeMap<String, f64> {
        let mut used = BTreeMap::new();
        for (key, t) in self.workers.values().flat_map(|w| &w.tasks) {
            if t.on_machine() {
                let spec = &self.ledger.specs[&key.0];
                *used.entry(spec.team.clone()).or_insert(0.0) += spec.accelerators;
            }
        }
        used
    }

    /// From now on what happens is judged by these settings, whatever the controllers were given.
    pub fn judge_by(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// No job waits for long beside room.
    pub(super) fn check_idle(&mut self) {
        let now = self.now;
        if now < self.quiet_from {
            return self.idle.since.clear();
        }
        if now < self.idle.looked + 1.0 {
            return;
        }
        self.idle.looked = now;
        let busy: BTreeSet<&String> = self
            .workers
            .values()
            .flat_map(|w| w.tasks.iter().filter(|(_, t)| !matches!(t.phase, Phase::Exited(_))))
            .map(|(key, _)| &key.0)
            .collect();
        let over = |id: &String| {
            self.ledger.before(id).iter().any(|id| self.ledger.cancel_asked.contains(*id))
                || self.ledger.is_done(id)
                || self.broken.contains(id)
        };
        let waiting: Vec<String> = self
            .ledger
            .accepted
            .iter()
            .filter(|id| !busy.contains(id) && !over(id) && self.has_room(&self.ledger.specs[*id]))
            .cloned()
            .collect();
        self.idle.since.retain(|id, _| waiting.contains(id));
        for id in waiting {
            let since = *self.idle.since.entry(id.clone()).or_insert(now);
            if now - since > LEFT_S {
                self.ledger.break_rule(Rule::LeftWaiting, now, format!("{id} since {since}"));
            }
        }
    }

    /// Whether a job could begin now: what it awaits is done, its team is under its limit, and
    /// machines that fit have room.
    fn has_room(&self, spec: &JobSpec) -> bool {
        if !spec.dependencies.iter().all(|a| self.ledger.is_done(a)) {
            return false;
        }
        let at_once = if spec.shape == Shape::Array { 1 } else { spec.tasks };
        let team = self.settings.params.teams.iter().find(|t| t.name == spec.team);
        let most = team.map_or(0.0, |t| t.accelerators_max);
        let used = self.used().get(&spec.team).copied().unwrap_or(0.0);
        if most > 0.0 && used + spec.accelerators * f64::from(at_once) > most + 1e-6 {
            return false;
        }
        let mut slots: BTreeMap<&str, u32> = BTreeMap::new();
        for w in self.workers.values() {
            *slots.entry(&w.place.zone).or_default() += self.slots(w, spec);
        }
        if spec.one_zone {
            return slots.values().any(|s| *s >= at_once);
        }
        let each = if spec.spread { spec.tasks.div_ceil(2) } else { u32::MAX };
        slots.values().map(|s| (*s).min(each)).sum::<u32>() >= at_once
    }

    /// How many tasks of `spec` a machine has room for.
    fn slots(&self, w: &Worker, spec: &JobSpec) -> u32 {
        let kind = self.cloud.types.iter().find(|t| t.name == w.place.machine_type);
        let Some(kind) = kind else { return 0 };
        let allowed = spec.machine_types.as_ref().is_none_or(|t| t.contains(&kind.name))
            && spec.zone.as_ref().is_none_or(|z| *z == w.place.zone)
            && (spec.spot || !w.place.spot);
        if !allowed || w.faulty || self.now < w.hung_until {
            return 0;
        }
        let mut free = [kind.cores, kind.accelerators, kind.memory_gb];
        for (key, _) in w.tasks.iter().filter(|(_, t)| !matches!(t.phase, Phase::Exited(_))) {
            let s = &self.ledger.specs[&key.0];
            free = [free[0] - s.cores, free[1] - s.accelerators, free[2] - s.memory_gb];
        }
        let needs = [spec.cores, spec.accelerators, spec.memory_gb];
        let fits = free.iter().zip(needs).map(|(f, n)| if n > 0.0 { (f + 1e-6) / n } else { f64::MAX });
        fits.fold(f64::from(spec.tasks), f64::min).max(0.0) as u32
    }
}
