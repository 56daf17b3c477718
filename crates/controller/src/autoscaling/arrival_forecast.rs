//! The machines that jobs which usually arrive will need while a machine boots.

use crate::autoscaling::fleet::MachinePool;
use crate::messages::Time;
use crate::scheduling::class_stats::ClassStats;
use std::collections::BTreeMap;

/// Standard deviations of the arrivals beyond the departures that a reserve covers.
const COVERED_DEVIATIONS: f64 = 1.5;

/// Arrivals in one pool while a machine boots there.
#[derive(Debug, Default, Clone, Copy)]
struct PoolArrivals {
    /// Mean number of machines that the arriving jobs need.
    mean_machines: f64,
    /// Variance of the machines that arriving jobs need less those that ending jobs free. Both
    /// are taken for Poisson processes of the same rate.
    variance: f64,
}

/// Expected arrivals of all pools.
pub(super) struct ArrivalForecast {
    /// The operator multiplies the reserve by this; 0 to 10.
    reserve_share: f64,
    pools: BTreeMap<MachinePool, PoolArrivals>,
}

impl ArrivalForecast {
    /// From the arrivals of each job class so far.
    pub fn new<'a>(now: Time, reserve_share: f64, classes: impl Iterator<Item = &'a ClassStats>) -> Self {
        let mut pools: BTreeMap<MachinePool, PoolArrivals> = BTreeMap::new();
        for class in classes {
            let Some(demand) = &class.typical_demand else { continue };
            let jobs = class.arrival_rate(now) * demand.boot_s;
            let arrivals = pools.entry(demand.pool.clone()).or_default();
            arrivals.mean_machines += jobs * demand.machines;
            arrivals.variance += 2.0 * jobs * demand.mean_square;
        }
        ArrivalForecast { reserve_share, pools }
    }

    /// Machines that a burst of arrivals needs beyond those that ending jobs free.
    pub fn burst(&self, pool: &MachinePool) -> f64 {
        self.pools
            .get(pool)
            .map_or(0.0, |arrivals| COVERED_DEVIATIONS * arrivals.variance.sqrt() * self.reserve_share)
    }

    /// Machines that are kept free: where many jobs run, ending jobs free machines for arriving
    /// ones, and only a burst needs a reserve.
    pub fn reserve(&self, pool: &MachinePool) -> f64 {
        let mean = self.pools.get(pool).map_or(0.0, |arrivals| arrivals.mean_machines * self.reserve_share);
        mean.min(self.burst(pool))
    }
}
