//! Which nodes have been reachable without interruption.

use anisecroft_sharding::PeerLiveness;

/// A process that restarted before its next view was missed was interrupted all the same, as
/// far as its workers go: they try the other nodes one after the other. (A live machine
/// was once declared dead for it while another node was cut off.)
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
