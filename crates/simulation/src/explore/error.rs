//! Errors in replay lines and options. Each text says how to correct the input.

/// Invalid replay line or option.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InputError {
    /// No safety check has this name.
    #[error("unknown safety check {name:?}; use one of {known}")]
    UnknownCheck {
        /// Given value.
        name: String,
        /// Existing names.
        known: String,
    },
    /// No script has this name.
    #[error("unknown script {name:?}; use one of {known}")]
    UnknownScript {
        /// Given value.
        name: String,
        /// Existing names.
        known: String,
    },
    /// No kind of fault has this word.
    #[error("unknown fault {name:?}; use one of {known}")]
    UnknownFault {
        /// Given value.
        name: String,
        /// Existing words.
        known: String,
    },
    /// A time was given for a fault that takes none.
    #[error("fault {word} takes no time; write {word} instead of {text:?}")]
    UnexpectedTime {
        /// Word of the fault.
        word: String,
        /// Given value.
        text: String,
    },
    /// The time of a fault is missing or out of range.
    #[error("{text:?} needs a time above 0 and up to 600 seconds, like {word}:6")]
    InvalidTime {
        /// Word of the fault.
        word: String,
        /// Given value.
        text: String,
    },
    /// The line is empty.
    #[error("the replay line is empty; pass a line that a run printed")]
    EmptyLine,
    /// The seed is not a number.
    #[error("{text:?} needs a whole number as seed, like seed:1")]
    InvalidSeed {
        /// Given value.
        text: String,
    },
    /// The message number is invalid.
    #[error("{text:?} needs a message number, like 12:lost")]
    InvalidMessageNumber {
        /// Given value.
        text: String,
    },
    /// A part of the line has no colon.
    #[error("{text:?} is not a valid part of a replay line; write NUMBER:TROUBLE, like 12:lost")]
    UnknownPart {
        /// Given value.
        text: String,
    },
    /// The number of faults in one run is out of range.
    #[error("depth {depth} is not supported; use --depth 1 or --depth 2")]
    InvalidDepth {
        /// Given value.
        depth: usize,
    },
    /// The number of threads is out of range.
    #[error("{jobs} threads are not supported; use --jobs 1 to 256")]
    InvalidThreads {
        /// Given value.
        jobs: usize,
    },
    /// The divisor for the selection of runs is zero.
    #[error("--every 0 selects no runs; use --every 1 for all runs")]
    InvalidFraction,
    /// The time limit is not a positive number of seconds.
    #[error("--most-s needs a number of seconds above 0, like --most-s 60")]
    InvalidTimeLimit,
}
