//! Stored records: forms of earlier versions are read, and sizes are estimated from above.

use anisecroft_controller::records::*;
use serde::Serialize;

/// A typical specification's size in JSON.
const SPEC_BYTES: usize = 450;

/// A placement as it was stored before placements became lists.
#[derive(Serialize)]
struct OldPlacement {
    task: u32,
    attempt: u64,
    machine: String,
}

/// A page with such placements.
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
    for max_value_bytes in [1_000, 2_000, 8_000, 32_000, 500_000] {
        let tasks = tasks_per_page(max_value_bytes, SPEC_BYTES);
        let page = tasks as usize * StoredPlacement::size(999, 999, "vm-001234");
        assert!(
            tasks <= 4 || page + SPEC_BYTES + RECORD_OVERHEAD_BYTES <= max_value_bytes,
            "{tasks} tasks take {page}"
        );
    }
    // An array of 250 tasks is one key at 8 KiB: a launch costs one change.
    assert!(tasks_per_page(8192 * 31 / 32, SPEC_BYTES) >= 250);
}
