//! Evacuations of zones with faults halfway, with invariants checked over all runs and answers.
//!
//! `GGB_SEED=7 cargo test -p ggb-placement --test evacuation_faults NAME -- --nocapture` runs a single
//! seed and logs the decisions of the dispatchers without timestamps.

#[allow(dead_code, reason = "the other tests of this crate use the rest")]
mod simulation;

use ggb_placement::JobAnswer;
use simulation::{
    Faults, Simulation,
    evacuation::EVACUATE_MS,
    shapes::{CONFIRM, JobShape, QUOTE, SLOT_CHECK},
};

/// Submits a job about every 15 ms for `duration_ms`, also in evacuated zones. One in 50 fails on every
/// target.
fn submit_random_jobs(sim: &mut Simulation, duration_ms: u64) {
    let end_ms = sim.now_ms + duration_ms;
    while sim.now_ms < end_ms {
        let pause_ms = sim.random_below(30);
        sim.run_until(sim.now_ms + pause_ms);
        let shape = [SLOT_CHECK, CONFIRM, CONFIRM, QUOTE][sim.random_below(4) as usize];
        let fails = sim.random_below(50) == 0;
        let zone = sim.random_below(3) as usize;
        sim.submit(zone, &JobShape { fails, ..shape });
    }
}

/// Disables faults, lets all jobs end and checks the invariants: no task starts in an evacuated zone
/// after the deadline, none runs twice at the same time, and a refused job has not run.
fn finish_and_check(sim: &mut Simulation) {
    sim.faults = Faults::default();
    sim.run_until(sim.now_ms + 15_000);
    assert_eq!(sim.starts_in_evacuated_zones(), []);
    assert!(!sim.has_waiting_callers());
    sim.check_invariants();
}

macro_rules! case {
    ($name:ident, $seeds:expr, $run:expr) => {
        #[test]
        fn $name() {
            for seed in simulation::seeds($seeds) {
                println!("seed {seed}");
                let mut sim = Simulation::new(seed, 3, 6);
                sim.run_until(1_100);
                let run: fn(&mut Simulation) = $run;
                run(&mut sim);
                finish_and_check(&mut sim);
            }
        }
    };
}

// Guards against tasks that start from the zone's own queue, and against callers of the zone that the
// other zones don't serve.
case!(evacuated_zone_starts_nothing_and_its_callers_are_served, 0..20, |sim| {
    submit_random_jobs(sim, 500);
    sim.evacuate(0);
    submit_random_jobs(sim, 1_000);
    // Without load, the other zones have capacity for every job.
    sim.run_until(sim.now_ms + 2_500);
    let first = sim.callers.len();
    for _ in 0..20 {
        sim.submit(0, &CONFIRM);
        sim.run_until(sim.now_ms + 100);
    }
    sim.run_until(sim.now_ms + 2_000);
    let answers = sim.callers[first..].iter().filter_map(|caller| caller.answer.as_ref());
    let completed = answers.filter(|(_, answer)| *answer == JobAnswer::Completed).count();
    assert_eq!(completed, 20);
});

// Guards against a zone that stays without work after the request was withdrawn.
case!(zone_that_returns_to_service_gets_new_work, 0..10, |sim| {
    sim.evacuate(0);
    submit_random_jobs(sim, EVACUATE_MS + 500);
    sim.return_to_service(0);
    sim.run_until(sim.now_ms + 1_000);
    let since_ms = sim.now_ms;
    submit_random_jobs(sim, 1_000);
    assert!(sim.starts_in_zone(0, since_ms) > 0);
});

// Guards against tasks that a new owner starts in the zone for the jobs that it adopts.
case!(owner_of_an_evacuated_zone_is_killed, 0..30, |sim| {
    submit_random_jobs(sim, 700);
    sim.evacuate(0);
    let pause_ms = sim.random_below(1_500);
    submit_random_jobs(sim, pause_ms);
    sim.kill_owner(0);
    submit_random_jobs(sim, 4_000);
});

