//! Amounts of cores, accelerators and memory, and the bin packing questions about them.

/// Rounding errors up to this amount do not keep a task from fitting.
pub(crate) const RESOURCE_TOLERANCE: f64 = 1e-6;

/// Upper bound of [`Resources::instances_that_fit`], for tasks that need next to nothing.
const MAX_INSTANCES: f64 = 100_000.0;

/// What a task needs or a machine has.
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
    /// The three amounts, in the order of the fields.
    pub fn new(cores: f64, accelerators: f64, memory_gb: f64) -> Self {
        Resources { cores, accelerators, memory_gb }
    }

    /// Whether `need` fits into these resources.
    pub fn fits(&self, need: &Resources) -> bool {
        need.cores <= self.cores + RESOURCE_TOLERANCE
            && need.accelerators <= self.accelerators + RESOURCE_TOLERANCE
            && need.memory_gb <= self.memory_gb + RESOURCE_TOLERANCE
    }

    /// Takes `other` off; amounts may become negative.
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

    /// These resources times `factor`.
    pub fn scaled(&self, factor: f64) -> Resources {
        Resources::new(self.cores * factor, self.accelerators * factor, self.memory_gb * factor)
    }

    /// How many tasks that need `need` fit side by side.
    pub fn instances_that_fit(&self, need: &Resources) -> u32 {
        let by_amount = |available: f64, needed: f64| {
            if needed > 0.0 {
                (available + RESOURCE_TOLERANCE) / needed
            } else {
                f64::MAX
            }
        };
        by_amount(self.cores, need.cores)
            .min(by_amount(self.accelerators, need.accelerators))
            .min(by_amount(self.memory_gb, need.memory_gb))
            .clamp(0.0, MAX_INSTANCES) as u32
    }

    /// The largest part, over the three amounts, that these resources take of a machine of `size`.
    pub(crate) fn dominant_share_of(&self, size: &Resources) -> f64 {
        (self.cores / size.cores.max(RESOURCE_TOLERANCE))
            .max(self.accelerators / size.accelerators.max(RESOURCE_TOLERANCE))
            .max(self.memory_gb / size.memory_gb.max(RESOURCE_TOLERANCE))
    }

    /// The smaller of both, amount by amount.
    pub(crate) fn min(&self, other: &Resources) -> Resources {
        Resources::new(
            self.cores.min(other.cores),
            self.accelerators.min(other.accelerators),
            self.memory_gb.min(other.memory_gb),
        )
    }
}
