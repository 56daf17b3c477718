//! Which nodes have been there all along.

use anisecroft_sharding::PeerLiveness;

/// A process that ended and was back before its next view was missed is away all the same, as
/// far as its workers go: they try the other nodes one after the other. (A live machine
/// was given up for it while another node was cut off.)
#[test]
fn who_was_back_at_once_has_been_away() {
    let mut p = PeerLiveness::default();
    let here = |p: &PeerLiveness, now: f64| p.is_live(now, 2.0, 10.0, "n-1");
    for second in 0..30 {
        p.record_contact(f64::from(second), "n-1", 2.0);
        p.record_incarnation(f64::from(second), "n-1", 7);
    }
    assert!(here(&p, 29.5));
    p.record_incarnation(29.7, "n-1", 8);
    assert!(!here(&p, 29.8));
    for second in 30..41 {
        p.record_contact(f64::from(second), "n-1", 2.0);
        p.record_incarnation(f64::from(second), "n-1", 8);
    }
    assert!(here(&p, 40.0));
}
