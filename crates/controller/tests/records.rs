//! Stored records: forms of earlier versions are decoded, and estimated sizes are upper bounds.

use anisecroft_controller::records::*;
use serde::Serialize;

/// Size of a typical specification in JSON.
const SPEC_BYTES: usize = 450;

/// A placement as earlier versions stored it, as a map; now it is stored as a list.
#[derive(Serialize)]
struct OldPlacement {
    task: u32,
    attempt: u64,
    machine: String,
}

/// A page with placements in the old form.
#[derive(Serialize)]
struct OldPage {
    done: String,
    places: Vec<OldPlacement>,
}

#[test]
fn placements_stored_as_maps_are_decoded() {
    let old = OldPage {
        done: "f1".into(),
        places: vec![OldPlacement { task: 3, attempt: 2, machine: "vm-000012".into() }],
    };
    let page: PageRecord = protocol::decode(&protocol::encode(&old)).unwrap();
    assert_eq!(page.placements, [StoredPlacement { task: 3, attempt: 2, machine: "vm-000012".into() }]);
    assert_eq!(protocol::decode::<PageRecord>(&protocol::encode(&page)).unwrap(), page);
}

#[test]
fn page_of_typical_placements_fits_the_value_limit() {
    assert_eq!(StoredPlacement::size(17, 204, "vm-000012"), r#"[17, 204, "vm-000012"], "#.len());
    for max_value_bytes in [1_000, 2_000, 8_000, 32_000, 500_000] {
        let tasks = tasks_per_page(max_value_bytes, SPEC_BYTES);
        let placements_bytes = tasks as usize * StoredPlacement::size(999, 999, "vm-001234");
        assert!(
            tasks <= 4 || placements_bytes + SPEC_BYTES + RECORD_OVERHEAD_BYTES <= max_value_bytes,
            "the placements of {tasks} tasks take {placements_bytes} bytes"
        );
    }
    // With values of 8 KiB, an array of 250 tasks fits in one key, so that a launch takes one mutation.
    assert!(tasks_per_page(8192 * 31 / 32, SPEC_BYTES) >= 250);
}
