//! Configuration of a run, and the creation of a simulation from it.

use super::*;
use protocol::cloud::MachineType;

/// Largest rate error of a controller's monotonic clock: 0.05 %.
const MAX_CLOCK_DRIFT: f64 = 0.0005;

/// Configuration of a run.
pub struct Setup {
    /// Number of controllers, up to five.
    pub nodes: usize,
    /// Settings of the controllers, against which the rules are also checked.
    pub settings: Settings,
    /// Machine types that the cloud rents out.
    pub types: Vec<MachineType>,
    /// Maximum number of machines at the same time.
    pub capacity: usize,
    /// Jobs with their submission times.
    pub jobs: Vec<Submission>,
    /// Jobs whose tasks fail on every machine.
    pub failing_jobs: BTreeSet<String>,
    /// Faults with their start times.
    pub faults: Vec<ScheduledFault>,
    /// Seed of all random draws.
    pub seed: u64,
    /// Share of all messages that is lost, from 0 to 1.
    pub loss: f64,
    /// Timeout of a request that forwards heartbeats, in seconds. None for the value that follows
    /// from the settings.
    pub forward_timeout_s: Option<f64>,
    /// Safety checks of the controllers, each of which can be switched off.
    pub checks: SafetyChecks,
}

/// Job that a user submits and may cancel.
#[derive(Debug, Clone)]
pub struct Submission {
    /// Submission time, in simulated seconds.
    pub at: f64,
    /// Specification of the job.
    pub spec: JobSpec,
    /// Time at which the user cancels the job.
    pub cancel_at: Option<f64>,
}

impl Submission {
    /// Creates a submission of `spec` at `at` that is not cancelled.
    pub fn new(at: f64, spec: JobSpec) -> Self {
        Submission { at, spec, cancel_at: None }
    }

    /// Returns the same submission, cancelled at `cancel_at`.
    pub fn cancelled_at(self, cancel_at: impl Into<Option<f64>>) -> Self {
        Submission { cancel_at: cancel_at.into(), ..self }
    }
}

impl Simulation {
    /// Creates a deployment at time 0, without machines and with all controllers just started.
    pub fn new(setup: Setup) -> Self {
        let mut rng = SmallRng::seed_from_u64(setup.seed);
        let zones = &setup.types[0].zones;
        let nodes = (0..setup.nodes)
            .map(|n| {
                let drift = rng.gen_range(-MAX_CLOCK_DRIFT..MAX_CLOCK_DRIFT);
                Node::new(zones[n % zones.len()].clone(), 1.0 + drift)
            })
            .collect();
        let mut sim = Simulation::with_nodes(nodes, rng, &setup);
        for Submission { at, spec, cancel_at } in setup.jobs {
            let job = spec.id.clone();
            sim.users.insert(job.clone(), User::new(cancel_at));
            sim.history.specs.insert(job.clone(), spec);
            sim.schedule(at, Event::UserTurn(job));
        }
        for ScheduledFault { at, fault } in setup.faults {
            sim.schedule_fault(at, fault);
        }
        for node in 0..setup.nodes {
            sim.start_controller(node);
        }
        sim.schedule(0.0, Event::PeriodicStep);
        sim.schedule(0.5, Event::ExchangeViews);
        sim
    }

    /// Creates a deployment without any scheduled event.
    fn with_nodes(nodes: Vec<Node>, rng: SmallRng, setup: &Setup) -> Self {
        let params = &setup.settings.params;
        let default_timeout_s = Timing::from(&setup.settings).forward_timeout_s;
        let before_first_write = |node| CallKey { node, incarnation: 0, call: 0 };
        Simulation {
            now: 0.0,
            history: History { cancel_s: params.workers.cancel_s, ..History::default() },
            metrics: Metrics::default(),
            deleted: Vec::new(),
            usable_after_loss: BTreeSet::new(),
            wrongly_declared_dead: BTreeSet::new(),
            quarantined: BTreeSet::new(),
            unanswered_writes: Vec::new(),
            late_starts: Vec::new(),
            repeated_starts: Vec::new(),
            command_copies: CommandCopies::default(),
            settings: setup.settings.clone(),
            checks: setup.checks,
            loss: setup.loss,
            forward_timeout_s: setup.forward_timeout_s.unwrap_or(default_timeout_s),
            rng,
            events: EventQueue::default(),
            store: store_with_limits(&setup.settings),
            cloud: Cloud::new(setup.types.clone(), setup.capacity, params.cloud.list_lag_s),
            workers: BTreeMap::new(),
            users: BTreeMap::new(),
            open_calls: BTreeSet::new(),
            watches: Vec::new(),
            last_applied_write: (0..nodes.len()).map(before_first_write).collect(),
            nodes,
            faults: ActiveFaults::default(),
            faults_end: 0.0,
            failing_jobs: setup.failing_jobs.clone(),
            responded_at: BTreeMap::new(),
            lost_at: BTreeMap::new(),
            death_verdicts: BTreeSet::new(),
            dual_leadership_since: None,
            last_leader_at: 0.0,
            announced_format: None,
            test_response: None,
            queries: queries::Queries::default(),
            replayed_heartbeats: heartbeat_replay::ReplayedHeartbeats::default(),
            waiting_jobs: work_conservation::WaitingJobs::default(),
            interception: None,
            digest: None,
        }
    }
}

/// Creates an empty store with the current (not the announced) size limits and no rate limit.
fn store_with_limits(settings: &Settings) -> Store {
    let params = &settings.params.store;
    let mut store = Store::default();
    store.set_limits(Limits {
        value_bytes: (params.value_kb * 1024.0) as usize,
        txn_ops: params.txn_ops,
        write_rps: f64::MAX,
    });
    store
}
