//! Response times under load, with placement, admission and offloading.

#[allow(dead_code, reason = "the other test of this crate uses the rest")]
mod simulation;

use simulation::{
    Simulation,
    shapes::{CONFIRM, JobShape, SLOT_CHECK},
};

/// Submits jobs of `shape` to `zone` at a constant rate for `duration_ms`.
fn submit_jobs(
    sim: &mut Simulation,
    zone: usize,
    shape: &JobShape,
    jobs_per_s: u64,
    duration_ms: u64,
) {
    for _ in 0..jobs_per_s * duration_ms / 1_000 {
        sim.submit(zone, shape);
        sim.run_until(sim.now_ms + 1_000 / jobs_per_s);
    }
}

fn finish_and_check(sim: &mut Simulation) {
    sim.run_until(sim.now_ms + 10_000);
    sim.check_invariants();
}

/// The six targets of a zone run 14 tasks of 14 cores at a time: 82 tasks of 170 ms, or 41
/// `CONFIRM` jobs, per second. All three zones together have three times that capacity.
#[test]
fn overload_of_one_zone_is_served_by_all_zones() {
    let mut sim = Simulation::new(1, 3, 6);
    sim.run_until(1_100);
    submit_jobs(&mut sim, 0, &CONFIRM, 80, 3_000);
    finish_and_check(&mut sim);
    let share = sim.share_within_objective("confirm");
    assert!(share >= 0.95, "share of jobs within their objective: {share}");
}

#[test]
fn partitioned_zone_serves_load_up_to_its_capacity() {
    let mut sim = Simulation::new(1, 3, 6);
    sim.run_until(1_100);
    sim.partition_zone(0, 4_000);
    submit_jobs(&mut sim, 0, &CONFIRM, 80, 3_000);
    finish_and_check(&mut sim);
    let share = sim.share_within_objective("confirm");
    assert!(share >= 0.40, "share of jobs within their objective: {share}");
}

#[test]
fn urgent_jobs_meet_their_objective_under_overload() {
    let mut sim = Simulation::new(1, 1, 6);
    sim.run_until(1_100);
    for _ in 0..60 {
        sim.submit(0, &SLOT_CHECK);
        for _ in 0..4 {
            sim.submit(0, &CONFIRM);
            sim.run_until(sim.now_ms + 12);
        }
    }
    finish_and_check(&mut sim);
    let share = sim.share_within_objective("slot-check");
    assert!(share >= 0.90, "share of jobs within their objective: {share}");
}

#[test]
fn wide_jobs_are_not_starved_by_narrow_jobs() {
    let mut sim = Simulation::new(1, 1, 6);
    sim.run_until(1_100);
    let narrow = JobShape { queue: "narrow", count: 1, priority: 0, ..CONFIRM };
    let wide = JobShape { count: 14, ..SLOT_CHECK };
    for _ in 0..100 {
        sim.submit(0, &narrow);
        sim.submit(0, &wide);
        sim.run_until(sim.now_ms + 90);
    }
    finish_and_check(&mut sim);
    let share = sim.share_within_objective("slot-check");
    assert!(share >= 0.90, "share of jobs within their objective: {share}");
}

/// No job is refused while there is free capacity.
#[test]
fn load_below_capacity_meets_its_objective() {
    let mut sim = Simulation::new(1, 3, 6);
    sim.run_until(1_100);
    for _ in 0..200 {
        for zone in 0..3 {
            sim.submit(zone, &CONFIRM);
        }
        sim.run_until(sim.now_ms + 40);
    }
    finish_and_check(&mut sim);
    let share = sim.share_within_objective("confirm");
    assert!(share >= 0.995, "share of jobs within their objective: {share}");
}

/// Jobs that crash their targets arrive beside a load that fits three zones.
#[test]
fn task_that_crashes_targets_takes_other_tasks_down_once_at_most() {
    const DEADLY: JobShape = JobShape { queue: "deadly", count: 1, crashes: true, ..SLOT_CHECK };
    for seed in 0..10 {
        let mut sim = Simulation::new(seed, 3, 6);
        sim.run_until(1_100);
        for round in 0..100 {
            for zone in 0..3 {
                sim.submit(zone, &CONFIRM);
            }
            if round % 10 == 0 {
                sim.submit(round / 10 % 3, &DEADLY);
            }
            sim.run_until(sim.now_ms + 40);
        }
        finish_and_check(&mut sim);
        let crashes = sim.crashes_of("deadly");
        assert!(crashes.len() <= 20, "seed {seed}: 10 tasks crashed {} targets", crashes.len());
        let harmful = crashes.iter().filter(|(run_number, lost)| *run_number > 1 && *lost > 0);
        assert_eq!(harmful.count(), 0, "seed {seed}: {crashes:?}");
    }
}
