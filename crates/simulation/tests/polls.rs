//! What nodes answer about jobs, with every message delivered in any order.

use anisecroft_simulation::state::Store;
use controller::records::{Value, FORMAT, FORMAT_KEY, TYPES_KEY};
use controller::*;
use proptest::prelude::*;
use protocol::cloud::MachineType;
use protocol::job::*;
use protocol::state::{Mutation, Transaction};
use rand::{rngs::SmallRng, Rng, SeedableRng};
use settings::{Operator, Settings};
use std::collections::{BTreeMap, BTreeSet};

const NODES: usize = 3;

fn spec(id: &str) -> JobSpec {
    JobSpec {
        id: id.into(),
        class: "work".into(),
        team: "dispatch".into(),
        shape: Shape::Array,
        priority: Priority::Normal,
        tasks: 3,
        cores: 1.0,
        accelerators: 1.0,
        memory_gb: 1.0,
        image: "img-1".into(),
        image_gb: 1.0,
        machine_types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimated_run_s: 10.0,
        checkpoint_interval_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

fn big() -> MachineType {
    MachineType {
        name: "big".into(),
        cores: 16.0,
        accelerators: 4.0,
        memory_gb: 64.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price: 4.0,
        spot_price: 1.5,
        boot_s: 10.0,
        zones: vec!["a".into()],
    }
}

/// What users have been told of a job by any node.
#[derive(Clone, Copy, PartialEq, PartialOrd, Debug)]
enum Told {
    Nothing,
    Accepted,
    Over,
}

struct World {
    rng: SmallRng,
    now: f64,
    cores: Vec<Controller>,
    store: Store,
    /// Calls on their way to the store, and replies on their way back.
    calls: Vec<(usize, CallId, StoreRequest)>,
    replies: Vec<(usize, CallId, StoreReply)>,
    /// Open questions: job, and what had been told when it was asked.
    open: BTreeMap<(usize, RequestId), (String, Told)>,
    told: BTreeMap<String, Told>,
    submitted: BTreeSet<String>,
    next: RequestId,
    polls: u64,
    answered: u64,
    /// Requests that polls cost the state service.
    reads: u64,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut store = Store::default();
        let put = |key: &str, value| Transaction {
            compares: vec![],
            mutations: vec![Mutation::Put { key: key.into(), value, lease: None }],
        };
        store.execute(0.0, &StoreRequest::Commit(put(TYPES_KEY, Value::Types(vec![big()]))));
        store.execute(0.0, &StoreRequest::Commit(put(FORMAT_KEY, Value::Format(FORMAT))));
        let settings = Settings::parse(include_str!("../../../docs/example.toml")).unwrap();
        let cores =
            (0..NODES as u64).map(|n| Controller::new(settings.clone(), Operator::default(), n)).collect();
        World {
            rng: SmallRng::seed_from_u64(seed),
            now: 0.0,
            cores,
            store,
            calls: vec![],
            replies: vec![],
            open: BTreeMap::new(),
            told: BTreeMap::new(),
            submitted: BTreeSet::new(),
            next: 0,
            polls: 0,
            answered: 0,
            reads: 0,
        }
    }

    fn feed(&mut self, n: usize, input: Input) {
        for o in self.cores[n].handle(self.now, 1e9 + self.now, input) {
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
        let told = self.told.get(id).copied().unwrap_or(Told::Nothing);
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
                    Told::Over
                } else {
                    Told::Accepted
                }
            }
            404 => Told::Nothing,
            _ => return,
        };
        assert!(said >= told, "{job}: told {told:?} before it was asked, now {said:?}");
        let known = self.told.entry(job).or_insert(Told::Nothing);
        if said > *known {
            *known = said;
        }
    }

    fn step(&mut self, ids: usize, trouble: bool) {
        self.now += self.rng.gen_range(0.0..0.05);
        let n = self.rng.gen_range(0..NODES);
        let id = format!("req-{}", self.rng.gen_range(0..ids));
        match self.rng.gen_range(0..20) {
            0 => {
                self.submitted.insert(id.clone());
                self.ask(n, &id, Request::Submit(protocol::encode(&spec(&id))));
            }
            1 if self.submitted.contains(&id) => self.ask(n, &id, Request::Cancel(id.clone())),
            2..=6 => {
                self.polls += 1;
                self.ask(n, &id, Request::QueryStatus(id.clone()));
            }
            7 if trouble => self.now += self.rng.gen_range(0.0..8.0),
            8..=12 if !self.calls.is_empty() => {
                let (n, call, op) = self.calls.remove(self.rng.gen_range(0..self.calls.len()));
                if trouble && self.rng.gen_bool(0.05) {
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

    /// A node's copy once took in what it had read before the copy began: a job
    /// that another node had cancelled since was called pending.
    #[test]
    fn no_answer_is_older_than_what_was_told(seed in any::<u64>(), ids in 1usize..12, trouble in any::<bool>()) {
        let mut w = World::new(seed);
        for _ in 0..1500 {
            w.step(ids, trouble);
        }
        prop_assert!(w.answered > 20);
    }
}

/// Delivers everything at once, so that only the number of reads counts.
fn settle(w: &mut World, duration_s: f64) {
    let end = w.now + duration_s;
    while w.now < end {
        w.now += 0.01;
        for (n, call, op) in std::mem::take(&mut w.calls) {
            let r = w.store.execute(w.now, &op);
            let r = r.unwrap_or_else(|| w.store.no_events());
            w.feed(n, Input::Store(call, r));
        }
        for n in 0..NODES {
            w.feed(n, Input::Tick);
        }
    }
}

/// Every poll once cost a read of its own, from the budget of all.
#[test]
fn a_flood_of_polls_costs_few_reads() {
    let mut w = World::new(1);
    settle(&mut w, 2.0);
    for n in 0..100 {
        let id = format!("req-{n}");
        w.submitted.insert(id.clone());
        w.ask(n % NODES, &id, Request::Submit(protocol::encode(&spec(&id))));
        settle(&mut w, 0.1);
    }
    assert_eq!(w.told.values().filter(|t| **t == Told::Accepted).count(), 100);
    let (before, answered) = (w.reads, w.answered);
    for _ in 0..10 {
        for n in 0..300 {
            // Half of them ask for jobs that nobody submitted.
            let id = format!("req-{}", n % 200);
            w.ask(n % NODES, &id, Request::QueryStatus(id.clone()));
        }
        settle(&mut w, 1.0);
    }
    assert_eq!(w.answered - answered, 3000);
    let reads = w.reads - before;
    // 10 s of three nodes' shared reads, and one read of each job per node.
    assert!(reads < 900, "{reads} reads for 3000 polls");
    let before = w.reads;
    for _ in 0..10 {
        for n in 0..300 {
            let id = format!("req-{}", n % 100);
            w.ask(n % NODES, &id, Request::QueryStatus(id.clone()));
        }
        settle(&mut w, 1.0);
    }
    assert!(w.reads - before < 300, "{} reads for polls of known jobs", w.reads - before);
}
