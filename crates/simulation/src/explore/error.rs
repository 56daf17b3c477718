//! What can be wrong with a replay line or an option. Each text names what to do.

/// A line or option that can't be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InputError {
    /// No safety check has that name.
    #[error("unknown guard {name:?}; name one of {known}")]
    UnknownCheck {
        /// What was given.
        name: String,
        /// The names that there are.
        known: String,
    },
    /// No script has that name.
    #[error("unknown script {name:?}; name one of {known}")]
    UnknownScript {
        /// What was given.
        name: String,
        /// The names that there are.
        known: String,
    },
    /// No kind of fault has that word.
    #[error("unknown kind of trouble {name:?}; use one of {known}")]
    UnknownFault {
        /// What was given.
        name: String,
        /// The words that there are.
        known: String,
    },
    /// A fault that takes no time was given one.
    #[error("{word} takes no time, so {text:?} has to be {word}")]
    UnexpectedTime {
        /// The fault's word.
        word: String,
        /// What was given.
        text: String,
    },
    /// A fault's time is missing or out of range.
    #[error("{text:?} needs seconds from 0 to 600, like {word}:6")]
    InvalidTime {
        /// The fault's word.
        word: String,
        /// What was given.
        text: String,
    },
    /// The line is empty.
    #[error("an empty line; pass one that a run printed")]
    EmptyLine,
    /// The seed is no number.
    #[error("{text:?} needs a whole number, like seed:1")]
    InvalidSeed {
        /// What was given.
        text: String,
    },
    /// The number of a message is none.
    #[error("{text:?} needs a message's number, like 12:lost")]
    InvalidMessageNumber {
        /// What was given.
        text: String,
    },
    /// A word has no colon.
    #[error("{text:?} is no part of a line; write NUMBER:TROUBLE, like 12:lost")]
    UnknownPart {
        /// What was given.
        text: String,
    },
    /// The number of faults in one run is out of range.
    #[error("depth {depth} is not known; use --depth 1 or --depth 2")]
    InvalidDepth {
        /// What was given.
        depth: usize,
    },
    /// The number of threads is out of range.
    #[error("{jobs} threads are not possible; use --jobs 1 to 256")]
    InvalidThreads {
        /// What was given.
        jobs: usize,
    },
    /// One run in zero was asked for.
    #[error("one in 0 runs is none; use --every 1 for all")]
    InvalidFraction,
    /// The time limit is no positive number of seconds.
    #[error("--most-s needs a number of seconds above 0, like --most-s 60")]
    InvalidTimeLimit,
}
