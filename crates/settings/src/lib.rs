//! Settings of a node: the file that the platform hands over, checked field by field, the
//! operators' own settings, and the intervals that the program derives from both.
//!
//! Fields have the names of the code; serde's attributes map them to the names in the file.

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
