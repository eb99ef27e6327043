//! Loads that placement, admission and lending answer; what callers get is checked.

#[allow(dead_code, reason = "the other test of this crate uses the rest")]
mod world;

use world::{CONFIRM, JobShape, SLOT_CHECK, World};

/// Sends jobs of `shape` to `zone` at `per_s` for `for_ms`, with pauses of even length.
fn send(world: &mut World, zone: usize, shape: &JobShape, per_s: u64, for_ms: u64) {
    for _ in 0..per_s * for_ms / 1_000 {
        world.submit(zone, shape);
        world.run_until(world.now_ms + 1_000 / per_s);
    }
}

fn settle(world: &mut World) {
    world.run_until(world.now_ms + 10_000);
    world.check();
}

/// Six targets take 14 tasks of 14 cores, 82 a second of 170 ms: 41 confirmations a second.
/// All three zones together take three times that.
#[test]
fn a_crest_of_one_zone_is_served_by_all() {
    let mut world = World::new(1, 3, 6);
    world.run_until(1_100);
    send(&mut world, 0, &CONFIRM, 80, 3_000);
    settle(&mut world);
    let share = world.share_in_time("confirm");
    assert!(share >= 0.95, "in time: {share}");
}

#[test]
fn a_zone_that_is_cut_off_serves_what_it_can() {
    let mut world = World::new(1, 3, 6);
    world.run_until(1_100);
    world.cut_zone(0, 4_000);
    send(&mut world, 0, &CONFIRM, 80, 3_000);
    settle(&mut world);
    let share = world.share_in_time("confirm");
    assert!(share >= 0.40, "in time: {share}");
}

#[test]
fn urgent_jobs_are_served_at_a_crest_of_others() {
    let mut world = World::new(1, 1, 6);
    world.run_until(1_100);
    for _ in 0..60 {
        world.submit(0, &SLOT_CHECK);
        for _ in 0..4 {
            world.submit(0, &CONFIRM);
            world.run_until(world.now_ms + 12);
        }
    }
    settle(&mut world);
    let share = world.share_in_time("slot-check");
    assert!(share >= 0.90, "in time: {share}");
}

#[test]
fn a_wide_job_is_not_starved_by_narrow_ones() {
    let mut world = World::new(1, 1, 6);
    world.run_until(1_100);
    let narrow = JobShape { queue: "narrow", count: 1, priority: 0, ..CONFIRM };
    let wide = JobShape { count: 14, ..SLOT_CHECK };
    for _ in 0..100 {
        world.submit(0, &narrow);
        world.submit(0, &wide);
        world.run_until(world.now_ms + 90);
    }
    settle(&mut world);
    let share = world.share_in_time("slot-check");
    assert!(share >= 0.90, "in time: {share}");
}

/// Nothing is refused that there is room for.
#[test]
fn a_load_below_capacity_is_served_in_full() {
    let mut world = World::new(1, 3, 6);
    world.run_until(1_100);
    for _ in 0..200 {
        for zone in 0..3 {
            world.submit(zone, &CONFIRM);
        }
        world.run_until(world.now_ms + 40);
    }
    settle(&mut world);
    let share = world.share_in_time("confirm");
    assert!(share >= 0.995, "in time: {share}");
}
