//! State of the controller: one field for each component that owns a part of it.

use crate::calls::PendingCalls;
use crate::client_api::client_requests::{ClientRequests, MAX_CLIENT_WRITE_SHARE};
use crate::client_api::hedged_requests::HedgedRequests;
use crate::client_api::status_queries::StatusQueries;
use crate::election::state::ElectionState;
use crate::health::StoreHealth;
use crate::leader::state::{LeaderState, Role};
use crate::messages::{Output, Time};
use crate::proxy::sharding_state::ShardingState;
use crate::rate_limiter::RateLimiter;
use crate::safety_checks::SafetyChecks;
use crate::storage::format_negotiation::FormatNegotiation;
use crate::storage::spec_chunks::SpecChunkRetry;
use crate::storage::store_limits::StoreLimits;
use crate::terminal_states::TerminalStateCache;
use protocol::cloud::MachineType;
use protocol::peer::View;
use rand::{rngs::SmallRng, Rng, SeedableRng};
use settings::{Operator, Settings, Timing};
use sharding::PeerLiveness;
use std::collections::BTreeMap;

/// Share of the store's read rate that clients' requests at all nodes together may use. The rest is for
/// lease renewals, watches and the leader.
const CLIENT_READ_SHARE: f64 = 0.8;

/// Controller of one node.
pub struct Controller {
    /// Switches of the safety checks.
    pub(crate) checks: SafetyChecks,
    /// Settings of the node.
    pub(crate) settings: Settings,
    /// Durations derived from the settings.
    pub(crate) timing: Timing,
    /// Overrides set by the operator.
    pub(crate) operator: Operator,
    /// Only source of randomness.
    pub(crate) rng: SmallRng,
    /// Time of the current input on the monotonic clock, in seconds.
    pub(crate) now: Time,
    /// Unix time of the current input, in seconds.
    pub(crate) wall_time_s: f64,
    /// Calls that wait for a reply.
    pub(crate) calls: PendingCalls,
    /// Outputs of the current input.
    pub(crate) outputs: Vec<Output>,
    /// Role of this node, with the leader's state if it leads.
    pub(crate) role: Role,
    /// State of the leader key and of this node's campaign.
    pub(crate) election: ElectionState,
    /// Assignment of workers to controllers.
    pub(crate) sharding: ShardingState,
    /// Reachability of the store from this node.
    pub(crate) store_health: StoreHealth,
    /// Limits of the store, as learned from its refusals.
    pub(crate) store_limits: StoreLimits,
    /// Negotiation of the record format that every node reads.
    pub(crate) formats: FormatNegotiation,
    /// Records whose specification chunks could not be read, and will be read again.
    pub(crate) spec_chunk_retries: Vec<SpecChunkRetry>,
    /// Machine types of the cloud; none before they have been read.
    pub(crate) machine_types: Option<Vec<MachineType>>,
    /// Earliest time of the next read of the machine types.
    pub(crate) next_types_read_at: Time,
    /// Views of the other controllers by node, with the time of receipt.
    pub(crate) peers: BTreeMap<String, (View, Time)>,
    /// Failure detection between controllers.
    pub(crate) peer_liveness: PeerLiveness,
    /// Terminal states of jobs that this node has seen.
    pub(crate) terminal_states: TerminalStateCache,
    /// Submissions and cancellations in progress.
    pub(crate) client_requests: ClientRequests,
    /// Status queries in progress.
    pub(crate) status_queries: StatusQueries,
    /// Transactions of clients' requests in flight.
    pub(crate) hedged_requests: HedgedRequests,
    /// Read budget of clients' requests.
    pub(crate) client_reads: RateLimiter,
    /// Write budget of clients' requests.
    pub(crate) client_writes: RateLimiter,
}

impl Controller {
    /// Creates a follower that has read nothing yet. `seed` determines all random choices.
    pub fn new(settings: Settings, operator: Operator, seed: u64) -> Self {
        let mut timing = Timing::from(&settings);
        timing.planning_interval_s = operator.tick_s.unwrap_or(timing.planning_interval_s);
        let store = &settings.params.store;
        let nodes = f64::from(settings.params.nodes.max(1));
        let client_read_rps = store.rps * CLIENT_READ_SHARE / nodes;
        let client_write_rps = store.write_rps * MAX_CLIENT_WRITE_SHARE;
        let mut rng = SmallRng::seed_from_u64(seed);
        Controller {
            checks: SafetyChecks::default(),
            sharding: ShardingState::new(&settings, rng.gen(), timing),
            rng,
            now: 0.0,
            wall_time_s: 0.0,
            calls: PendingCalls::default(),
            outputs: Vec::new(),
            role: Role::Follower,
            election: ElectionState::default(),
            store_health: StoreHealth::default(),
            store_limits: StoreLimits::new(store),
            formats: FormatNegotiation::default(),
            spec_chunk_retries: Vec::new(),
            machine_types: None,
            next_types_read_at: 0.0,
            peers: BTreeMap::new(),
            peer_liveness: PeerLiveness::default(),
            terminal_states: TerminalStateCache::default(),
            client_requests: ClientRequests::default(),
            status_queries: StatusQueries::default(),
            hedged_requests: HedgedRequests::new(client_read_rps, client_write_rps),
            client_reads: RateLimiter::new(client_read_rps),
            client_writes: RateLimiter::new(client_write_rps),
            operator,
            settings,
            timing,
        }
    }

    /// Replaces the switches of the safety checks, for tests.
    pub fn set_safety_checks(&mut self, checks: SafetyChecks) {
        self.checks = checks;
        self.sharding.proxy.checks = checks.proxy;
    }

    /// Records that a timer of this node fired `lag_s` seconds after it was due.
    pub fn record_event_loop_lag(&mut self, lag_s: f64) {
        self.sharding.event_loop_lag.record(lag_s);
    }

    /// Returns the leader's state if this node leads with fencing token `token`.
    pub(crate) fn leader_state(&mut self, token: u64) -> Option<&mut LeaderState> {
        match &mut self.role {
            Role::Leader(leader) if leader.fencing_token == token => Some(leader),
            _ => None,
        }
    }
}
