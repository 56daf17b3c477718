//! What is kept in the state service: older forms are read, sizes are known.

use anisecroft_controller::records::*;
use serde::Serialize;

/// Placements as records held them before they became lists.
#[derive(Serialize)]
struct OldPlacement {
    task: u32,
    attempt: u64,
    machine: String,
}

#[derive(Serialize)]
struct OldPage {
    done: String,
    places: Vec<OldPlacement>,
}

#[test]
fn placements_stored_as_maps_are_read() {
    let old = OldPage {
        done: "f1".into(),
        places: vec![OldPlacement { task: 3, attempt: 2, machine: "vm-000012".into() }],
    };
    let page: PageRecord = protocol::decode(&protocol::encode(&old)).unwrap();
    assert_eq!(page.placements, [StoredPlacement { task: 3, attempt: 2, machine: "vm-000012".into() }]);
    assert_eq!(protocol::decode::<PageRecord>(&protocol::encode(&page)).unwrap(), page);
}

#[test]
fn a_page_of_usual_placements_fits_a_value() {
    assert_eq!(StoredPlacement::size(17, 204, "vm-000012"), r#"[17, 204, "vm-000012"], "#.len());
    for fit in [1_000, 2_000, 8_000, 32_000, 500_000] {
        let tasks = tasks_per_page(fit, 450);
        let page = tasks as usize * StoredPlacement::size(999, 999, "vm-001234");
        assert!(tasks <= 4 || page + 450 + RECORD_BYTES <= fit, "{tasks} tasks take {page}");
    }
    // An array of 250 tasks is one key at 8 KiB: a launch costs one change.
    assert!(tasks_per_page(8192 * 31 / 32, 450) >= 250);
}
