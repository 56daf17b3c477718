//! Tests of the counts of jobs and pipelines in logs, and of journal entries.

use anisecroft_analysis::{slo_results, Group, JobCounter, PipelineStats};

/// Covers a job that two controllers log, one that has not finished, one that was cancelled, and
/// lines that do not report a job.
#[test]
fn jobs_are_counted_once_by_class_and_team() {
    let mut counter = JobCounter::default();
    for line in [
        r#"  1.2 n-0  INFO job submitted job="req-1" class="tiles" team="maps" tasks=4"#,
        r#"  1.3 n-1  INFO job accepted job=req-2 class=tiles team=maps tasks=4"#,
        r#"  1.4 n-1  INFO job accepted job=req-3 class=train team=labs tasks=1"#,
        r#"  1.5 n-1  INFO job accepted job=req-4 class=train team=maps tasks=1"#,
        r#"  2.0 n-0  INFO job started job=req-1 waited_s=0.8"#,
        r#"  2.0 n-0  INFO machine up machine=vm-1 job accepted-looking"#,
        r#"  9.0 n-0  INFO job over job=req-1 class=tiles team=maps status=done took_s=7.8 late=false"#,
        r#"  9.4 n-1  INFO job over job=req-1 class=tiles team=maps status=done took_s=8.2 late=true"#,
        r#"  9.5 n-1  INFO job finished job=req-4 class=train team=maps status=withdrawn took_s=8.2 late=false"#,
    ] {
        counter.record_line(line);
    }
    let rows: Vec<_> = counter
        .rows()
        .into_iter()
        .map(|row| (row.group, row.name, row.submitted, row.started, row.done, row.in_time))
        .collect();
    assert_eq!(
        rows,
        [
            (Group::Class, "tiles".to_string(), 2, 1, 1, 1),
            (Group::Class, "train".to_string(), 1, 0, 0, 0),
            (Group::Team, "labs".to_string(), 1, 0, 0, 0),
            (Group::Team, "maps".to_string(), 2, 1, 1, 1),
            (Group::Largest, "tiles".to_string(), 2, 1, 1, 1),
            (Group::Largest, "train".to_string(), 1, 0, 0, 0),
        ]
    );
}

#[test]
fn entries_of_the_journal_hold_each_classs_objectives() {
    let entry = r#"{"site":"maps","days":[{"name":"drawn","seed":null,"aims":[]},{"name":"rough","seed":3,"aims":[
        ["wait tiles 30 s: 0.75 (aim 0.9)",0.4],["useful: 0.5 (aim 0.6)",0.4],
        ["deadline tiles 1.5x: 0.5 (aim 0.9)",0.1]]}]}
        seal"#;
    let results = slo_results(entry).unwrap();
    let summary: Vec<_> = results
        .iter()
        .map(|result| (result.class.as_str(), result.objective.as_str(), result.share))
        .collect();
    assert_eq!(summary, [("tiles", "wait tiles 30 s", 0.75), ("tiles", "deadline tiles 1.5x", 0.5)]);
    assert!(slo_results("not json").is_err());
}

/// Covers a chain, a late pipeline with a shared dependency, a cancelled pipeline, and a job
/// without dependencies.
#[test]
fn pipelines_are_counted_by_their_last_job() {
    let mut pipelines = PipelineStats::default();
    let job = |id: &str, class: &str, awaits: &str, times: [f64; 4], end: &str| {
        let [free, waited, ran, took] = times;
        let mut lines = vec![format!("1 n-0 INFO job accepted job={id} class={class} team=maps tasks=1")];
        if !awaits.is_empty() {
            lines.push(format!("1 n-0 INFO job has dependencies job={id} awaits={awaits}"));
        }
        lines.push(format!("2 n-0 INFO job started job={id} waited_s={waited}"));
        lines.push(format!(
            "3 n-1 INFO job over job={id} class={class} {end} took_s={took} free_s={free} ran_s={ran}"
        ));
        lines
    };
    let (done, late) = ("status=done late=false", "status=done late=true");
    let logs = [
        job("req-1", "clean", "", [0.0, 1.0, 10.0, 11.0], done),
        job("req-2", "print", "req-1", [11.0, 2.0, 8.0, 21.0], done),
        job("req-3", "clean", "", [0.0, 3.0, 20.0, 23.0], done),
        job("req-4", "plan", "req-3", [23.0, 1.0, 5.0, 29.0], done),
        job("req-5", "print", "req-3,req-4", [29.0, 4.0, 6.0, 39.0], late),
        job("req-6", "print", "req-3", [0.0, 0.0, 0.0, 9.0], "status=withdrawn late=false"),
        job("req-7", "alone", "", [0.0, 1.0, 2.0, 3.0], done),
    ];
    logs.iter().flatten().for_each(|line| pipelines.record_line(line));
    let rows = pipelines.rows();
    assert_eq!(rows.len(), 1);
    let row = &rows[0];
    assert_eq!(
        (&row.last_class[..], row.submitted, row.done, row.in_time, row.took_s),
        ("print", 2, 2, 1, 30.0)
    );
    let class_stats: Vec<_> = row
        .class_stats
        .iter()
        .map(|stats| (&stats.class[..], stats.done, stats.waited_s, stats.ran_s))
        .collect();
    assert_eq!(class_stats, [("clean", 2, 2.0, 15.0), ("plan", 1, 1.0, 5.0), ("print", 2, 3.0, 7.0)]);
}

/// A class has twenty jobs; of the two largest, one starts after more than four minutes.
#[test]
fn largest_jobs_count_only_if_they_start_in_time() {
    let mut counter = JobCounter::default();
    for n in 0..20 {
        let (tasks, waited_s) = if n < 2 { (100 + n, 200.0 + 50.0 * n as f64) } else { (n, 5.0) };
        counter
            .record_line(&format!("1 n-0 INFO job accepted job=req-{n} class=tiles team=maps tasks={tasks}"));
        counter.record_line(&format!("2 n-0 INFO job started job=req-{n} waited_s={waited_s}"));
        counter.record_line(&format!(
            "3 n-0 INFO job finished job=req-{n} class=tiles team=maps status=done late=false"
        ));
    }
    let rows = counter.rows();
    let row = |group: Group| rows.iter().find(|row| row.group == group).unwrap();
    assert_eq!((row(Group::Class).submitted, row(Group::Class).served_share()), (20, 1.0));
    assert_eq!((row(Group::Largest).submitted, row(Group::Largest).served_share()), (2, 0.5));
}
