//! Tests of the detection of interrupted contact with other nodes.

use anisecroft_sharding::PeerLiveness;

/// A process that restarts before its next view is missed still counts as interrupted, because
/// its workers try the other nodes one after the other. Otherwise a live machine is declared
/// dead if another node is partitioned at the same time.
#[test]
fn a_node_that_restarted_quickly_was_interrupted() {
    let mut liveness = PeerLiveness::default();
    let is_live = |liveness: &PeerLiveness, now: f64| liveness.is_live(now, 2.0, 10.0, "n-1");
    for second in 0..30 {
        liveness.record_contact(f64::from(second), "n-1", 2.0);
        liveness.record_incarnation(f64::from(second), "n-1", 7);
    }
    assert!(is_live(&liveness, 29.5));
    liveness.record_incarnation(29.7, "n-1", 8);
    assert!(!is_live(&liveness, 29.8));
    for second in 30..41 {
        liveness.record_contact(f64::from(second), "n-1", 2.0);
        liveness.record_incarnation(f64::from(second), "n-1", 8);
    }
    assert!(is_live(&liveness, 40.0));
}