// As above, in the zone to which the callers of the evacuated one are sent.
case!(owner_of_another_zone_is_killed_during_an_evacuation, 0..30, |sim| {
    sim.evacuate(0);
    submit_random_jobs(sim, 1_500);
    sim.kill_owner(1);
    submit_random_jobs(sim, 3_000);
});

// Guards against tasks that an owner starts after a pause in which it missed the request.
case!(owner_is_frozen_while_its_zone_is_evacuated, 0..30, |sim| {
    submit_random_jobs(sim, 500);
    let frozen_ms = 1_000 + sim.random_below(4_000);
    sim.freeze_owner(0, frozen_ms);
    sim.evacuate(0);
    submit_random_jobs(sim, 6_000);
});

// Guards against a second start by the next owner of tasks that the former one offloaded or ran.
case!(owner_of_an_evacuated_zone_is_released, 0..30, |sim| {
    submit_random_jobs(sim, 700);
    sim.evacuate(0);
    for _ in 0..3 {
        let pause_ms = 200 + sim.random_below(800);
        submit_random_jobs(sim, pause_ms);
        sim.release_owner(0);
    }
    submit_random_jobs(sim, 2_000);
});

// Guards against parts that are started twice when their owner evacuates and returns them.
case!(zone_that_runs_parts_of_others_is_evacuated, 0..30, |sim| {
    for _ in 0..20 {
        sim.submit(0, &SLOT_CHECK);
        sim.submit(0, &JobShape { fails: true, ..CONFIRM });
    }
    let pause_ms = sim.random_below(200);
    sim.run_until(sim.now_ms + pause_ms);
    sim.evacuate(1);
    submit_random_jobs(sim, 2_000);
    sim.evacuate(2);
    submit_random_jobs(sim, 3_000);
});

// Guards against starts in either zone, and against work that neither zone nor the third one takes.
case!(two_zones_are_evacuated_and_one_returns, 0..20, |sim| {
    submit_random_jobs(sim, 500);
    sim.evacuate(0);
    submit_random_jobs(sim, 400);
    sim.evacuate(1);
    submit_random_jobs(sim, 4_000);
    sim.return_to_service(0);
    submit_random_jobs(sim, 2_000);
});

// Guards against jobs that wait although no zone can start them.
case!(jobs_are_refused_at_once_while_all_zones_are_evacuated, 0..20, |sim| {
    submit_random_jobs(sim, 500);
    (0..3).for_each(|zone| sim.evacuate(zone));
    sim.run_until(sim.now_ms + 3_000);
    let first = sim.callers.len();
    submit_random_jobs(sim, 1_000);
    sim.run_until(sim.now_ms + 100);
    for caller in &sim.callers[first..] {
        match &caller.answer {
            Some((at_ms, JobAnswer::Refused { retry_after_ms, .. })) => {
                assert!(*at_ms <= caller.sent_at_ms + 20 && *retry_after_ms > 0, "{at_ms}");
            }
            answer => panic!("expected a refusal, got {answer:?}"),
        }
    }
});

// Guards against second starts of the jobs that leave a zone when requests, faults and callers that
// return coincide.
case!(evacuations_with_all_faults, 0..100, |sim| {
    sim.faults = Faults { lost: 15, late: 15, unanswered: 15, ..Faults::default() };
    for _ in 0..12 {
        submit_random_jobs(sim, 400);
        let zone = sim.random_below(3) as usize;
        match sim.random_below(8) {
            0 => sim.kill_owner(zone),
            1 => sim.freeze_owner(zone, 2_500),
            2 => sim.release_owner(zone),
            3 => sim.partition_zone(zone, 1_500),
            4 | 5 => sim.evacuate(zone),
            6 => sim.return_to_service(zone),
            _ => {
                let last = sim.callers.len() - 1;
                sim.reconnect(last, zone);
            }
        }
    }
});
