//! What callers get while more work arrives than the targets of a zone can do.

#[allow(dead_code, reason = "the other tests use the rest")]
mod simulation;

use ggb_placement::JobAnswer;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use simulation::{
    Simulation,
    shapes::{FREQUENT, JobShape, LONG, URGENT},
};

/// Targets of a zone of the first customer.
const TARGETS: usize = 88;

/// Time at which the load rises.
const CALM_UNTIL_MS: u64 = 3_200;

/// Jobs per second and zone of the three kinds, which together need 58% of the targets' CPU time.
const CALM: [(JobShape, f64); 3] = [(URGENT, 51.5), (FREQUENT, 150.25), (LONG, 9.5)];

/// What the callers of one kind got.
#[derive(Debug)]
#[allow(dead_code, reason = "shown when a check fails")]
struct Served {
    /// Share of the jobs that were answered within their objective.
    in_time: f64,
    refused: usize,
    given_up: usize,
    /// Time from the submission to a refusal, the median and the 90th percentile.
    refusal_ms: [u64; 2],
}

/// Submits jobs of all kinds, `factors` times the calm load of each, with exponential gaps, until
/// `until_ms`. Tasks differ in CPU demand and run time, jobs also in the callers' estimate.
fn submit_until(sim: &mut Simulation, rng: &mut ChaCha8Rng, factors: [f64; 3], until_ms: u64) {
    let mut next_ms = [sim.now_ms as f64; 3];
    let kinds: Vec<(JobShape, f64)> =
        CALM.iter().zip(factors).map(|((shape, rate), factor)| (*shape, rate * factor)).collect();
    let gap_ms =
        |rng: &mut ChaCha8Rng, rate: f64| -(1.0 - rng.random::<f64>()).ln() * 1_000.0 / rate;
    for (kind, (_, rate)) in kinds.iter().enumerate() {
        next_ms[kind] += gap_ms(rng, *rate);
    }
    loop {
        let (kind, at_ms) = next_ms
            .iter()
            .copied()
            .enumerate()
            .fold((0, f64::MAX), |min, next| if next.1 < min.1 { next } else { min });
        if at_ms >= until_ms as f64 {
            sim.run_until(until_ms);
            return;
        }
        sim.run_until(at_ms as u64);
        let (shape, rate) = kinds[kind];
        let cpu_milli = rng.random_range(12_800..19_200);
        let work_ms = shape.work_ms * rng.random_range(90..=110) / 100;
        sim.submit(0, &JobShape { cpu_milli, work_ms, ..shape });
        next_ms[kind] += gap_ms(rng, rate);
    }
}

/// Returns what the callers of a queue got that sent their jobs at `from_ms` or later in any of the
/// simulations.
fn served(sims: &[Simulation], queue: &str, from_ms: u64) -> Served {
    let callers = sims.iter().flat_map(|sim| &sim.callers);
    let of_queue = callers
        .filter(|caller| *caller.submission.queue.name == *queue && caller.sent_at_ms >= from_ms);
    let (mut all, mut in_time, mut given_up) = (0, 0, 0);
    let mut refusal_ms: Vec<u64> = Vec::new();
    for caller in of_queue {
        all += 1;
        let objective_ms = caller.work.work_ms * 16 / 10 + 60;
        match &caller.answer {
            _ if caller.was_interrupted => given_up += 1,
            Some((at_ms, JobAnswer::Completed)) if *at_ms <= caller.sent_at_ms + objective_ms => {
                in_time += 1;
            }
            Some((at_ms, JobAnswer::Refused { .. })) => refusal_ms.push(at_ms - caller.sent_at_ms),
            _ => {}
        }
    }
    refusal_ms.sort_unstable();
    let quantile = |percent: usize| refusal_ms.get(refusal_ms.len() * percent / 100).copied();
    Served {
        in_time: f64::from(in_time) / f64::from(all.max(1)),
        refused: refusal_ms.len(),
        given_up,
        refusal_ms: [quantile(50).unwrap_or(0), quantile(90).unwrap_or(0)],
    }
}

/// Returns one zone after the calm load for 2 s and `factors` times that load for 8 s.
fn run_burst(seed: u64, factors: [f64; 3]) -> Simulation {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut sim = Simulation::new(seed, 1, TARGETS);
    sim.run_until(1_200);
    submit_until(&mut sim, &mut rng, [1.0; 3], CALM_UNTIL_MS);
    submit_until(&mut sim, &mut rng, factors, CALM_UNTIL_MS + 8_000);
    sim.run_until(sim.now_ms + 6_000);
    sim.check_invariants();
    sim
}

