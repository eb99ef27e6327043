//! Behaviour of the simulated target that tests of dispatchers rely on.

use ggb_placement::{Capacity, Run, StartOutcome};
use ggb_standin::{SimulatedTarget, SimulatedTargetMode, SimulatedWork};

// Guards against a run that vanishes from an incarnation which, by its start, has not changed.
#[test]
fn target_that_crashes_twice_in_a_millisecond_begins_two_incarnations() {
    let mut target = SimulatedTarget::new(Capacity::default(), 1_000);
    let mut starts = vec![target.started_unix_ms()];
    for _ in 0..2 {
        target.crash(1_000);
        starts.push(target.started_unix_ms());
    }
    assert!(starts.is_sorted_by(|earlier, later| earlier < later), "{starts:?}");
}

// Guards against a soak in which targets that are to be slow run at their usual speed.
#[test]
fn run_on_a_slow_target_takes_several_times_as_long() {
    let mut target = SimulatedTarget::new(Capacity::default(), 1_000);
    target.mode = SimulatedTargetMode::Slow { factor: 5 };
    let run = Run { task: "00000000000000aa.0.0.0".parse().expect("the id is valid"), number: 1 };
    let demand = Capacity::default();
    let work = SimulatedWork { demand, work_ms: 60, fails: false, crashes: false };
    assert_eq!(target.start(1, run, work, 900, 1_000), StartOutcome::Accepted);
    assert_eq!(target.next_end_ms(), Some(1_300));
}
