//! What an owner holds after hours of load.

#[allow(dead_code, reason = "the other tests of this crate use the rest")]
mod simulation;

use simulation::{
    Faults, Simulation,
    shapes::{CONFIRM, JobShape, QUOTE, SLOT_CHECK},
};

const ZONES: usize = 3;
const TARGETS_PER_ZONE: usize = 6;

/// Time of load between two quiet times.
const LOAD_MS: u64 = 600_000;

/// Number of times of load: two hours.
const LOADS: usize = 12;

/// Quiet time after which everything that the load left has been dropped: losses of targets are
/// remembered for 60 s.
const QUIET_MS: u64 = 65_000;

/// Plays load for [`LOAD_MS`]: callers leave and return, targets crash, leave and are replaced, other
/// owners are lost. Returns the most that the owner of zone 0 held at a time.
fn play_load(sim: &mut Simulation, ready_targets: &mut [usize]) -> Vec<(&'static str, usize)> {
    sim.faults = Faults { lost: 5, late: 5, unanswered: 5, ..Faults::default() };
    let mut most = sim.held_entries(0).to_vec();
    let end_ms = sim.now_ms + LOAD_MS;
    while sim.now_ms < end_ms {
        for _ in 0..5 {
            let pause_ms = sim.random_below(100);
            sim.run_until(sim.now_ms + pause_ms);
            let shape = [SLOT_CHECK, CONFIRM, CONFIRM, QUOTE][sim.random_below(4) as usize];
            let fails = sim.random_below(100) < 2;
            let crashes = sim.random_below(1_000) < 5;
            let zone = sim.random_below(ZONES as u64) as usize;
            sim.submit(zone, &JobShape { fails, crashes, ..shape });
        }
        let last = sim.callers.len() - 1;
        let ready = sim.random_below(ready_targets.len() as u64) as usize;
        match sim.random_below(60) {
            0..10 => sim.abandon(last),
            10..20 => sim.reconnect(last, 0),
            20 => sim.crash_target(ready_targets[ready]),
            21 => {
                let next_index = sim.target_count();
                sim.replace_target(ready_targets[ready]);
                ready_targets[ready] = next_index;
            }
            22 => sim.kill_owner(1),
            23 => sim.release_owner(2),
            24 => sim.partition_zone(2, 1_500),
            _ => {}
        }
        sim.prune_targets();
        for (held, most) in sim.held_entries(0).iter().zip(&mut most) {
            most.1 = most.1.max(held.1);
        }
    }
    most
}

/// Returns how many entries of a collection an owner may hold without load.
fn max_held_when_quiet(name: &str) -> usize {
    match name {
        "targets" | "listing requests" => TARGETS_PER_ZONE,
        "queues with run times" => [SLOT_CHECK, CONFIRM, QUOTE].len(),
        "remote zones" => ZONES - 1,
        _ => 0,
    }
}

#[test]
fn owner_holds_as_much_after_hours_of_load_as_after_minutes() {
    let mut sim = Simulation::new(1, ZONES, TARGETS_PER_ZONE);
    sim.run_until(1_100);
    let mut ready_targets: Vec<usize> = (0..sim.target_count()).collect();
    let mut most_at_first = None;
    for load in 0..LOADS {
        let most = play_load(&mut sim, &mut ready_targets);
        sim.faults = Faults::default();
        sim.run_until(sim.now_ms + QUIET_MS);
        sim.prune_targets();
        println!("load {load}: at most {most:?}");
        for (name, held) in sim.held_entries(0) {
            assert!(held <= max_held_when_quiet(name), "{held} {name} after load {load}");
        }
        for ((name, most), (_, first)) in
            most.iter().zip(most_at_first.get_or_insert_with(|| most.clone()))
        {
            assert!(*most <= 2 * *first + 10, "{most} {name} in load {load}, {first} in the first");
        }
    }
}
