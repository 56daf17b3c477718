//! Forecast of the machines that newly arriving jobs will need within the boot time of a machine.

use crate::autoscaling::fleet::MachinePool;
use crate::messages::Time;
use crate::scheduling::class_stats::ClassStats;
use std::collections::BTreeMap;

/// Number of standard deviations of the net arrivals that a reserve covers.
const COVERED_DEVIATIONS: f64 = 1.5;

/// Expected arrivals in one pool within the boot time of a machine.
#[derive(Debug, Default, Clone, Copy)]
struct PoolArrivals {
    /// Mean number of machines that the arriving jobs need.
    mean_machines: f64,
    /// Variance of the machines that arriving jobs need minus those that ending jobs free. Both are
    /// assumed to be Poisson processes with the same rate.
    variance: f64,
}

/// Expected arrivals in all pools.
pub(super) struct ArrivalForecast {
    /// Operator's multiplier of the reserve, 0 to 10.
    reserve_share: f64,
    pools: BTreeMap<MachinePool, PoolArrivals>,
}

impl ArrivalForecast {
    /// Creates the forecast from the recorded arrivals of each job class.
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

    /// Returns the number of machines that a burst of arrivals needs beyond those that ending jobs
    /// free.
    pub fn burst(&self, pool: &MachinePool) -> f64 {
        self.pools
            .get(pool)
            .map_or(0.0, |arrivals| COVERED_DEVIATIONS * arrivals.variance.sqrt() * self.reserve_share)
    }

    /// Returns the number of machines to keep free. In pools with many jobs, ending jobs free machines
    /// for arriving ones, so the reserve only has to cover a burst.
    pub fn reserve(&self, pool: &MachinePool) -> f64 {
        let mean = self.pools.get(pool).map_or(0.0, |arrivals| arrivals.mean_machines * self.reserve_share);
        mean.min(self.burst(pool))
    }
}
