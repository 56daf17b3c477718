//! Round trips of wire formats with generated inputs, names on the wire and rejection of invalid
//! bodies.

use anisecroft_protocol::job::*;
use anisecroft_protocol::worker::*;
use anisecroft_protocol::{decode, encode, DecodeError};
use proptest::prelude::*;

fn spec() -> JobSpec {
    JobSpec {
        id: "req-000412".into(),
        class: "train".into(),
        team: "vision".into(),
        shape: Shape::Gang,
        priority: Priority::High,
        tasks: 16,
        cores: 8.0,
        accelerators: 1.0,
        memory_gb: 64.0,
        image: "img-07".into(),
        image_gb: 6.2,
        machine_types: Some(vec!["g8".into()]),
        zone: None,
        one_zone: true,
        spread: false,
        spot: true,
        estimated_run_s: 240.0,
        checkpoint_interval_s: 30.0,
        save_s: 4.0,
        deadline_s: Some(900.0),
        dependencies: Vec::new(),
    }
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn specs_round_trip(tasks in 1u32..=MAX_TASKS, cores in 0.0f64..1e6, deadline_s in proptest::option::of(0.0f64..1e6), id in "req-[0-9]{1,20}") {
        let submitted = JobSpec { id, tasks, cores, deadline_s, ..spec() };
        prop_assert!(submitted.check().is_ok());
        prop_assert_eq!(decode::<JobSpec>(&encode(&submitted)).unwrap(), submitted);
    }

    #[test]
    fn dependencies_are_deduplicated_and_must_be_job_ids(ids in proptest::collection::vec("req-[0-9]{1,3}", 0..40)) {
        let submitted = JobSpec { dependencies: ids.clone(), ..spec() };
        let decoded = decode::<JobSpec>(&encode(&submitted)).unwrap();
        prop_assert!(decoded.check().is_ok());
        let distinct: std::collections::BTreeSet<_> = ids.iter().collect();
        prop_assert_eq!(decoded.dependencies.len(), distinct.len());
        let invalid = JobSpec { dependencies: ids.into_iter().chain(["job-1".into()]).collect(), ..spec() };
        prop_assert!(invalid.check().is_err());
    }

    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode::<JobSpec>(&bytes);
        let _ = decode::<Heartbeat>(&bytes);
    }

    #[test]
    fn a_truncated_body_is_rejected(missing in 1usize..100) {
        let body = encode(&spec());
        let missing = missing.min(body.len() - 1);
        prop_assert!(decode::<JobSpec>(&body[..body.len() - missing]).is_err());
    }

    #[test]
    fn heartbeats_round_trip(epoch in 1u64.., sequence in any::<u64>(), fencing_token in any::<u64>(), number in 0u32..MAX_TASKS) {
        let heartbeat = Heartbeat {
            machine: "vm-000231".into(), addr: "10.1.0.232:9000".into(), machine_type: "g8".into(), zone: "a".into(),
            spot: true, epoch, sequence, fencing_token, notice_s: None,
            tasks: vec![TaskStatus { task: task_name("req-1", number), attempt: sequence, state: TaskState::Exited, exit_cause: Some(ExitCause::Busy), checkpointed: None }],
        };
        prop_assert_eq!(split_task(&heartbeat.tasks[0].task), Some(("req-1", number)));
        prop_assert_eq!(decode::<Heartbeat>(&encode(&heartbeat)).unwrap(), heartbeat);
    }
}

#[test]
fn encoded_names_are_those_of_the_protocol() {
    let body = encode(&HeartbeatResponse {
        fencing_token: 41,
        commands: vec![Command {
            kind: CommandKind::Forget,
            task: "req-1/0".into(),
            attempt: 2,
            grace_s: None,
        }],
    });
    let text = String::from_utf8_lossy(&body).to_string();
    for word in ["baton", "orders", "verb", "clear", "leg", "try"] {
        assert!(text.contains(word), "{word}");
    }
    let text = String::from_utf8_lossy(&encode(&spec())).to_string();
    for word in [
        "lane",
        "crew",
        "group",
        "urgency",
        "legs",
        "kit",
        "breeds",
        "together",
        "loaners",
        "waypointS",
        "stashS",
    ] {
        assert!(text.contains(word), "{word}");
    }
    assert!(!text.contains("yard"), "an absent value is omitted");
}

#[test]
fn invalid_submissions_are_rejected() {
    // Serde would accept a sequence for a struct, but the protocol has only maps.
    assert_eq!(decode::<JobSpec>(&[0x93, 1, 2, 3]).unwrap_err(), DecodeError::NotAMap);
    assert_eq!(decode::<JobSpec>(b"").unwrap_err(), DecodeError::NotAMap);
    let mut trailing = encode(&spec());
    trailing.push(0xc0);
    assert_eq!(decode::<JobSpec>(&trailing).unwrap_err(), DecodeError::Trailing);
    for invalid in [
        JobSpec { tasks: 0, ..spec() },
        JobSpec { tasks: MAX_TASKS + 1, ..spec() },
        JobSpec { cores: f64::NAN, ..spec() },
        JobSpec { memory_gb: -1.0, ..spec() },
        JobSpec { estimated_run_s: f64::INFINITY, ..spec() },
        JobSpec { deadline_s: Some(f64::NEG_INFINITY), ..spec() },
        JobSpec { id: "job-1".into(), ..spec() },
        JobSpec { id: "req-1/2".into(), ..spec() },
        JobSpec { team: String::new(), ..spec() },
    ] {
        assert!(invalid.check().is_err(), "{invalid:?}");
    }
}
