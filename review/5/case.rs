//! After a controller crash, nobody answers a question about a job that awaits several hundred others.
//! Disruption: the controller that accepted the jobs crashes and is back 5 s later.

#[path = "../lib-2/common.rs"]
mod common;
use common::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;

const ZONES: [&str; 3] = ["montreal-east", "quebec-city", "saguenay"];
/// Jobs that the last job awaits.
const AWAITED: usize = 400;
/// Limit of the pages: a job about which no question is answered for 75 s counts as forgotten.
const LIMIT_S: f64 = 75.0;
const LAST: &str = "req-000900";

const PARAMS: &str = r#"[params]
size = 5
zones = ["montreal-east", "quebec-city", "saguenay"]
clock_error_ms = 250.0

[[params.teams]]
name = "imagery-ops"

[[params.objectives]]
kind = "deadline"
class = "tile-publish"
share = 0.55
times = 1.0

[params.workers]
report_s = 5.0
lease_s = 29.0
gang_wait_s = 45.0
gang_peer_s = 6.0
cancel_s = 54.0

[params.state]
rps = 150.0
write_rps = 60.0
value_kb = 8.0
txn_ops = 24

[params.cloud]
rps = 6.0
list_lag_s = 8.0

[params.resources]
cpu_share = 0.16
memory_mb = 136.0
max_connections = 3000
"#;

fn main() {
    let record = Record::create("record.txt");
    let trouble = trouble();
    let zones = [ZONES[0], ZONES[1], ZONES[2], ZONES[0], ZONES[1]];
    let mut platform = Platform::new(&record, "stable", &zones);
    let limits = StoreLimits { rps: 150.0, write_rps: 60.0, value_kb: 8.0, txn_ops: 24, latency_s: 0.006 };
    let (store, stores) = Store::start(&record, &limits, 5);
    let world = World::new(&record);
    let breed = Breed {
        sku: "epinette-large".to_string(),
        cores: 64.0,
        accelerators: 8.0,
        mem_gb: 512.0,
        price: 25.56,
        low_price: 9.95,
        boot_s: 30.0,
        yards: ZONES.iter().map(|zone| zone.to_string()).collect(),
    };
    let times = WorkerTimes { report_s: 5.0, lease_s: 29.0, fetch_s: 1.0, gang_wait_s: 45.0, gang_peer_s: 6.0 };
    let (cloud, cloud_addr) = Cloud::start(&world, vec![breed], 9, 6.0, 8.0, &platform.fronts(), times);
    for zone in ZONES {
        cloud.add_machines("epinette-large", zone, 3);
    }
    platform.write_settings(&stores, cloud_addr, PARAMS);
    platform.start_all();
    platform.wait_up(20.0);
    sleep(1.0);

    // One user submits all jobs over one connection, while another one polls the first of them there.
    let fronts = platform.fronts();
    let mut user = User::new(&record, &fronts, 0);
    let stage = |id: &str| {
        job(
            id,
            "scene-ingest",
            "imagery-ops",
            vec![("urgency", s("idle")), ("cores", V::Num(16.0)), ("memGb", V::Num(100.0)), ("loaners", V::Bool(true)), ("etaS", V::Num(40.0))],
        )
    };
    let ids: Vec<String> = (0..AWAITED).map(|number| format!("req-{:06}", 100 + number)).collect();
    let submitted = Arc::new(AtomicBool::new(false));
    let poller = {
        let (record, fronts, submitted, first) = (record.clone(), fronts.clone(), submitted.clone(), ids[0].clone());
        thread::spawn(move || {
            let mut other = User::new(&record, &fronts, 0);
            while !submitted.load(Ordering::Relaxed) {
                other.poll(&first);
                sleep(2.0);
            }
        })
    };
    sleep(0.5);
    for id in &ids {
        world.add_job(id, JobInfo { run_s: 40.0, service: false, gang: 0 });
        if !user.submit(&stage(id), true) {
            quit("a job was not accepted");
        }
    }
    world.add_job(LAST, JobInfo { run_s: 2.0, service: false, gang: 0 });
    let last = job(
        LAST,
        "tile-publish",
        "imagery-ops",
        vec![
            ("urgency", s("high")),
            ("loaners", V::Bool(true)),
            ("etaS", V::Num(8.0)),
            ("dueS", V::Num(900.0)),
            ("awaits", V::List(ids.iter().map(|id| s(id)).collect())),
        ],
    );
    if !user.submit(&last, false) {
        quit("the last job was not accepted");
    }
    submitted.store(true, Ordering::Relaxed);
    let _ = poller.join();
    if user.poll(LAST).0 != 200 {
        quit("the last job was not answered before the crash");
    }

    if trouble {
        platform.kill(0);
        sleep(5.0);
        platform.start(0);
    } else {
        sleep(5.0);
    }
    // From here on there is no trouble: the controller is back.
    let over = record.now();
    let (mut asked, mut answered) = (0, 0);
    let mut first_answer = f64::MAX;
    let mut plain = User::new(&record, &fronts, 1);
    let (mut plain_asked, mut plain_answered) = (0, 0);
    while record.now() < over + LIMIT_S {
        let began = record.now();
        asked += 1;
        let (status, _) = user.poll(LAST);
        if status == 200 {
            answered += 1;
            first_answer = first_answer.min(record.now());
        }
        // Another user asks about one of the other jobs.
        plain_asked += 1;
        if plain.poll(&ids[AWAITED - 1 - plain_asked % 50]).0 == 200 {
            plain_answered += 1;
        }
        sleep(began + 5.0 - record.now());
    }
    let ended = platform.ended();
    record.line(&format!("state service: {} requests were refused", store.refusals.load(Ordering::Relaxed)));
    let text = format!(
        "{answered} of {asked} questions about {LAST} answered in the {LIMIT_S} s after the trouble, {plain_answered} of {plain_asked} about other jobs; controllers ended by themselves: {ended}"
    );
    finish(&record, &mut platform, answered == 0, &text);
}
