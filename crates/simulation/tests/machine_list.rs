//! The cloud's machine list: what a list proves about a machine that it does not show. A list is up to
//! twice `list_lag_s` old and may be older than the one before it.

mod common;
#[path = "common/single_controller.rs"]
mod single_controller;

use anisecroft_simulation::state::Store;
use anisecroft_simulation::{Fault, ScheduledFault, Setup, Simulation, Submission};
use common::*;
use protocol::cloud::MachineState;
use protocol::job::JobSpec;
use single_controller::{stop_commands, ManualWorker, ReorderedLists, SingleController};

/// Durations of outages of the cloud, shorter and longer than the age of a list and a boot.
const OUTAGES_S: [f64; 4] = [5.0, 20.0, 75.0, 600.0];

/// An array of long tasks, each of which takes a whole machine.
fn whole_machine_tasks(tasks: u32) -> JobSpec {
    JobSpec { accelerators: 4.0, estimated_run_s: 2000.0, ..plain_array("req-000001", tasks) }
}

/// A cloud outage begins just before a job needs machines. They are rented when it ends, boot at once,
/// and are hidden by a list that is older than the one that first showed them.
fn machines_rented_after_an_outage(seed: u64, outage_s: f64) -> Simulation {
    let duration_s = outage_s + 100.0;
    let faults = vec![
        ScheduledFault::new(8.0, Fault::CloudOutage { duration_s: outage_s }),
        ScheduledFault::new(8.0, Fault::FastBoots { duration_s }),
        ScheduledFault::new(8.0, Fault::ReorderedMachineLists { duration_s }),
    ];
    let mut setup = seeded_setup(seed, faults);
    without_quotas(&mut setup);
    let jobs = vec![Submission::new(9.0, whole_machine_tasks(6))];
    Simulation::new(Setup { jobs, capacity: 24, ..setup })
}

/// Guards against `ran_twice` after a cloud outage: a list older than the one before took machines
/// for gone that were rented seconds ago, because their age counted from the first attempt.
#[test]
fn machines_rented_after_a_cloud_outage_survive_an_older_list() {
    let mut reordered_lists = 0;
    for seed in 0..16 {
        let outage_s = OUTAGES_S[seed as usize % OUTAGES_S.len()];
        let mut sim = machines_rented_after_an_outage(seed, outage_s);
        assert_eq!(sim.run(8.0 + outage_s + 60.0), [], "seed {seed}, outage of {outage_s} s");
        reordered_lists += sim.reordered_list_count();
    }
    assert!(reordered_lists > 0, "no list was older than the one before");
}

/// One controller whose machine `vm-1` is rented when a cloud outage ends, and runs the only task. Lists
/// show it as early as they can, and then hide it for as long as they can. They state an age that counts
/// from the first rental request.
struct HiddenMachine {
    driver: SingleController,
    worker: ManualWorker,
}

impl HiddenMachine {
    fn after_outage(outage_s: f64) -> Self {
        let mut driver = SingleController::leading(Store::default(), &[], 0.0);
        driver.cloud_down = true;
        driver.submit(&whole_machine_tasks(1));
        driver.run(outage_s);
        driver.rentable_machines = vec!["vm-1".into()];
        driver.cloud_down = false;
        assert!(driver.run_until(10.0, |driver| driver.rentable_machines.is_empty()), "{outage_s} s");
        let list_lag_s = settings().params.cloud.list_lag_s;
        driver.reordered_lists = Some(ReorderedLists {
            shown_at: driver.now + list_lag_s,
            hidden_until: driver.now + 2.0 * list_lag_s,
        });
        driver.listed_machines = vec!["vm-1".into()];
        driver.listed_age_s = outage_s + list_lag_s;
        driver.list_lengths.clear();
        let mut hidden = HiddenMachine { driver, worker: ManualWorker::new("vm-1") };
        hidden.exchange_heartbeats(2.0 * list_lag_s);
        hidden
    }

    fn exchange_heartbeats(&mut self, seconds: f64) {
        let end = self.driver.now + seconds;
        while self.driver.now < end {
            self.driver.exchange_heartbeat(&mut self.worker);
            self.driver.run(0.05);
        }
    }
}

