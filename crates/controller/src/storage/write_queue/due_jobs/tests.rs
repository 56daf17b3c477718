use super::*;

fn due_jobs_named(ids: &[&str]) -> Vec<DueJob> {
    let job = |id: &&str| DueJob { id: id.to_string(), is_lazy: false, rank: 0, since: 0.0 };
    ids.iter().map(job).collect()
}

fn ids(due: &[DueJob]) -> Vec<&str> {
    due.iter().map(|job| job.id.as_str()).collect()
}

/// Guards against a job that is written alone and never gets its turn beside more urgent ones.
#[test]
fn first_chosen_job_moves_to_the_front_and_the_others_keep_their_order() {
    let mut due = due_jobs_named(&["a", "b", "c", "d"]);
    move_to_front(&mut due, |job| ["c", "d"].contains(&job.id.as_str()));
    assert_eq!(ids(&due), ["c", "a", "b", "d"]);
    move_to_front(&mut due, |_| false);
    assert_eq!(ids(&due), ["c", "a", "b", "d"]);
}
