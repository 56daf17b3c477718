//! Status queries with all messages delivered in any order, and what they cost the store.

mod common;

use anisecroft_simulation::state::Store;
use common::*;
use controller::records::{Value, FORMAT, FORMAT_KEY, TYPES_KEY};
use controller::*;
use proptest::prelude::*;
use protocol::job::*;
use protocol::state::{Mutation, Transaction};
use rand::{rngs::SmallRng, Rng, SeedableRng};
use settings::Operator;
use std::collections::{BTreeMap, BTreeSet};

const NODES: usize = 3;

/// What users have been told of a job by any node.
#[derive(Clone, Copy, PartialEq, PartialOrd, Debug)]
enum ReportedStatus {
    Nothing,
    Accepted,
    Over,
}

struct Cluster {
    rng: SmallRng,
    now: f64,
    controllers: Vec<Controller>,
    store: Store,
    /// Calls on their way to the store, and replies on their way back.
    calls: Vec<(usize, CallId, StoreRequest)>,
    replies: Vec<(usize, CallId, StoreReply)>,
    /// Open questions: job, and what had been told when it was asked.
    open: BTreeMap<(usize, RequestId), (String, ReportedStatus)>,
    told: BTreeMap<String, ReportedStatus>,
    submitted: BTreeSet<String>,
    next: RequestId,
    queries: u64,
    answered: u64,
    /// Requests that queries cost the store.
    reads: u64,
}

impl Cluster {
    fn new(seed: u64) -> Self {
        let mut store = Store::default();
        let put = |key: &str, value| Transaction {
            compares: vec![],
            mutations: vec![Mutation::Put { key: key.into(), value, lease: None }],
        };
        store.execute(0.0, &StoreRequest::Commit(put(TYPES_KEY, Value::Types(vec![single_zone_type()]))));
        store.execute(0.0, &StoreRequest::Commit(put(FORMAT_KEY, Value::Format(FORMAT))));
        let settings = example_settings();
        let controllers =
            (0..NODES as u64).map(|n| Controller::new(settings.clone(), Operator::default(), n)).collect();
        Cluster {
            rng: SmallRng::seed_from_u64(seed),
            now: 0.0,
            controllers,
            store,
            calls: vec![],
            replies: vec![],
            open: BTreeMap::new(),
            told: BTreeMap::new(),
            submitted: BTreeSet::new(),
            next: 0,
            queries: 0,
            answered: 0,
            reads: 0,
        }
    }

    fn feed(&mut self, n: usize, input: Input) {
        for o in self.controllers[n].handle(self.now, 1e9 + self.now, input) {
            match o {
                Output::Response(id, a) => self.answered(n, id, &a),
                Output::Store(call, op) => {
                    self.reads += u64::from(match &op {
                        StoreRequest::Get(key) => key.starts_with("j/"),
                        StoreRequest::Watch { wait_ms: 0, .. } => true,
                        StoreRequest::Commit(t) => t.mutations.is_empty(),
                        _ => false,
                    });
                    self.calls.push((n, call, op));
                }
                _ => {}
            }
        }
    }

    fn ask(&mut self, n: usize, id: &str, r: Request) {
        self.next += 1;
        let told = self.told.get(id).copied().unwrap_or(ReportedStatus::Nothing);
        self.open.insert((n, self.next), (id.to_string(), told));
        self.feed(n, Input::Request(self.next, r));
    }

    fn answered(&mut self, n: usize, id: RequestId, a: &HttpResponse) {
        let Some((job, told)) = self.open.remove(&(n, id)) else { return };
        self.answered += 1;
        let said = match a.status {
            200 | 201 => {
                let v: JobView = protocol::decode(&a.body).unwrap();
                assert!(self.submitted.contains(&job), "{job} was invented");
                if v.status.is_final() {
                    ReportedStatus::Over
                } else {
                    ReportedStatus::Accepted
                }
            }
            404 => ReportedStatus::Nothing,
            _ => return,
        };
        assert!(said >= told, "{job}: told {told:?} before it was asked, now {said:?}");
        let known = self.told.entry(job).or_insert(ReportedStatus::Nothing);
        if said > *known {
            *known = said;
        }
    }

