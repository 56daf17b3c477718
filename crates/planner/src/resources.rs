//! Amounts of cores, accelerators and memory, and the arithmetic for bin packing.

/// Tolerance for rounding errors when amounts of resources are compared.
pub(crate) const RESOURCE_TOLERANCE: f64 = 1e-6;

/// Upper bound of [`Resources::instances_that_fit`], for tasks that need almost no resources.
const MAX_INSTANCES: f64 = 100_000.0;

/// Amounts of resources that a task needs or a machine has.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Resources {
    /// Processor cores; fractions are allowed.
    pub cores: f64,
    /// Accelerators (GPUs); fractions are allowed.
    pub accelerators: f64,
    /// Memory in GB.
    pub memory_gb: f64,
}

impl Resources {
    /// Creates resources from the three amounts.
    pub fn new(cores: f64, accelerators: f64, memory_gb: f64) -> Self {
        Resources { cores, accelerators, memory_gb }
    }

    /// Whether `need` fits into these resources.
    pub fn fits(&self, need: &Resources) -> bool {
        need.cores <= self.cores + RESOURCE_TOLERANCE
            && need.accelerators <= self.accelerators + RESOURCE_TOLERANCE
            && need.memory_gb <= self.memory_gb + RESOURCE_TOLERANCE
    }

    /// Subtracts `other`; amounts may become negative.
    pub fn subtract(&mut self, other: &Resources) {
        self.cores -= other.cores;
        self.accelerators -= other.accelerators;
        self.memory_gb -= other.memory_gb;
    }

    /// Adds `other`.
    pub fn add(&mut self, other: &Resources) {
        self.cores += other.cores;
        self.accelerators += other.accelerators;
        self.memory_gb += other.memory_gb;
    }

    /// Returns these resources multiplied by `factor`.
    pub fn scaled(&self, factor: f64) -> Resources {
        Resources::new(self.cores * factor, self.accelerators * factor, self.memory_gb * factor)
    }

    /// Returns the number of tasks with the requirements `need` that fit at the same time.
    pub fn instances_that_fit(&self, need: &Resources) -> u32 {
        let instances_within = |available: f64, needed: f64| {
            if needed > 0.0 {
                (available + RESOURCE_TOLERANCE) / needed
            } else {
                f64::MAX
            }
        };
        instances_within(self.cores, need.cores)
            .min(instances_within(self.accelerators, need.accelerators))
            .min(instances_within(self.memory_gb, need.memory_gb))
            .clamp(0.0, MAX_INSTANCES) as u32
    }

    /// Returns the dominant share: the largest share, over the three amounts, that these resources
    /// take of a machine of `size`.
    pub(crate) fn dominant_share_of(&self, size: &Resources) -> f64 {
        (self.cores / size.cores.max(RESOURCE_TOLERANCE))
            .max(self.accelerators / size.accelerators.max(RESOURCE_TOLERANCE))
            .max(self.memory_gb / size.memory_gb.max(RESOURCE_TOLERANCE))
    }

    /// Returns the minimum of both, amount by amount.
    pub(crate) fn min(&self, other: &Resources) -> Resources {
        Resources::new(
            self.cores.min(other.cores),
            self.accelerators.min(other.accelerators),
            self.memory_gb.min(other.memory_gb),
        )
    }
}
