//! What users ask beside their own course: everywhere at once, oddly, at the moment of an end.

use super::*;
use std::collections::BTreeMap;

/// Questions are numbered from there on.
pub(super) const FIRST: u64 = 1 << 40;

/// Within that time of the news, users that look closely ask at all nodes.
const CLOSE_S: f64 = 0.01;

/// A transaction that was carried out while its answer was lost.
#[derive(Debug, Clone, PartialEq)]
pub struct LostWrite {
    /// When it was carried out, and which node had sent it.
    pub at: f64,
    pub node: usize,
    /// What it changed.
    pub keys: Vec<String>,
}

struct Look {
    id: String,
    sent: f64,
    /// A job that no node may accept.
    unfit: bool,
}

#[derive(Default)]
pub(super) struct Looks {
    open: BTreeMap<u64, Look>,
    sent: u64,
    unfit: u64,
    /// Until when users look closely, or ask oddly.
    pub close_until: f64,
    pub odd_until: f64,
    /// Until when jobs are cancelled as they end, and which share.
    pub cancel_at_end: (f64, f64),
    counts: LookCounts,
}

/// How often a meeting of users was brought about.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LookCounts {
    /// Questions sent within 10 ms of news, at any node, and those that were answered with a state.
    pub close: u64,
    pub close_answered: u64,
    /// Cancellations that were sent at the moment of acceptance, or of the last task's end.
    pub cancelled_at_once: u64,
    pub cancelled_at_end: u64,
    /// Jobs that can't run or lack a field that were refused for it.
    pub unfit_refused: u64,
}

impl Simulation {
    /// How often users' meetings were brought about.
    pub fn looks(&self) -> LookCounts {
        self.looks.counts
    }

    /// Sends a question or wish of `id`'s user to a node, `after` seconds from now.
    fn look(&mut self, id: &str, node: usize, after: f64, request: Request, unfit: bool) {
        self.looks.sent += 1;
        let number = FIRST + self.looks.sent;
        let sent = self.now + after;
        self.looks.open.insert(number, Look { id: id.to_string(), sent, unfit });
        let at = sent + self.delay();
        self.send(at, None, Ev::UserArrives(id.to_string(), number, node, request));
    }

    /// A user wants its job cancelled, at any node; its own course repeats that until it is answered.
    fn cancel_by_look(&mut self, id: &str, after: f64) {
        let node = self.rng.gen_range(0..self.nodes.len());
        if let Some(u) = self.users.get_mut(id) {
            u.cancel_at = Some(self.now + after);
        }
        self.ledger.cancel_asked.insert(id.to_string());
        self.look(id, node, after, Request::Cancel(id.to_string()), false);
    }

    /// A user was told `status`, having asked at `sent`; news make it look closely.
    pub(super) fn hear(&mut self, id: &str, sent: f64, status: Option<JobStatus>) {
        let known = |l: &Ledger| (l.accepted_at.contains_key(id), l.over_at.contains_key(id));
        let before = known(&self.ledger);
        self.ledger.tell(self.now, sent, id, status);
        if known(&self.ledger) != before && self.now < self.looks.close_until {
            self.look_closely(id, !before.0 && !before.1);
        }
    }

    fn look_closely(&mut self, id: &str, accepted: bool) {
        if accepted && self.rng.gen_bool(0.1) {
            self.looks.counts.cancelled_at_once += 1;
            self.cancel_by_look(id, 0.0);
        }
        let spec = protocol::encode(&self.ledger.specs[id]);
        for node in 0..self.nodes.len() {
            for _ in 0..2 {
                let again = self.rng.gen_bool(0.4);
                let r =
                    if again { Request::Submit(spec.clone()) } else { Request::QueryStatus(id.to_string()) };
                let after = self.rng.gen_range(0.0..CLOSE_S);
                self.looks.counts.close += 1;
                self.look(id, node, after, r, false);
            }
        }
    }

    pub(super) fn look_answered(&mut self, number: u64, a: &HttpResponse) {
        let now = self.now;
        let Some(look) = self.looks.open.remove(&number) else { return };
        let id = look.id;
        if look.unfit {
            match a.status {
                200 | 201 => self.ledger.break_rule(Rule::Unfit, now, id),
                400 | 422 => self.looks.counts.unfit_refused += 1,
                _ => {}
            }
            return;
        }
        match a.status {
            200 | 201 => {
                if let Ok(v) = protocol::decode::<JobView>(&a.body) {
                    self.looks.counts.close_answered += 1;
                    self.hear(&id, look.sent, Some(v.status));
                }
            }
            404 => self.hear(&id, look.sent, None),
            400 | 422 if self.ledger.accepted.contains(&id) => {
                self.ledger.break_rule(Rule::Forgotten, now, format!("{id} got {}", a.status));
            }
            _ => {}
        }
    }

