//! Unit tests of the private decision functions.

use super::*;

#[test]
fn a_leader_without_workers_steps_down_unless_no_peer_hears_any() {
    assert!(would_peer_serve_better(0, None));
    assert!(!would_peer_serve_better(0, Some(0)));
    assert!(would_peer_serve_better(0, Some(1)));
}

#[test]
fn a_leader_with_workers_steps_down_for_more_than_twice_as_many() {
    assert!(!would_peer_serve_better(10, None));
    assert!(!would_peer_serve_better(10, Some(21)));
    assert!(would_peer_serve_better(10, Some(22)));
}

#[test]
fn silence_of_more_than_a_third_is_a_mass_silence() {
    assert!(!are_too_many_silent(2, 0));
    assert!(!are_too_many_silent(3, 2));
    assert!(are_too_many_silent(3, 1));
    assert!(!are_too_many_silent(90, 60));
    assert!(are_too_many_silent(90, 59));
}
