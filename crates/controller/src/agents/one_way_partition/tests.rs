//! Unit tests, which are part of the crate because the module `agents` is private.

use super::*;

const TIMING: HeartbeatTiming =
    HeartbeatTiming { max_gap_s: 9.0, lease_expiry_s: 19.5, responding_since: 0.0 };

/// Returns the arrival of a heartbeat of `epoch` at `at`, after one of `previous_epoch` at
/// `previous_at`.
fn arrival(previous_epoch: u64, epoch: u64, previous_at: Option<Time>, at: Time) -> HeartbeatArrival {
    HeartbeatArrival { previous_epoch, epoch, previous_at, at }
}

/// Records a heartbeat every `gap_s` seconds, with a new epoch after every `lease_s` seconds.
fn send_heartbeats(
    reachability: &mut InboundReachability,
    from: Time,
    to: Time,
    gap_s: Time,
    lease_s: Option<Time>,
) {
    let mut at = from;
    let mut epoch = 1 + from as u64;
    let mut epoch_began_at = from;
    reachability.record(&arrival(0, epoch, None, at), &TIMING);
    while at + gap_s < to {
        let previous_at = at;
        let previous_epoch = epoch;
        at += gap_s;
        if lease_s.is_some_and(|lease_s| at - epoch_began_at > lease_s) {
            epoch += 1;
            epoch_began_at = at;
        }
        reachability.record(&arrival(previous_epoch, epoch, Some(previous_at), at), &TIMING);
    }
}

#[test]
fn an_epoch_that_outlasts_a_lease_shows_a_reachable_machine() {
    let mut reachability = InboundReachability::default();
    send_heartbeats(&mut reachability, 0.0, 60.0, 3.0, None);
    assert!(!reachability.receives_nothing());
}

#[test]
fn epochs_that_end_during_contact_show_a_one_way_partition() {
    let mut reachability = InboundReachability::default();
    send_heartbeats(&mut reachability, 0.0, 60.0, 3.0, None);
    assert!(!reachability.receives_nothing());
    send_heartbeats(&mut reachability, 60.0, 85.0, 5.0, Some(19.0));
    assert!(reachability.receives_nothing() && !reachability.is_lost());
    // The machine receives responses again, so its epoch outlasts a lease.
    send_heartbeats(&mut reachability, 100.0, 140.0, 3.0, None);
    assert!(!reachability.receives_nothing());
    send_heartbeats(&mut reachability, 200.0, 270.0, 5.0, Some(19.0));
    assert!(reachability.is_lost());
}

#[test]
fn a_new_epoch_after_silence_shows_nothing() {
    // The worker was silent for longer than its lease, so its heartbeats did not arrive either.
    let mut reachability = InboundReachability::default();
    reachability.record(&arrival(0, 1, None, 0.0), &TIMING);
    assert!(!reachability.record(&arrival(1, 2, Some(0.0), 30.0), &TIMING));
    // Delayed heartbeats of several epochs arrive at the same time.
    for epoch in 2..6 {
        assert!(!reachability.record(&arrival(epoch, epoch + 1, Some(30.0), 30.1), &TIMING));
    }
    assert!(!reachability.receives_nothing());
}

#[test]
fn a_leader_that_did_not_respond_blames_no_machine() {
    let mut reachability = InboundReachability::default();
    reachability.record(&arrival(0, 1, None, 0.0), &TIMING);
    for n in 1..6 {
        let at = f64::from(n) * 5.0;
        let timing = HeartbeatTiming { responding_since: at, ..TIMING };
        reachability.record(&arrival(1, 1, Some(at - 5.0), at), &timing);
    }
    let last = arrival(1, 2, Some(25.0), 30.0);
    let timing = HeartbeatTiming { responding_since: 20.0, ..TIMING };
    assert!(!reachability.record(&last, &timing));
    // If the leader has responded all the time, the same heartbeats show a one-way partition.
    assert!(reachability.record(&last, &TIMING));
}
