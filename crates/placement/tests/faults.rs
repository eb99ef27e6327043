//! Random faults over several zones; everything that ran is checked afterwards.
//!
//! `GGB_SEED=7 cargo test -p ggb-placement --test faults NAME -- --nocapture` plays one seed
//! and logs what the dispatchers decide, without a time of day.

#[allow(dead_code, reason = "the other test of this crate uses the rest")]
mod world;

use ggb_standin::ModelMode;
use world::{CONFIRM, Faults, JobShape, QUOTE, SLOT_CHECK, World};

/// Sends a job about each 20 ms for `for_ms`, one of `poison_permille` in 1,000 hopeless.
fn traffic(world: &mut World, for_ms: u64, poison_permille: u64) {
    let end_ms = world.now_ms + for_ms;
    while world.now_ms < end_ms {
        let pause_ms = world.draw(40);
        world.run_until(world.now_ms + pause_ms);
        let shape = [SLOT_CHECK, CONFIRM, CONFIRM, CONFIRM, QUOTE][world.draw(5) as usize];
        let fails = world.draw(1_000) < poison_permille;
        let cpu_milli = 10_000 + world.draw(10_000);
        let zone = world.draw(3) as usize;
        world.submit(zone, &JobShape { fails, cpu_milli, ..shape });
    }
}

/// Lets everything end, then checks it.
fn settle(world: &mut World) {
    world.faults = Faults::default();
    world.run_until(world.now_ms + 20_000);
    world.check();
}

macro_rules! case {
    ($name:ident, $seeds:expr, $run:expr) => {
        #[test]
        fn $name() {
            for seed in world::seeds($seeds) {
                println!("seed {seed}");
                let mut world = World::new(seed, 3, 6);
                world.run_until(1_100);
                let run: fn(&mut World) = $run;
                run(&mut world);
                settle(&mut world);
            }
        }
    };
}

case!(calm, 0..5, |world| traffic(world, 3_000, 0));

case!(hopeless_jobs, 0..10, |world| traffic(world, 3_000, 200));

case!(lost_orders, 0..20, |world| {
    world.faults = Faults { lost: 60, late: 0, unanswered: 0 };
    traffic(world, 3_000, 10);
});

case!(late_orders, 0..20, |world| {
    world.faults = Faults { lost: 0, late: 60, unanswered: 0 };
    traffic(world, 3_000, 10);
});

case!(lost_answers, 0..20, |world| {
    world.faults = Faults { lost: 0, late: 0, unanswered: 60 };
    traffic(world, 3_000, 10);
});

case!(owner_killed, 0..30, |world| {
    traffic(world, 1_000, 0);
    world.kill_owner(0);
    traffic(world, 2_000, 0);
});

case!(owner_frozen, 0..30, |world| {
    traffic(world, 1_000, 0);
    world.freeze_owner(1, 3_000);
    traffic(world, 4_000, 0);
});

case!(owner_released, 0..30, |world| {
    for zone in 0..3 {
        traffic(world, 700, 0);
        world.release_owner(zone);
    }
    traffic(world, 1_000, 0);
});

case!(zone_cut, 0..30, |world| {
    traffic(world, 1_000, 0);
    world.cut_zone(2, 2_000);
    traffic(world, 4_000, 0);
});

case!(targets_crash, 0..30, |world| {
    for _ in 0..5 {
        traffic(world, 400, 0);
        let at = world.draw(world.target_count() as u64) as usize;
        world.crash_target(at);
    }
    traffic(world, 1_000, 0);
});

case!(targets_stall_and_fail, 0..20, |world| {
    for mode in [ModelMode::Stalled, ModelMode::Failing, ModelMode::Stalled] {
        traffic(world, 500, 0);
        let at = world.draw(world.target_count() as u64) as usize;
        world.set_mode(at, mode, 2_000);
    }
    traffic(world, 2_000, 0);
});

case!(callers_leave_and_come_back, 0..30, |world| {
    for _ in 0..20 {
        traffic(world, 150, 0);
        let last = world.callers.len() - 1;
        let zone = world.draw(3) as usize;
        match world.draw(2) {
            0 => world.break_off(last, zone),
            _ => world.give_up(last),
        }
    }
});

case!(everything_at_once, 0..200, |world| {
    world.faults = Faults { lost: 15, late: 15, unanswered: 15 };
    for _ in 0..12 {
        traffic(world, 400, 20);
        let zone = world.draw(3) as usize;
        match world.draw(7) {
            0 => world.kill_owner(zone),
            1 => world.freeze_owner(zone, 2_500),
            2 => world.release_owner(zone),
            3 => world.cut_zone(zone, 1_500),
            4 => {
                let at = world.draw(world.target_count() as u64) as usize;
                world.crash_target(at);
            }
            5 => {
                let at = world.draw(world.target_count() as u64) as usize;
                world.set_mode(at, ModelMode::Stalled, 1_500);
            }
            _ => {
                let last = world.callers.len() - 1;
                world.break_off(last, zone);
            }
        }
    }
});