/// Guards against `ran_twice` through the age that a list states: it counts from the rental request,
/// which may precede the machine by the whole outage, and must not make an older list a proof.
#[test]
fn stated_age_does_not_make_an_older_list_prove_a_loss() {
    let list_lag_s = settings().params.cloud.list_lag_s;
    let mut reordered_lists = 0;
    for phase in 0..12 {
        let outage_s = OUTAGES_S[phase % OUTAGES_S.len()] + phase as f64 * 0.2;
        let mut hidden = HiddenMachine::after_outage(outage_s);
        reordered_lists += usize::from(hidden.driver.list_lengths.ends_with(&[1, 0]));
        assert!(hidden.worker.has_live_task("req-000001"), "outage of {outage_s} s");
        assert_eq!(hidden.driver.controller.placement_count(), 1, "outage of {outage_s} s");
        // The next list shows the machine again.
        hidden.exchange_heartbeats(list_lag_s);
        assert!(hidden.worker.has_live_task("req-000001"), "outage of {outage_s} s");
        let usable: Vec<&str> = hidden.driver.controller.usable_machines().collect();
        assert_eq!(usable, ["vm-1"], "outage of {outage_s} s");
    }
    assert!(reordered_lists > 0, "no list was older than the one before");
}

/// Guards against work that waits for a machine which no longer exists: the rental's reply was lost, the
/// machine was used and deleted, and the repeated rental named it again after a cloud outage.
#[test]
fn repeated_rental_does_not_bring_back_a_deleted_machine() {
    let mut driver = SingleController::leading(Store::default(), &[], 0.0);
    driver.submit(&whole_machine_tasks(1));
    driver.rental_replies_lost = true;
    driver.rentable_machines = vec!["vm-1".into()];
    assert!(driver.run_until(10.0, |driver| driver.rentable_machines.is_empty()));
    driver.listed_machines = vec!["vm-1".into()];
    let mut worker = ManualWorker::new("vm-1");
    driver.run_until_launched(&mut worker, &["req-000001"]);
    // The cloud reports the machine as failed, and the leader deletes it.
    driver.listed_state = MachineState::Failed;
    assert!(driver.run_until(10.0, |driver| !driver.deleted_machines.is_empty()));
    driver.cloud_down = true;
    driver.run(75.0);
    driver.cloud_down = false;
    driver.rental_replies_lost = false;
    driver.run(5.0);
    assert_eq!(driver.controller.machine_age_s("vm-1"), None);
    assert_eq!(driver.controller.placement_count(), 0);
}

/// Guards against a machine that was taken for gone and goes on reporting: its lease was renewed, its
/// tasks ran on beside their replacements, and it was neither used nor returned.
#[test]
fn removed_machine_that_goes_on_reporting_is_stopped_and_deleted() {
    let mut driver = SingleController::leading(Store::default(), &["vm-1"], 0.0);
    driver.submit(&whole_machine_tasks(1));
    let mut worker = ManualWorker::new("vm-1");
    driver.run_until_launched(&mut worker, &["req-000001"]);
    // The cloud's lists omit the machine for longer than the protocol allows.
    driver.listed_machines.clear();
    let is_known = |driver: &SingleController| driver.controller.machine_age_s("vm-1").is_some();
    assert!(driver.run_until(30.0, |driver| !is_known(driver)));
    let commands = driver.exchange_heartbeat(&mut worker);
    assert_eq!(stop_commands(&commands, "req-000001").count(), 1, "{commands:?}");
    driver.run(5.0);
    assert_eq!(driver.deleted_machines, ["vm-1"]);
    // Its deletion is a proof: later heartbeats are old ones.
    let old = worker.next_heartbeat();
    driver.send_heartbeat(&old);
    driver.run(5.0);
    assert_eq!(driver.deleted_machines, ["vm-1"]);
    assert!(!is_known(&driver));
}

/// Guards against a deletion for each late copy of a heartbeat: a copy that is not newer than what the
/// leader knew when the list proved the machine gone shows nothing.
#[test]
fn late_copy_of_a_removed_machines_heartbeat_is_ignored() {
    let mut driver = SingleController::leading(Store::default(), &["vm-1"], 0.0);
    let mut worker = ManualWorker::new("vm-1");
    driver.exchange_heartbeat(&mut worker);
    driver.listed_machines.clear();
    let is_known = |driver: &SingleController| driver.controller.machine_age_s("vm-1").is_some();
    assert!(driver.run_until(30.0, |driver| !is_known(driver)));
    driver.send_heartbeat(&worker.heartbeat.clone());
    driver.run(5.0);
    assert!(!is_known(&driver));
    assert_eq!(driver.deleted_machines, Vec::<String>::new());
}
