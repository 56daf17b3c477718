//! Unit tests of the private decision functions.

use super::*;

const NOTHING: AbsenceEvidence =
    AbsenceEvidence { is_current: false, is_new_epoch: false, receives_nothing: false };

fn placement() -> Placement {
    Placement {
        attempt: 1,
        machine: "m-1".to_string(),
        created_at_mutation: 1,
        committed: true,
        inherited: false,
        launch_sent: false,
        observed_state: None,
        placed_at: 0.0,
        running_since: None,
        stopping: None,
        kill_sent: false,
    }
}

fn exited(cause: ExitCause) -> TaskStatus {
    TaskStatus {
        task: "job/0".to_string(),
        attempt: 1,
        state: TaskState::Exited,
        exit_cause: Some(cause),
        checkpointed: None,
    }
}

#[test]
fn a_listed_task_that_has_not_exited_is_alive_if_it_is_placed_there() {
    let running = TaskStatus { state: TaskState::Running, ..exited(ExitCause::Done) };
    assert_eq!(classify_listed_task(Some(&placement()), &running, false), ListedTask::Alive);
    assert_eq!(classify_listed_task(None, &running, true), ListedTask::Ignored);
}

#[test]
fn only_a_current_heartbeat_shows_that_a_gang_member_gave_up() {
    let alone = exited(ExitCause::Alone);
    assert_eq!(classify_listed_task(Some(&placement()), &alone, true), ListedTask::Exited);
    assert_eq!(classify_listed_task(Some(&placement()), &alone, false), ListedTask::Ignored);
    let failed = exited(ExitCause::Error);
    assert_eq!(classify_listed_task(Some(&placement()), &failed, false), ListedTask::Exited);
}

#[test]
fn only_completed_work_of_a_former_attempt_counts() {
    let done = classify_listed_task(None, &exited(ExitCause::Done), false);
    assert_eq!(done, ListedTask::CompletedByFormerAttempt);
    assert_eq!(classify_listed_task(None, &exited(ExitCause::Error), true), ListedTask::Ignored);
}

#[test]
fn absence_from_an_outdated_heartbeat_proves_nothing() {
    let running = Placement { observed_state: Some(TaskState::Running), ..placement() };
    assert!(!absence_proves_loss(&running, &NOTHING));
    assert!(absence_proves_loss(&running, &AbsenceEvidence { is_current: true, ..NOTHING }));
}

#[test]
fn absence_of_a_task_that_may_yet_start_proves_nothing() {
    let current = AbsenceEvidence { is_current: true, ..NOTHING };
    let launched = Placement { launch_sent: true, ..placement() };
    assert!(!absence_proves_loss(&launched, &current));
    let killed = Placement { stopping: Some((0.0, 0.0)), ..launched };
    assert!(absence_proves_loss(&killed, &current));
    let inherited = Placement { inherited: true, ..placement() };
    assert!(absence_proves_loss(&inherited, &current));
}

#[test]
fn a_new_epoch_ends_what_this_leader_launched() {
    let new_epoch = AbsenceEvidence { is_new_epoch: true, ..NOTHING };
    let launched = Placement { launch_sent: true, ..placement() };
    assert!(absence_proves_loss(&launched, &new_epoch));
    assert!(!absence_proves_loss(&placement(), &new_epoch));
    assert!(!absence_proves_loss(&Placement { inherited: true, ..launched }, &new_epoch));
    let unreachable = AbsenceEvidence { receives_nothing: true, ..new_epoch };
    assert!(absence_proves_loss(&placement(), &unreachable));
}
