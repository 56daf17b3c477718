//! Whether a machine hears what it is answered: its reports may arrive while nothing reaches
//! it. It has no work then that lasts for longer than its lease, and what is placed there
//! never starts; nothing in a single report tells.

use crate::messages::Time;

/// What a machine's sessions say of it. A worker whose lease ends although its reports came
/// and were answered has heard none of the answers; one whose session outlasts a lease has
/// heard one.
#[derive(Debug, Clone, Default)]
pub struct InboundReachability {
    /// When the present session's first report came.
    epoch_since: Time,
    /// Since when reports have come without a pause.
    contact_since: Time,
    /// Leases that ended in a row, each heard to the end.
    missed_leases: u32,
}

/// Since when this leader has answered reports without a break. While it may answer nobody, the
/// leases of all workers end, and that says nothing of their ears. (After an outage of the state
/// service that was longer than three leases, it once gave the whole fleet back as deaf.)
#[derive(Debug, Clone, Copy, Default)]
pub struct LeaderResponsiveness(Option<Time>);

impl LeaderResponsiveness {
    /// Looks whether reports are answered `now`.
    pub fn update(&mut self, now: Time, answers: bool) {
        self.0 = if answers { self.0.or(Some(now)) } else { None };
    }

    /// When it began to answer, if it does.
    pub fn since(&self, now: Time) -> Time {
        self.0.unwrap_or(now)
    }
}

/// By what it is judged.
#[derive(Debug, Clone, Copy)]
pub struct HeartbeatTiming {
    /// Reports at most that far apart come without a pause, tries of other nodes in between.
    pub max_gap_s: Time,
    /// When a lease is over for certain.
    pub lease_expiry_s: Time,
    /// Since when reports have been answered.
    pub responding_since: Time,
}

/// Leases after which it is given back: as long as machines out of reach are kept.
const MOST_MISSED: u32 = 3;

impl InboundReachability {
    /// A report came at `came` with a session of that number, the last before it at `last`
    /// with session `old` (0: none). True if the machine turns out to hear nothing.
    pub fn record(
        &mut self,
        old: u64,
        new: u64,
        last: Option<Time>,
        came: Time,
        pace: &HeartbeatTiming,
    ) -> bool {
        let HeartbeatTiming { max_gap_s: gap_s, lease_expiry_s: lease_s, responding_since: voice } = *pace;
        let before = self.missed_leases;
        if last.is_none_or(|l| came - l > gap_s) {
            self.contact_since = came;
        }
        if new > old {
            // After a silence it is the way of the reports that was cut; they may have been
            // held, and come all at once with the sessions of minutes.
            let heard = old > 0 && came - self.contact_since.max(voice) > lease_s;
            self.missed_leases = if heard { self.missed_leases + 1 } else { 0 };
            self.epoch_since = came;
        } else if came - self.epoch_since > lease_s + gap_s {
            self.missed_leases = 0;
        }
        self.missed_leases > before
    }

    /// It hears nothing, as far as is known: no work for it.
    pub fn receives_nothing(&self) -> bool {
        self.missed_leases > 0
    }

    /// It has heard nothing for so long that it is given back.
    pub fn is_lost(&self) -> bool {
        self.missed_leases >= MOST_MISSED
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const PACE: HeartbeatTiming =
        HeartbeatTiming { max_gap_s: 9.0, lease_expiry_s: 19.5, responding_since: 0.0 };

    /// Reports every `gap` seconds, of a session that is one higher every `lease` seconds.
    fn run(ears: &mut InboundReachability, from: Time, to: Time, gap: Time, lease: Option<Time>) {
        let (mut at, mut session) = (from, 1 + from as u64);
        let mut begun = from;
        ears.record(0, session, None, at, &PACE);
        while at + gap < to {
            let last = at;
            at += gap;
            let old = session;
            if lease.is_some_and(|l| at - begun > l) {
                (session, begun) = (session + 1, at);
            }
            ears.record(old, session, Some(last), at, &PACE);
        }
    }

    #[test]
    fn sessions_that_end_in_the_middle_of_reports_tell() {
        let mut ears = InboundReachability::default();
        run(&mut ears, 0.0, 60.0, 3.0, None);
        assert!(!ears.receives_nothing());
        run(&mut ears, 60.0, 85.0, 5.0, Some(19.0));
        assert!(ears.receives_nothing() && !ears.is_lost());
        // It hears again, and its session goes on.
        run(&mut ears, 100.0, 140.0, 3.0, None);
        assert!(!ears.receives_nothing());
        run(&mut ears, 200.0, 270.0, 5.0, Some(19.0));
        assert!(ears.is_lost());
        // Silent for longer than its lease: its reports did not arrive either.
        let mut cut = InboundReachability::default();
        cut.record(0, 1, None, 0.0, &PACE);
        assert!(!cut.record(1, 2, Some(0.0), 30.0, &PACE));
        // Or they were held, and come at once.
        for session in 2..6 {
            assert!(!cut.record(session, session + 1, Some(30.0), 30.1, &PACE));
        }
        assert!(!cut.receives_nothing());
        // Or nobody was answered until a moment ago.
        let mut unanswered = InboundReachability::default();
        unanswered.record(0, 1, None, 0.0, &PACE);
        (1..6).for_each(|n| {
            let at = f64::from(n) * 5.0;
            unanswered.record(1, 1, Some(at - 5.0), at, &HeartbeatTiming { responding_since: at, ..PACE });
        });
        assert!(!unanswered.record(
            1,
            2,
            Some(25.0),
            30.0,
            &HeartbeatTiming { responding_since: 20.0, ..PACE }
        ));
        assert!(unanswered.clone().record(1, 2, Some(25.0), 30.0, &PACE));
    }
}
