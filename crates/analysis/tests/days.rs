//! Days of troubles, generated for a site, and the tables of their outcomes.

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

const ALLOWANCE: Allowance = Allowance { memory_mb: 100.0, connections: 1000.0 };

fn run(day: &str) -> RunId<'_> {
    RunId { site: "tiles", variant: "x1", day, seed: 7 }
}

fn site() -> Site {
    Site::parse(SITE).unwrap()
}

fn faults(made: &GeneratedDay) -> Vec<toml::Table> {
    let day: toml::Table = made.text.parse().unwrap();
    day["faults"].as_array().unwrap().iter().map(|f| f.as_table().unwrap().clone()).collect()
}

/// A part of every class's jobs is cancelled; what is no part is refused in one line.
#[test]
fn a_day_may_have_jobs_cancelled() {
    let made = |part: &str| {
        let text = format!("about = \"a test\"\ncancelled = {part}\n");
        DayFile::parse(&text).unwrap().make("gap", &site()).map_err(|e| e.to_string())
    };
    let day: toml::Table = made("0.8").unwrap()[0].text.parse().unwrap();
    let jobs: Vec<_> = day["jobs"].as_array().unwrap().iter().map(|j| j.as_table().unwrap()).collect();
    let names: Vec<_> = jobs.iter().map(|j| j["name"].as_str().unwrap()).collect();
    assert_eq!(names, ["survey", "alarm"]);
    assert!(jobs.iter().all(|j| j["cancelled"].as_float() == Some(0.8)));
    assert_eq!(made("1.5").unwrap_err(), "cancelled: 1.5 is not known, say a part from 0.0 to 1.0");
}

/// Names, counts and times come from the site, and every day that a file stands for is made.
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
    let made = DayFile::parse(text).unwrap().make("roll", &site()).unwrap();
    let names: Vec<&str> = made.iter().map(|m| m.name.as_str()).collect();
    assert_eq!(names, ["roll-0", "roll-1", "roll-third-0", "roll-third-1"]);
    let first = faults(&made[0]);
    let at: Vec<f64> = first.iter().map(|f| f["at_s"].as_float().unwrap()).collect();
    assert_eq!(at, [250.0, 253.0, 256.0, 100.0]);
    assert_eq!(first[0]["count"].as_integer(), Some(4));
    assert_eq!((first[3]["class"].as_str(), first[3]["for_s"].as_float()), (Some("survey"), Some(60.0)));
    let last = faults(&made[3]);
    assert_eq!(last[3]["class"].as_str(), Some("alarm"));
    assert_eq!((last[4]["count"].as_integer(), last[4]["zone"].as_str()), (Some(25), Some("west")));
}

#[test]
fn a_day_that_makes_no_sense_says_what_to_do() {
    let make = |trouble: &str| {
        let text = format!("about = \"x\"\n[[trouble]]\nkind = \"node_crash\"\n{trouble}");
        DayFile::parse(&text).and_then(|d| d.make("x", &site())).unwrap_err().to_string()
    };
    assert_eq!(make("nodes = \"all\""), "a trouble needs `at`");
    assert!(make("at = 0.1\nnodes = \"most\"").contains("say one, all but one or all"));
    assert!(make("at = 0.1\nclass = \"survey\"").contains("say a number"));
    assert!(DayFile::parse("about = \"x\"\neach_zone = true").is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]
    /// Whatever the size: machines, jobs and teams grow alike, and the controllers stay.
    #[test]
    fn a_variant_scales_the_load_alone(size in 0.1f64..4.0, back in 0.0f64..20.0) {
        let v = site().variant(Variant { size, back_s: Some(back) });
        prop_assert!((v.machines() - 100.0 * size).abs() <= 1.5, "{}", v.machines());
        prop_assert_eq!(v.allowance().unwrap(), ALLOWANCE);
        prop_assert_eq!(v.nodes().unwrap(), 5);
        let t: toml::Table = v.text().parse().unwrap();
        prop_assert_eq!(t["nodes"]["restart_delay_s"].as_float(), Some(back));
        prop_assert_eq!(t["machines"][0]["spot"].as_bool(), Some(false));
        prop_assert_eq!(t["machines"][0]["count"].as_integer(), Some((10.0 * size).round() as i64));
        prop_assert_eq!(t["teams"][0]["gpus"].as_float(), Some((40.0 * size).round()));
        prop_assert_eq!(t["teams"][0]["weight"].as_float(), Some(2.0));
        prop_assert!((t["jobs"][0]["arrivals"]["rate"].as_float().unwrap() - 0.5 * size).abs() < 1e-9);
    }
}