    fn step(&mut self, ids: usize, faults: bool) {
        self.now += self.rng.gen_range(0.0..0.05);
        let n = self.rng.gen_range(0..NODES);
        let id = format!("req-{}", self.rng.gen_range(0..ids));
        match self.rng.gen_range(0..20) {
            0 => {
                self.submitted.insert(id.clone());
                self.ask(n, &id, Request::Submit(protocol::encode(&plain_array(&id, 3))));
            }
            1 if self.submitted.contains(&id) => self.ask(n, &id, Request::Cancel(id.clone())),
            2..=6 => {
                self.queries += 1;
                self.ask(n, &id, Request::QueryStatus(id.clone()));
            }
            7 if faults => self.now += self.rng.gen_range(0.0..8.0),
            8..=12 if !self.calls.is_empty() => {
                let (n, call, op) = self.calls.remove(self.rng.gen_range(0..self.calls.len()));
                if faults && self.rng.gen_bool(0.05) {
                    self.replies.push((n, call, StoreReply::Refused));
                } else if let Some(r) = self.store.execute(self.now, &op) {
                    self.replies.push((n, call, r));
                } else {
                    self.replies.push((n, call, self.store.no_events()));
                }
            }
            13..=18 if !self.replies.is_empty() => {
                let (n, call, r) = self.replies.remove(self.rng.gen_range(0..self.replies.len()));
                self.feed(n, Input::Store(call, r));
            }
            _ => self.feed(n, Input::Tick),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A controller's copy once took in a read from before the copy began: a job that another
    /// controller had cancelled since was called pending.
    #[test]
    fn status_answers_never_go_back(seed in any::<u64>(), ids in 1usize..12, faults in any::<bool>()) {
        let mut world = Cluster::new(seed);
        for _ in 0..1500 {
            world.step(ids, faults);
        }
        prop_assert!(world.answered > 20);
    }
}

/// Delivers everything at once, so that only the number of reads counts.
fn settle(world: &mut Cluster, duration_s: f64) {
    let end = world.now + duration_s;
    while world.now < end {
        world.now += 0.01;
        for (n, call, op) in std::mem::take(&mut world.calls) {
            let r = world.store.execute(world.now, &op);
            let r = r.unwrap_or_else(|| world.store.no_events());
            world.feed(n, Input::Store(call, r));
        }
        for n in 0..NODES {
            world.feed(n, Input::Tick);
        }
    }
}

/// Every query once cost a read of its own, from the budget of all.
#[test]
fn query_flood_costs_few_reads() {
    let mut world = Cluster::new(1);
    settle(&mut world, 2.0);
    for n in 0..100 {
        let id = format!("req-{n}");
        world.submitted.insert(id.clone());
        world.ask(n % NODES, &id, Request::Submit(protocol::encode(&plain_array(&id, 3))));
        settle(&mut world, 0.1);
    }
    assert_eq!(world.told.values().filter(|t| **t == ReportedStatus::Accepted).count(), 100);
    let (before, answered) = (world.reads, world.answered);
    for _ in 0..10 {
        for n in 0..300 {
            // Half of them ask for jobs that nobody submitted.
            let id = format!("req-{}", n % 200);
            world.ask(n % NODES, &id, Request::QueryStatus(id.clone()));
        }
        settle(&mut world, 1.0);
    }
    assert_eq!(world.answered - answered, 3000);
    let reads = world.reads - before;
    // 10 s of three nodes' shared reads, and one read of each job per node.
    assert!(reads < 900, "{reads} reads for 3000 queries");
    let before = world.reads;
    for _ in 0..10 {
        for n in 0..300 {
            let id = format!("req-{}", n % 100);
            world.ask(n % NODES, &id, Request::QueryStatus(id.clone()));
        }
        settle(&mut world, 1.0);
    }
    assert!(world.reads - before < 300, "{} reads for queries of known jobs", world.reads - before);
}
