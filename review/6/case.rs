//! A job that awaits 95 others is accepted and never runs, while its machine fits and is idle.
//! Disruption: the state service lowers its limits, as `state.next` in the settings announces it.

#[path = "../lib-2/common.rs"]
mod common;
use common::*;
use std::sync::Arc;
use std::thread;

const ZONES: [&str; 3] = ["bangkok-north", "chiang-mai", "khon-kaen"];
/// Jobs that the last job of the pipeline awaits.
const AWAITED: usize = 95;
/// The same for a second pipeline, which shows that machines, team and limits allow such jobs.
const AWAITED_BY_OTHER: usize = 60;
/// Limit of the pages: no job is left waiting for 90 s while a machine that fits has room.
const LIMIT_S: f64 = 90.0;

fn params(trouble: bool) -> String {
    let next = "\n[params.state.next]\nwrite_rps = 42.0\nvalue_kb = 2.0\ntxn_ops = 16\n";
    format!(
        r#"[params]
size = 3
zones = ["bangkok-north", "chiang-mai", "khon-kaen"]
clock_error_ms = 5.0

[[params.teams]]
name = "dispatch"
gpus = 800.0
gpus_max = 2000.0

[[params.objectives]]
kind = "deadline"
class = "manifest-print"
share = 0.82
times = 1.0

[params.workers]
report_s = 3.0
lease_s = 19.0
gang_wait_s = 50.0
gang_peer_s = 4.0
cancel_s = 39.0

[params.cloud]
rps = 2.0
list_lag_s = 3.0

[params.resources]
cpu_share = 0.12
memory_mb = 104.0
max_connections = 1200

[params.state]
rps = 150.0
write_rps = 60.0
value_kb = 32.0
txn_ops = 48
{}"#,
        if trouble { next } else { "" }
    )
}

fn main() {
    let record = Record::create("record.txt");
    let trouble = trouble();
    let mut platform = Platform::new(&record, "stable", &ZONES);
    let limits = StoreLimits { rps: 150.0, write_rps: 60.0, value_kb: 32.0, txn_ops: 48, latency_s: 0.004 };
    let (store, stores) = Store::start(&record, &limits, 3);
    let world = World::new(&record);
    let breed = Breed {
        sku: "chedi-node".to_string(),
        cores: 48.0,
        accelerators: 4.0,
        mem_gb: 288.0,
        price: 10.1,
        low_price: 2.92,
        boot_s: 45.0,
        yards: ZONES.iter().map(|zone| zone.to_string()).collect(),
    };
    let times = WorkerTimes { report_s: 3.0, lease_s: 19.0, fetch_s: 0.8, gang_wait_s: 50.0, gang_peer_s: 4.0 };
    let (cloud, cloud_addr) = Cloud::start(&world, vec![breed], 28, 2.0, 3.0, &platform.fronts(), times);
    for zone in ZONES {
        cloud.add_machines("chedi-node", zone, 2);
    }
    platform.write_settings(&stores, cloud_addr, &params(trouble));
    platform.start_all();
    platform.wait_up(20.0);
    if trouble {
        store.lower_limits(42.0, 2.0, 16);
    }
    sleep(2.0);

    // The jobs that are awaited: one short task each, submitted at all controllers.
    let ids: Arc<Vec<String>> = Arc::new((0..AWAITED).map(|number| format!("req-{:06}", 100 + number)).collect());
    let fronts = platform.fronts();
    let mut users = Vec::new();
    for part in 0..3 {
        let (ids, fronts, record, world) = (ids.clone(), fronts.clone(), record.clone(), world.clone());
        users.push(thread::spawn(move || {
            let mut user = User::new(&record, &fronts, part);
            let began = record.now();
            for (number, id) in ids.iter().skip(part).step_by(3).enumerate() {
                // Together a little below the rate of changes that the state service takes.
                sleep(began + number as f64 / 12.0 - record.now());
                world.add_job(id, JobInfo { run_s: 9.0, service: false, gang: 0 });
                let body = job(
                    id,
                    "address-geocode",
                    "dispatch",
                    vec![("urgency", s("idle")), ("cores", V::Num(2.0)), ("memGb", V::Num(9.6)), ("loaners", V::Bool(true)), ("etaS", V::Num(9.0))],
                );
                if !user.submit(&body, true) {
                    quit("a job was not accepted");
                }
            }
        }));
    }
    users.into_iter().for_each(|user| user.join().unwrap_or_else(|_| quit("a user failed")));

    let mut user = User::new(&record, &fronts, 0);
    let last = |id: &str, awaited: usize| {
        job(
            id,
            "manifest-print",
            "dispatch",
            vec![
                ("urgency", s("high")),
                ("memGb", V::Num(4.8)),
                ("loaners", V::Bool(true)),
                ("etaS", V::Num(2.0)),
                ("dueS", V::Num(90.0)),
                ("awaits", V::List(ids[..awaited].iter().map(|id| s(id)).collect())),
            ],
        )
    };
    for (id, awaited) in [("req-000900", AWAITED_BY_OTHER), ("req-000901", AWAITED)] {
        world.add_job(id, JobInfo { run_s: 2.0, service: false, gang: 0 });
        if !user.submit(&last(id, awaited), false) {
            quit("the last job of a pipeline was not accepted");
        }
    }
    // Both last jobs must have been accepted before an awaited one was done.
    if world.done_count() > 0 {
        quit("too slow: an awaited job was done before the pipelines were complete");
    }

    // From here on the users only poll. The clock of the rule starts when all awaited jobs are done.
    let mut free_since = f64::MAX;
    let mut next_poll = 0.0;
    loop {
        sleep(0.1);
        let now = record.now();
        let started = world.starts("req-000901/0") > 0;
        if free_since == f64::MAX && ids.iter().all(|id| world.starts(&format!("{id}/0")) > 0 && world.on(&format!("{id}/0")).is_empty()) {
            free_since = now;
            record.line("all awaited tasks have run");
        }
        if now >= next_poll {
            next_poll = now + 5.0;
            user.poll("req-000900");
            user.poll("req-000901");
        }
        if started && world.on("req-000901/0").is_empty() {
            sleep(4.0);
            let (_, status) = user.poll("req-000901");
            finish(&record, &mut platform, false, &format!("the last job ran, its status is {status}"));
        }
        if now > free_since + LIMIT_S + 1.0 {
            let machines = cloud.workers().len();
            let key = "j/req-000901";
            record.line(&format!("stored under {key}: {}", store.peek(key).unwrap_or_default()));
            let other = world.starts("req-000900/0");
            finish(
                &record,
                &mut platform,
                true,
                &format!("req-000901 has not started {:.0} s after its awaited jobs ended; {machines} machines are idle; starts of the other last job: {other}", now - free_since),
            );
        }
        if now > 116.0 {
            platform.stop();
            quit("no result in time");
        }
    }
}
