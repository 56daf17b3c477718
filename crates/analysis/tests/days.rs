//! Tests of days generated for a site, and of the tables of their outcomes.

use anisecroft_analysis::*;
use proptest::prelude::*;
use serde_json::json;

const SITE: &str = r#"
name = "tiles"
duration_s = 400.0
warmup_s = 100.0
[nodes]
count = 5
memory_mb = 100.0
max_connections = 1000
restart_delay_s = 8.0
[workers]
lease_s = 30.0
[[capacity]]
zone = "east"
count = 60
spot = 20
[[capacity]]
zone = "west"
count = 20
spot = 0
[[machines]]
zone = "east"
spot = false
count = 10
[[machine_types]]
name = "plain"
boot_s = 40.0
[[teams]]
name = "maps"
weight = 2.0
gpus = 40.0
[[teams]]
name = "labs"
[[jobs]]
name = "survey"
kind = "array"
priority = "low"
initial = 7
arrivals = { rate = 0.5 }
[[jobs]]
name = "alarm"
priority = "high"
initial = 3
"#;

const LIMITS: ResourceLimits = ResourceLimits { memory_mb: 100.0, connections: 1000.0 };

fn run_id(day: &str) -> RunId<'_> {
    RunId { site: "tiles", variant: "x1", day, seed: 7 }
}

fn site() -> Site {
    Site::parse(SITE).unwrap()
}

fn faults(day: &GeneratedDay) -> Vec<toml::Table> {
    let file: toml::Table = day.bench_file.parse().unwrap();
    file["faults"].as_array().unwrap().iter().map(|fault| fault.as_table().unwrap().clone()).collect()
}

/// A day can have a share of every class's jobs cancelled; an invalid share is an error.
#[test]
fn a_day_may_have_jobs_cancelled() {
    let generate = |share: &str| {
        let text = format!("about = \"a test\"\ncancelled = {share}\n");
        DayFile::parse(&text).unwrap().generate("gap", &site()).map_err(|error| error.to_string())
    };
    let day: toml::Table = generate("0.8").unwrap()[0].bench_file.parse().unwrap();
    let jobs: Vec<_> = day["jobs"].as_array().unwrap().iter().map(|job| job.as_table().unwrap()).collect();
    let names: Vec<_> = jobs.iter().map(|job| job["name"].as_str().unwrap()).collect();
    assert_eq!(names, ["survey", "alarm"]);
    assert!(jobs.iter().all(|job| job["cancelled"].as_float() == Some(0.8)));
    assert_eq!(generate("1.5").unwrap_err(), "invalid cancelled 1.5: expected a number from 0.0 to 1.0");
}

/// Names, counts and times come from the site, and all days of a file are generated.
#[test]
fn a_day_takes_its_names_and_amounts_from_the_site() {
    let text = r#"
about = "a test"
each_class = true
[[trouble]]
kind = "node_crash"
nodes = "all but one"
at = 0.5
times = 3
every_leases = 0.1
[[trouble]]
kind = "job_burst"
class = "each"
at = 0.0
for_leases = 2.0
[[with]]
name = "third"
[[with.trouble]]
kind = "machine_die"
machines = 0.25
zone = 3
at = 1.0
"#;
    let days = DayFile::parse(text).unwrap().generate("roll", &site()).unwrap();
    let names: Vec<&str> = days.iter().map(|day| day.name.as_str()).collect();
    assert_eq!(names, ["roll-0", "roll-1", "roll-third-0", "roll-third-1"]);
    let first = faults(&days[0]);
    let at: Vec<f64> = first.iter().map(|fault| fault["at_s"].as_float().unwrap()).collect();
    assert_eq!(at, [250.0, 253.0, 256.0, 100.0]);
    assert_eq!(first[0]["count"].as_integer(), Some(4));
    assert_eq!((first[3]["class"].as_str(), first[3]["for_s"].as_float()), (Some("survey"), Some(60.0)));
    let last = faults(&days[3]);
    assert_eq!(last[3]["class"].as_str(), Some("alarm"));
    assert_eq!((last[4]["count"].as_integer(), last[4]["zone"].as_str()), (Some(25), Some("west")));
}