/// Returns what the callers of the three kinds got while the load was `factors` times the calm one, over
/// eight seeds.
fn serve_bursts(factors: [f64; 3]) -> [Served; 3] {
    let sims: Vec<Simulation> =
        simulation::seeds(1..=8).into_iter().map(|seed| run_burst(seed, factors)).collect();
    let all = CALM.map(|(shape, _)| served(&sims, shape.queue, CALM_UNTIL_MS));
    println!("factors {factors:?}:");
    for kind in &all {
        println!("  {kind:?}");
    }
    all
}

/// The owner is lost while the zone gets twice what it can do. Guards against jobs that get no answer or
/// run twice, and against a successor whose refusals come as late as if it had no plan.
#[test]
fn owner_lost_with_a_full_queue_is_replaced() {
    let run = |seed| {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut sim = Simulation::new(seed, 1, TARGETS);
        sim.run_until(1_200);
        submit_until(&mut sim, &mut rng, [3.4; 3], 4_200);
        sim.kill_owner(0);
        submit_until(&mut sim, &mut rng, [3.4; 3], 8_200);
        sim.run_until(sim.now_ms + 10_000);
        sim.check_invariants();
        sim
    };
    let sims: Vec<Simulation> = simulation::seeds(1..=8).into_iter().map(run).collect();
    let all = CALM.map(|(shape, _)| served(&sims, shape.queue, 5_700));
    println!("{all:#?}");
    assert!(all.iter().all(|kind| kind.in_time >= 0.2), "{all:?}");
    assert!(all[1].refusal_ms[0] <= 40, "{all:?}");
}

/// What callers must get at least.
struct Bounds {
    /// Share of the jobs of each kind that are answered within their objective.
    in_time: [f64; 3],
    /// Mean of these shares; all kinds together weigh the same.
    mean_in_time: f64,
    /// Median time to a refusal by kind, in ms.
    refusal_ms: [u64; 3],
}

macro_rules! bursts {
    ($($name:ident: $factors:expr => $bounds:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let served = serve_bursts($factors);
                let bounds: Bounds = $bounds;
                let mean = served.iter().map(|kind| kind.in_time).sum::<f64>() / 3.0;
                assert!(mean >= bounds.mean_in_time, "mean {mean}: {served:?}");
                for (kind, in_time) in served.iter().zip(bounds.in_time) {
                    assert!(kind.in_time >= in_time, "{kind:?} of {served:?}");
                }
                for (kind, refusal_ms) in served.iter().zip(bounds.refusal_ms) {
                    assert!(kind.refusal_ms[0] <= refusal_ms, "{kind:?} of {served:?}");
                }
            }
        )+
    };
}

// The calm load needs 58% of the CPU time of the targets, of which fragmentation leaves about 85%.
bursts! {
    all_kinds_at_the_capacity: [1.8; 3] => Bounds {
        in_time: [0.94, 0.82, 0.80], mean_in_time: 0.875, refusal_ms: [58, 125, 400],
    };
    all_kinds_at_one_and_a_half_times_the_capacity: [2.55; 3] => Bounds {
        in_time: [0.93, 0.53, 0.50], mean_in_time: 0.68, refusal_ms: [58, 20, 60],
    };
    all_kinds_at_twice_the_capacity: [3.4; 3] => Bounds {
        in_time: [0.93, 0.33, 0.27], mean_in_time: 0.53, refusal_ms: [58, 10, 10],
    };
    burst_of_the_urgent_kind: [5.0, 1.0, 1.0] => Bounds {
        in_time: [0.87, 0.74, 0.74], mean_in_time: 0.82, refusal_ms: [10, 120, 430],
    };
    burst_of_the_frequent_kind: [1.0, 3.0, 1.0] => Bounds {
        in_time: [0.94, 0.72, 0.80], mean_in_time: 0.85, refusal_ms: [70, 10, 450],
    };
    burst_of_the_long_kind: [1.0, 1.0, 5.0] => Bounds {
        in_time: [0.91, 0.89, 0.66], mean_in_time: 0.83, refusal_ms: [60, 132, 220],
    };
}
