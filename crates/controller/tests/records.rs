//! Stored records: forms of earlier versions are decoded, and estimated sizes are upper bounds.

use anisecroft_controller::records::*;
use protocol::job::{JobSpec, Priority, Shape};
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

/// Names with characters that JSON writes as escape sequences.
const UNUSUAL_NAMES: [&str; 6] =
    ["ééééééééééééé", "quo\"te", "back\\slash", "งานผู้ป่วย", "\u{1f69b}\u{1f69b}", "tab\tline\n"];

fn spec_with_names(count: usize) -> JobSpec {
    let names = UNUSUAL_NAMES.iter().cycle().take(count);
    JobSpec {
        id: "req-1".into(),
        class: "work".into(),
        team: "dispatch".into(),
        shape: Shape::Array,
        priority: Priority::Normal,
        tasks: 9,
        cores: 1.0,
        accelerators: 0.0,
        memory_gb: 1.0,
        image: UNUSUAL_NAMES.concat(),
        image_gb: 1.0,
        machine_types: Some(names.map(ToString::to_string).collect()),
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimated_run_s: 1.0,
        checkpoint_interval_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

/// Guards against a size that is estimated too low because JSON may escape characters beyond ASCII.
#[test]
fn sizes_allow_for_escaped_characters() {
    assert_eq!(json_size(&"งา"), "\"\\u0e07\\u0e32\"".len());
    assert_eq!(json_size(&"a\u{1f69b}"), "\"a\\ud83d\\ude9b\"".len());
    for name in UNUSUAL_NAMES {
        let placement = StoredPlacement { task: 3, attempt: 2, machine: name.into() };
        assert!(StoredPlacement::size(3, 2, name) >= json_size(&placement), "{name}");
    }
}

/// Guards against chunks that exceed a value because JSON escapes their characters.
#[test]
fn chunks_of_unusual_names_fit_a_value() {
    for max_value_bytes in [1_984, 7_936, 31_744] {
        for count in 0..400 {
            let spec = spec_with_names(count);
            let record = JobRecord::new(spec.clone(), 1.7e9, max_value_bytes);
            let (_, chunks) = record.split_spec("67654321-ffffffff".into(), max_value_bytes);
            let chunk_sizes = chunks.iter().map(|(_, chunk)| json_size(chunk));
            assert!(chunk_sizes.max().unwrap_or_default() <= max_value_bytes, "{count}");
        }
    }
}

/// Guards against two estimates of one size: whatever the length of a specification, a record that
/// is stored with it keeps room for placements, and otherwise each of its chunks fits.
#[test]
fn every_specification_fits_its_record_or_its_chunks() {
    for max_value_bytes in [1_984, 7_936, 31_744] {
        for count in 0..400 {
            let spec = spec_with_names(count);
            let sizes = JobValueSizes::with_whole_spec(&spec);
            let record = JobRecord::new(spec.clone(), 1.7e9, max_value_bytes);
            if sizes.leaves_room_for_first_page(spec.tasks, max_value_bytes) {
                assert!(
                    json_size(&Value::Job(Box::new(full_first_page(record)))) <= max_value_bytes,
                    "{count}"
                );
                continue;
            }
            let (mut stub, chunks) = record.split_spec("67654321-ffffffff".into(), max_value_bytes);
            let chunk_sizes = chunks.iter().map(|(_, chunk)| json_size(chunk));
            assert!(chunk_sizes.max().unwrap_or_default() <= max_value_bytes, "{count}");
            let texts = chunks.iter().map(|(_, chunk)| match chunk {
                Value::SpecChunk(text) => text.clone(),
                other => panic!("{other:?}"),
            });
            let texts: Vec<String> = texts.collect();
            assert!(
                json_size(&Value::Job(Box::new(full_first_page(stub.clone())))) <= max_value_bytes,
                "{count}"
            );
            assert!(stub.join_spec(&texts) && stub.spec == spec, "{count}");
        }
    }
}

/// Fills the smallest first page with placements, and every other field with its longest value.
fn full_first_page(record: JobRecord) -> JobRecord {
    let placement = |task| StoredPlacement { task, attempt: u64::from(u32::MAX), machine: "m".repeat(64) };
    let first_page = PageRecord { done: "fff".into(), placements: (0..4).map(placement).collect() };
    JobRecord {
        first_page,
        submitted_wall_s: 1_700_000_000.123_456_7,
        ready_wall_s: Some(1_700_000_000.123_456_7),
        done: u32::MAX,
        running: u32::MAX,
        attempt: u64::MAX,
        layout: u32::MAX,
        ..record
    }
}