#[test]
fn errors_of_a_day_file_name_the_expected_values() {
    let error = |keys: &str| {
        let text = format!("about = \"x\"\n[[trouble]]\nkind = \"node_crash\"\n{keys}");
        DayFile::parse(&text).and_then(|day| day.generate("x", &site())).unwrap_err().to_string()
    };
    assert_eq!(error("nodes = \"all\""), "missing key `at` in a `trouble` table");
    assert!(error("at = 0.1\nnodes = \"most\"").contains("expected one, all but one or all"));
    assert!(error("at = 0.1\nclass = \"survey\"").contains("expected a number"));
    assert!(DayFile::parse("about = \"x\"\neach_zone = true").is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]
    /// At any scale, machines, jobs and teams are multiplied by the same factor, and the
    /// controllers are unchanged.
    #[test]
    fn a_variant_scales_only_the_load(scale in 0.1f64..4.0, restart_delay_s in 0.0f64..20.0) {
        let variant = site().variant(Variant { scale, restart_delay_s: Some(restart_delay_s) });
        prop_assert!((variant.max_machines() - 100.0 * scale).abs() <= 1.5, "{}", variant.max_machines());
        prop_assert_eq!(variant.resource_limits().unwrap(), LIMITS);
        prop_assert_eq!(variant.node_count().unwrap(), 5);
        let table: toml::Table = variant.text().parse().unwrap();
        prop_assert_eq!(table["nodes"]["restart_delay_s"].as_float(), Some(restart_delay_s));
        prop_assert_eq!(table["machines"][0]["spot"].as_bool(), Some(false));
        prop_assert_eq!(table["machines"][0]["count"].as_integer(), Some((10.0 * scale).round() as i64));
        prop_assert_eq!(table["teams"][0]["gpus"].as_float(), Some((40.0 * scale).round()));
        prop_assert_eq!(table["teams"][0]["weight"].as_float(), Some(2.0));
        prop_assert!((table["jobs"][0]["arrivals"]["rate"].as_float().unwrap() - 0.5 * scale).abs() < 1e-9);
    }
}

/// A day can change team limits, boot times and the size of arrays; an invalid number is an error.
#[test]
fn a_day_may_change_team_limits_boot_times_and_array_sizes() {
    let generate = |keys: &str| {
        let text = format!("about = \"a test\"\n{keys}\n");
        DayFile::parse(&text).unwrap().generate("full", &site()).map_err(|error| error.to_string())
    };
    let site = generate("limits = 0.25\nboot_s = 1.5\nsingle_tasks_per_s = 4.0").unwrap().remove(0).site;
    let table: toml::Table = site.text().parse().unwrap();
    assert_eq!(table["teams"][0]["gpus"].as_float(), Some(10.0));
    assert_eq!(table["machine_types"][0]["boot_s"].as_float(), Some(1.5));
    let jobs = table["jobs"].as_array().unwrap();
    assert_eq!(jobs[0]["tasks"]["max"].as_float(), Some(1.0));
    assert_eq!(jobs[0]["arrivals"]["rate"].as_float(), Some(4.0));
    assert!(!jobs[1].as_table().unwrap().contains_key("tasks"), "no array");
    assert_eq!(generate("limits = -1.0").unwrap_err(), "invalid limits -1: expected a number above 0");
}

/// A day also fails for anything else that the bench counts besides violations of its rules.
#[test]
fn a_day_is_passed_only_without_other_violations() {
    let outcome = |idle: serde_json::Value, largest: u32, unread: &[&str]| {
        let report = json!({"rules_broken": {"total": 0}, "idle": idle, "unread": unread,
                            "largest": {"survey": {"jobs": 10, "started": largest}}});
        Outcome::new(run_id("full"), &report, &JobCounter::default(), LIMITS)
    };
    let clean = json!({"neglected": 0, "slips": {}});
    assert!(outcome(clean.clone(), 5, &[]).is_passed());
    assert!(!outcome(clean.clone(), 4, &[]).is_passed(), "the largest");
    assert!(!outcome(clean, 10, &["from_nodes"]).is_passed(), "a key that the bench does not know");
    assert!(!outcome(json!({"neglected": 1, "slips": {}}), 10, &[]).is_passed());
    assert!(!outcome(json!({"neglected": 0, "slips": {"started": 2}}), 10, &[]).is_passed());
}