    /// The last task of `id` has just ended.
    pub(super) fn cancel_at_end(&mut self, id: &str) {
        let (until, share) = self.looks.cancel_at_end;
        if self.now < until && self.rng.gen_bool(share) {
            self.looks.counts.cancelled_at_end += 1;
            self.cancel_by_look(id, 0.0);
        }
    }

    /// Cancels `count` jobs that run on, and has up to eight of their machines hang.
    pub(super) fn cancel_now(&mut self, count: usize, hang_s: f64) {
        let now = self.now;
        let long =
            |t: &crate::worker::Task| matches!(t.phase, Phase::Running { until } if until > now + 20.0);
        let running: Vec<(String, String)> = self
            .workers
            .iter()
            .flat_map(|(vm, w)| {
                w.tasks.iter().filter(|(_, t)| long(t)).map(|(k, _)| (k.0.clone(), vm.clone()))
            })
            .filter(|(job, _)| !self.ledger.cancel_asked.contains(job) && self.ledger.accepted.contains(job))
            .collect();
        let mut jobs: Vec<String> = running.iter().map(|r| r.0.clone()).collect();
        jobs.sort();
        jobs.dedup();
        while jobs.len() > count {
            let n = self.rng.gen_range(0..jobs.len());
            jobs.remove(n);
        }
        for id in &jobs {
            let after = self.rng.gen_range(0.0..0.2);
            self.cancel_by_look(id, after);
        }
        let hit: BTreeSet<String> =
            running.into_iter().filter(|(job, _)| jobs.contains(job)).map(|r| r.1).collect();
        for vm in hit.iter().filter(|_| hang_s > 0.0).take(8) {
            if let Some(w) = self.workers.get_mut(vm) {
                w.hung_until = now + hang_s;
            }
        }
    }

    /// Users cancel every accepted job that is not known to be over.
    pub(super) fn cancel_all(&mut self) {
        let over = |id: &&String| self.ledger.told.get(*id).is_some_and(|s| s.is_final());
        let open = self.ledger.accepted.iter().filter(|id| !over(id));
        for id in open.cloned().collect::<Vec<_>>() {
            self.cancel_by_look(&id, 0.0);
        }
    }

    /// Users ask for every job that was submitted at every node, and repeat their submissions.
    pub(super) fn ask_all(&mut self) {
        for id in self.ledger.submitted.iter().cloned().collect::<Vec<_>>() {
            let again = Request::Submit(protocol::encode(&self.ledger.specs[&id]));
            for node in 0..self.nodes.len() {
                self.look(&id, node, 0.0, Request::QueryStatus(id.clone()), false);
                self.look(&id, node, 0.0, again.clone(), false);
            }
        }
    }

    /// Odd requests of a user, at any node.
    pub(super) fn ask_oddly(&mut self, id: &str) {
        if self.now >= self.looks.odd_until || !self.rng.gen_bool(0.3) {
            return;
        }
        let node = self.rng.gen_range(0..self.nodes.len());
        let spec = self.ledger.specs[id].clone();
        match self.ledger.told.get(id) {
            Some(JobStatus::Done) => self.look(id, node, 0.0, Request::Cancel(id.to_string()), false),
            Some(_) => self.look(id, node, 0.0, Request::Submit(protocol::encode(&spec)), false),
            None => {}
        }
        self.looks.unfit += 1;
        let id = format!("req-{}", 9_000_000 + self.looks.unfit);
        let spec = JobSpec { id: id.clone(), dependencies: Vec::new(), ..spec };
        let body = match self.rng.gen_range(0..4) {
            0 => protocol::encode(&JobSpec { cores: 1e6, ..spec }),
            1 => protocol::encode(&JobSpec { team: "nobody".into(), ..spec }),
            2 => protocol::encode(&JobSpec { machine_types: Some(vec!["none".into()]), ..spec }),
            _ => protocol::encode(&BTreeMap::from([("id", id.clone()), ("lane", spec.class)])),
        };
        self.look(&id, node, 0.0, Request::Submit(body), true);
    }

    /// A transaction without an answer was executed; it was carried out if the revision moved.
    pub(super) fn note_lost(&mut self, node: usize, op: &StoreRequest, before: u64) {
        let StoreRequest::Commit(txn) = op else { return };
        if self.store.revision != before {
            let keys = txn.mutations.iter().map(|c| match c {
                protocol::state::Mutation::Put { key, .. } | protocol::state::Mutation::Delete { key } => {
                    key.clone()
                }
            });
            self.lost_writes.push(LostWrite { at: self.now, node, keys: keys.collect() });
        }
    }
}
