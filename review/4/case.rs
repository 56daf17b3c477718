//! One job whose record can't be made smaller stops every write of the leader: no other job runs any more.
//! Disruption: one controller crashes at the first start and is back 8 s later. In both forms the state service then
//! lowers its limits, as `state.next` in the settings announces it.

#[path = "../lib-2/common.rs"]
mod common;
use common::*;

const ZONES: [&str; 3] = ["bangkok-north", "chiang-mai", "khon-kaen"];
/// Limit of the pages: no job is left waiting for 90 s while a machine that fits has room.
const LIMIT_S: f64 = 90.0;
const LARGE: &str = "req-000500";

fn params() -> String {
    r#"[params]
size = 3
zones = ["bangkok-north", "chiang-mai", "khon-kaen"]
clock_error_ms = 5.0

[[params.teams]]
name = "dispatch"
gpus = 800.0
gpus_max = 2000.0

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

[params.state.next]
write_rps = 42.0
value_kb = 2.0
txn_ops = 16
"#
    .to_string()
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
    let (cloud, cloud_addr) = Cloud::start(&world, vec![breed], 6, 2.0, 3.0, &platform.fronts(), times);
    for zone in ZONES {
        cloud.add_machines("chedi-node", zone, 2);
    }
    platform.write_settings(&stores, cloud_addr, &params());
    platform.start_all();
    let mut back_at = f64::MAX;
    if trouble {
        platform.kill(2);
        back_at = record.now() + 8.0;
    }
    let until = record.now() + 20.0;
    while !(platform.is_up(0) && platform.is_up(1)) {
        if record.now() > until {
            platform.stop();
            quit("the controllers did not become healthy");
        }
        sleep(0.1);
    }

    let fronts = platform.fronts();
    let mut user = User::new(&record, &fronts, 0);
    // Work that takes all machines for a while, so that the next job has to wait.
    let fillers: Vec<String> = (0..6).map(|number| format!("req-{:06}", 100 + number)).collect();
    for id in &fillers {
        world.add_job(id, JobInfo { run_s: 10.0, service: false, gang: 0 });
        let extra = vec![("urgency", s("high")), ("cores", V::Num(48.0)), ("etaS", V::Num(8.0))];
        if !user.submit(&job(id, "feed-clean", "dispatch", extra), false) {
            platform.stop();
            quit("a job was not accepted");
        }
    }
    while fillers.iter().any(|id| world.starts(&format!("{id}/0")) == 0) {
        if record.now() > 7.5 {
            platform.stop();
            quit("too slow: the machines were not taken in time");
        }
        sleep(0.1);
    }
    // By now controllers that are up have heard from each other.
    sleep(5.0 - record.now());
    // A gang of one task that names many machine types.
    let mut types: Vec<V> = (1..64).map(|number| s(&format!("chedi-node-gen{number:02}-highmem"))).collect();
    types.push(s("chedi-node"));
    world.add_job(LARGE, JobInfo { run_s: 10.0, service: false, gang: 1 });
    let extra = vec![
        ("shape", s("group")),
        ("urgency", s("high")),
        ("cores", V::Num(43.0)),
        ("memGb", V::Num(230.0)),
        ("breeds", V::List(types)),
        ("etaS", V::Num(10.0)),
    ];
    if !user.submit(&job(LARGE, "urgent-rebook", "dispatch", extra), false) {
        platform.stop();
        quit("the large job was not accepted");
    }
    if trouble {
        if record.now() > back_at {
            platform.stop();
            quit("too slow: the large job was accepted after the controller was back");
        }
        sleep(back_at - record.now());
        platform.start(2);
    }
    sleep(1.5);
    store.lower_limits(42.0, 2.0, 16);
    if fillers.iter().any(|id| world.has_completed(&format!("{id}/0"))) {
        platform.stop();
        quit("too slow: a machine was free before the limits were lowered");
    }
    while fillers.iter().any(|id| !world.has_completed(&format!("{id}/0"))) && record.now() < 25.0 {
        sleep(0.1);
    }
    sleep(2.0);
    // All troubles are over. Usual jobs come from now on.
    let since = record.now();
    let ids: Vec<String> = (0..20).map(|number| format!("req-{:06}", 600 + number)).collect();
    for id in &ids {
        world.add_job(id, JobInfo { run_s: 2.0, service: false, gang: 0 });
        if !user.submit(&job(id, "feed-clean", "dispatch", vec![("etaS", V::Num(2.0))]), true) {
            platform.stop();
            quit("a usual job was not accepted");
        }
    }
    let submitting_s = record.now() - since;
    let mut next_poll = 0.0;
    loop {
        sleep(0.2);
        let now = record.now();
        if now >= next_poll {
            next_poll = now + 5.0;
            user.poll(&ids[0]);
            user.poll(LARGE);
        }
        let started = ids.iter().filter(|id| world.starts(&format!("{id}/0")) > 0).count();
        if started == ids.len() && now > since + 20.0 {
            finish(&record, &mut platform, false, &format!("all usual jobs started; starts of the large job: {}", world.starts(&format!("{LARGE}/0"))));
        }
        if now > since + LIMIT_S + 1.0 + submitting_s {
            let ended = platform.ended();
            let text = format!(
                "{} of {} usual jobs have not started after {:.0} s; controllers ended by themselves: {ended}",
                ids.len() - started,
                ids.len(),
                now - since
            );
            finish(&record, &mut platform, true, &text);
        }
    }
}