/// A day is judged by the lowest share of jobs done, or done in time, of any class or team.
#[test]
fn a_day_is_passed_if_no_class_or_team_is_below_half() {
    let report = |in_time: f64, restart_reason: &str| {
        json!({
            "rules_broken": {"total": 0},
            "users": {"asked": 90, "asked_in_vain": 5, "submitted": 10, "accepted": 10},
            "classes": {"survey": {"jobs": 12, "cancelled": 2, "started": 12, "done": 10},
                        "alarm": {"jobs": 4, "cancelled": 0, "started": 4, "done": 3}},
            "targets": [{"kind": "deadline", "class": "survey", "value": in_time},
                        {"kind": "wait", "class": "survey", "value": 0.1}],
            "node_stats": [{"memory_peak_mb": 20.0, "connections_peak": 500, "restarts": [{"why": "fault"}]},
                           {"memory_peak_mb": 30.0, "connections_peak": 100, "restarts": [{"why": restart_reason}]}],
            "fleet": {"tasks_killed_by_lease": 2, "tasks_lost": 5},
        })
    };
    let mut logged_jobs = JobCounter::default();
    for (id, late) in [(1, "false"), (2, "true"), (3, "true")] {
        logged_jobs.record_line(&format!("INFO job accepted job=req-{id} class=survey team=maps"));
        logged_jobs.record_line(&format!(
            "INFO job over job=req-{id} class=survey team=maps status=done late={late}"
        ));
    }
    let outcome = |in_time, restart_reason, logged_jobs: &JobCounter| {
        Outcome::new(run_id("roll"), &report(in_time, restart_reason), logged_jobs, LIMITS)
    };
    let good = outcome(0.6, "fault", &JobCounter::default());
    assert!(good.is_passed());
    assert_eq!(good.peaks, Peaks { memory: 0.3, connections: 0.5 });
    assert_eq!(serde_json::to_value(good.peaks).unwrap(), json!([0.3, 0.5]), "the format of stored tables");
    assert_eq!((good.unanswered_share, good.unexpected_exits), (0.05, 0));
    assert_eq!(good.least_served().map(|share| share.name.as_str()), Some("survey"));
    assert!(!outcome(0.4, "fault", &JobCounter::default()).is_passed(), "a class in time");
    assert!(!outcome(0.6, "memory", &JobCounter::default()).is_passed(), "an unexpected exit");
    let late_team = outcome(0.6, "fault", &logged_jobs);
    assert!(!late_team.is_passed(), "a team in time");
    assert_eq!(
        late_team.least_served().map(|share| (share.name.as_str(), share.submitted)),
        Some(("team maps", 3))
    );
    let printed = table(&[good.clone(), late_team.clone()]);
    assert!(printed.contains("!team maps 1.000 1.000 0.333"), "{printed}");
    let with_score = |score| Outcome { score: Some(score), ..good.clone() };
    let printed = compare(&[with_score(0.5), with_score(0.6)], &[with_score(0.7)]);
    assert!(printed.contains("2/1") && printed.contains("+0.150"), "{printed}");
}

/// All day files of the repository can be generated for a site.
#[test]
fn the_repositorys_days_can_be_generated() {
    let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/../../days");
    let mut generated = 0;
    for entry in std::fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        let day = DayFile::parse(&std::fs::read_to_string(&path).unwrap()).unwrap();
        assert!(!day.about.is_empty());
        generated += day.generate("day", &site()).unwrap().len();
    }
    assert!(generated >= 16, "{generated}");
}