/// Limits, boots and the arrays' size are the day's; what is no amount is refused in one line.
#[test]
fn a_day_may_change_limits_boots_and_sizes() {
    let made = |keys: &str| {
        let text = format!("about = \"a test\"\n{keys}\n");
        DayFile::parse(&text).unwrap().make("full", &site()).map_err(|e| e.to_string())
    };
    let site = made("limits = 0.25\nboot_s = 1.5\nsingle_tasks_per_s = 4.0").unwrap().remove(0).site;
    let t: toml::Table = site.text().parse().unwrap();
    assert_eq!(t["teams"][0]["gpus"].as_float(), Some(10.0));
    assert_eq!(t["machine_types"][0]["boot_s"].as_float(), Some(1.5));
    let jobs = t["jobs"].as_array().unwrap();
    assert_eq!(jobs[0]["tasks"]["max"].as_float(), Some(1.0));
    assert_eq!(jobs[0]["arrivals"]["rate"].as_float(), Some(4.0));
    assert!(!jobs[1].as_table().unwrap().contains_key("tasks"), "no array");
    assert_eq!(made("limits = -1.0").unwrap_err(), "limits: -1 is not known, say a number above 0");
}

/// What the bench counts besides the rules is against a day, too.
#[test]
fn a_day_holds_only_if_nothing_else_is_counted() {
    let outcome = |idle: serde_json::Value, largest: u32, unread: &[&str]| {
        let report = json!({"rules_broken": {"total": 0}, "idle": idle, "unread": unread,
                            "largest": {"survey": {"jobs": 10, "started": largest}}});
        Outcome::new(run("full"), &report, &Served::default(), ALLOWANCE)
    };
    let good = json!({"neglected": 0, "slips": {}});
    assert!(outcome(good.clone(), 5, &[]).holds());
    assert!(!outcome(good.clone(), 4, &[]).holds(), "the largest");
    assert!(!outcome(good, 10, &["from_nodes"]).holds(), "a key that the bench does not know");
    assert!(!outcome(json!({"neglected": 1, "slips": {}}), 10, &[]).holds());
    assert!(!outcome(json!({"neglected": 0, "slips": {"started": 2}}), 10, &[]).holds());
}

/// The least of what was done and done in time decides, by class and by team.
#[test]
fn a_day_holds_if_nobody_is_below_half() {
    let report = |in_time: f64, why: &str| {
        json!({
            "rules_broken": {"total": 0},
            "users": {"asked": 90, "asked_in_vain": 5, "submitted": 10, "accepted": 10},
            "classes": {"survey": {"jobs": 12, "cancelled": 2, "started": 12, "done": 10},
                        "alarm": {"jobs": 4, "cancelled": 0, "started": 4, "done": 3}},
            "targets": [{"kind": "deadline", "class": "survey", "value": in_time},
                        {"kind": "wait", "class": "survey", "value": 0.1}],
            "node_stats": [{"memory_peak_mb": 20.0, "connections_peak": 500, "restarts": [{"why": "fault"}]},
                           {"memory_peak_mb": 30.0, "connections_peak": 100, "restarts": [{"why": why}]}],
            "fleet": {"tasks_killed_by_lease": 2, "tasks_lost": 5},
        })
    };
    let mut logged = Served::default();
    for (id, late) in [(1, "false"), (2, "true"), (3, "true")] {
        logged.line(&format!("INFO job accepted job=req-{id} class=survey team=maps"));
        logged.line(&format!("INFO job over job=req-{id} class=survey team=maps status=done late={late}"));
    }
    let outcome =
        |in_time, why, logged: &Served| Outcome::new(run("roll"), &report(in_time, why), logged, ALLOWANCE);
    let good = outcome(0.6, "fault", &Served::default());
    assert!(good.holds());
    assert_eq!(good.peaks, Peaks { memory: 0.3, connections: 0.5 });
    assert_eq!(serde_json::to_value(good.peaks).unwrap(), json!([0.3, 0.5]), "as tables had it");
    assert_eq!((good.unanswered, good.own_ends), (0.05, 0));
    assert_eq!(good.least().map(|s| s.name.as_str()), Some("survey"));
    assert!(!outcome(0.4, "fault", &Served::default()).holds(), "a class in time");
    assert!(!outcome(0.6, "memory", &Served::default()).holds(), "a process that ended by itself");
    let team = outcome(0.6, "fault", &logged);
    assert!(!team.holds(), "a team in time");
    assert_eq!(team.least().map(|s| (s.name.as_str(), s.asked)), Some(("team maps", 3)));
    let printed = table(&[good.clone(), team.clone()]);
    assert!(printed.contains("!team maps 1.000 1.000 0.333"), "{printed}");
    let with = |mark| Outcome { mark: Some(mark), ..good.clone() };
    let printed = compare(&[with(0.5), with(0.6)], &[with(0.7)]);
    assert!(printed.contains("2/1") && printed.contains("+0.150"), "{printed}");
}

/// The days that are kept here can be made for any site.
#[test]
fn the_kept_days_can_be_made() {
    let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/../../days");
    let mut made = 0;
    for entry in std::fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        let day = DayFile::parse(&std::fs::read_to_string(&path).unwrap()).unwrap();
        assert!(!day.about.is_empty());
        made += day.make("day", &site()).unwrap().len();
    }
    assert!(made >= 16, "{made}");
}
