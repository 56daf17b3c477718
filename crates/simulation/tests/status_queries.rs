//! Status queries while messages are delivered in random order, and the store reads that they cost.

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

/// The newest status of a job that any node reported to a user, in the order of a job's life.
#[derive(Clone, Copy, PartialEq, PartialOrd, Debug)]
enum ReportedStatus {
    Unknown,
    Accepted,
    Terminal,
}

struct Cluster {
    rng: SmallRng,
    now: f64,
    controllers: Vec<Controller>,
    store: Store,
    /// Calls in flight to the store, and replies in flight to the nodes.
    calls: Vec<(usize, CallId, StoreRequest)>,
    replies: Vec<(usize, CallId, StoreReply)>,
    /// Requests without a response, by node: the job and the status last reported when the request
    /// was sent.
    pending_requests: BTreeMap<(usize, RequestId), (String, ReportedStatus)>,
    /// The newest status that users were told, by job.
    reported: BTreeMap<String, ReportedStatus>,
    submitted: BTreeSet<String>,
    last_request: RequestId,
    queries: u64,
    responses: u64,
    /// Requests to the store that read job records.
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
            pending_requests: BTreeMap::new(),
            reported: BTreeMap::new(),
            submitted: BTreeSet::new(),
            last_request: 0,
            queries: 0,
            responses: 0,
            reads: 0,
        }
    }

    fn feed(&mut self, n: usize, input: Input) {
        for o in self.controllers[n].handle(self.now, 1e9 + self.now, input) {
            match o {
                Output::Response(id, response) => self.handle_response(n, id, &response),
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

    fn send_request(&mut self, n: usize, id: &str, r: Request) {
        self.last_request += 1;
        let reported = self.reported.get(id).copied().unwrap_or(ReportedStatus::Unknown);
        self.pending_requests.insert((n, self.last_request), (id.to_string(), reported));
        self.feed(n, Input::Request(self.last_request, r));
    }

    /// Checks that a response is not older than what had been reported when its request was sent.
    fn handle_response(&mut self, n: usize, id: RequestId, response: &HttpResponse) {
        let Some((job, reported_at_send)) = self.pending_requests.remove(&(n, id)) else { return };
        self.responses += 1;
        let status = match response.status {
            200 | 201 => {
                let v: JobView = protocol::decode(&response.body).unwrap();
                assert!(self.submitted.contains(&job), "{job} was never submitted");
                if v.status.is_final() {
                    ReportedStatus::Terminal
                } else {
                    ReportedStatus::Accepted
                }
            }
            404 => ReportedStatus::Unknown,
            _ => return,
        };
        assert!(
            status >= reported_at_send,
            "{job}: {reported_at_send:?} when the request was sent, the response is {status:?}"
        );
        let newest = self.reported.entry(job).or_insert(ReportedStatus::Unknown);
        if status > *newest {
            *newest = status;
        }
    }

    fn step(&mut self, jobs: usize, faults: bool) {
        self.now += self.rng.gen_range(0.0..0.05);
        let n = self.rng.gen_range(0..NODES);
        let id = format!("req-{}", self.rng.gen_range(0..jobs));
        match self.rng.gen_range(0..20) {
            0 => {
                self.submitted.insert(id.clone());
                self.send_request(n, &id, Request::Submit(protocol::encode(&plain_array(&id, 3))));
            }
            1 if self.submitted.contains(&id) => self.send_request(n, &id, Request::Cancel(id.clone())),
            2..=6 => {
                self.queries += 1;
                self.send_request(n, &id, Request::QueryStatus(id.clone()));
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

    /// A record that was read before the controller's cache of jobs began must not enter the cache:
    /// otherwise a job that another controller has cancelled since is reported as pending.
    #[test]
    fn reported_status_never_goes_back(seed in any::<u64>(), jobs in 1usize..12, faults in any::<bool>()) {
        let mut cluster = Cluster::new(seed);
        for _ in 0..1500 {
            cluster.step(jobs, faults);
        }
        prop_assert!(cluster.responses > 20);
    }
}

/// Runs for `duration_s` seconds and delivers all messages to and from the store at once, so that only
/// the number of reads matters.
fn settle(cluster: &mut Cluster, duration_s: f64) {
    let end = cluster.now + duration_s;
    while cluster.now < end {
        cluster.now += 0.01;
        for (n, call, op) in std::mem::take(&mut cluster.calls) {
            let r = cluster.store.execute(cluster.now, &op);
            let r = r.unwrap_or_else(|| cluster.store.no_events());
            cluster.feed(n, Input::Store(call, r));
        }
        for n in 0..NODES {
            cluster.feed(n, Input::Tick);
        }
    }
}

/// Queries share reads of the store. With one read per query, a flood of queries would use up the
/// rate limit that all nodes share.
#[test]
fn query_flood_costs_few_reads() {
    let mut cluster = Cluster::new(1);
    settle(&mut cluster, 2.0);
    for n in 0..100 {
        let id = format!("req-{n}");
        cluster.submitted.insert(id.clone());
        cluster.send_request(n % NODES, &id, Request::Submit(protocol::encode(&plain_array(&id, 3))));
        settle(&mut cluster, 0.1);
    }
    assert_eq!(cluster.reported.values().filter(|t| **t == ReportedStatus::Accepted).count(), 100);
    let (reads_before, responses_before) = (cluster.reads, cluster.responses);
    for _ in 0..10 {
        for n in 0..300 {
            // Half of the queries are for jobs that were never submitted.
            let id = format!("req-{}", n % 200);
            cluster.send_request(n % NODES, &id, Request::QueryStatus(id.clone()));
        }
        settle(&mut cluster, 1.0);
    }
    assert_eq!(cluster.responses - responses_before, 3000);
    let reads = cluster.reads - reads_before;
    // 10 s of shared reads by three nodes, and one read of each job per node.
    assert!(reads < 900, "{reads} reads for 3000 queries");
    let reads_before = cluster.reads;
    for _ in 0..10 {
        for n in 0..300 {
            let id = format!("req-{}", n % 100);
            cluster.send_request(n % NODES, &id, Request::QueryStatus(id.clone()));
        }
        settle(&mut cluster, 1.0);
    }
    assert!(
        cluster.reads - reads_before < 300,
        "{} reads for queries of known jobs",
        cluster.reads - reads_before
    );
}
