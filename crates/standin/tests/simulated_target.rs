//! Behaviour of the simulated target that tests of dispatchers rely on.

use ggb_placement::Capacity;
use ggb_standin::SimulatedTarget;

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
