//! Settings of a node: the settings file provided by the platform, which is validated field by field,
//! the operator settings, and the intervals derived from the platform's settings.
//!
//! Serde attributes map the names of the fields in the code to the names in the file.

mod error;
mod limits;
mod operator;
mod platform;
mod timing;
mod validation;

pub use error::{Position, SettingsError};
pub use limits::{CloudLimits, NextLimits, Resources, StateLimits};
pub use operator::Operator;
pub use platform::{Params, Peer, Services, Settings, Slo, Team, Workers};
pub use timing::{Timing, CLOCK_DRIFT_FACTOR};
