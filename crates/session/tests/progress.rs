//! Random orders of what happens to the tasks of one job.

use ggb_model::{Outcome, Payload, Refusal, RefusalReason, TaskFault, TaskIndex};
use ggb_session::JobProgress;
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use serde_json::value::RawValue;

const CASES: u32 = 3_000;
const TASKS: u16 = 4;

#[derive(Clone, Debug)]
enum Event {
    Send,
    Deny(u16),
    Answer(u16),
    Fault(u16),
    Stop,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        5 => Just(Event::Send),
        3 => (0..TASKS).prop_map(Event::Deny),
        5 => (0..TASKS).prop_map(Event::Answer),
        1 => (0..TASKS).prop_map(Event::Fault),
        1 => Just(Event::Stop),
    ]
}

fn answer() -> Payload {
    RawValue::from_string("1".to_owned()).expect("1 is JSON")
}

fn refusal() -> Refusal {
    Refusal { reason: RefusalReason::NoTargets, retry_after_ms: None }
}

/// What the checker knows of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Known {
    Waiting,
    Sent,
    Over,
}

fn check(events: &[Event]) {
    let mut progress = JobProgress::new(TASKS, 2);
    let mut tasks = [Known::Waiting; TASKS as usize];
    let mut answered = 0;
    let mut decided = false;
    for event in events {
        let outcome = match event {
            Event::Send => {
                if let Some(placement) = progress.send_next() {
                    let task = &mut tasks[usize::from(placement.task.0)];
                    assert!(!decided, "a task was sent after the outcome");
                    assert_eq!(*task, Known::Waiting, "a task was sent twice");
                    *task = Known::Sent;
                }
                None
            }
            Event::Deny(at) if tasks[usize::from(*at)] == Known::Sent => {
                tasks[usize::from(*at)] = Known::Waiting;
                progress.not_started(TaskIndex(*at))
            }
            Event::Answer(at) => {
                if tasks[usize::from(*at)] == Known::Sent {
                    tasks[usize::from(*at)] = Known::Over;
                    answered += 1;
                }
                progress.answered(TaskIndex(*at), answer())
            }
            Event::Fault(at) if tasks[usize::from(*at)] == Known::Sent => {
                tasks[usize::from(*at)] = Known::Over;
                progress.faulted(TaskIndex(*at), TaskFault::AnswerLost)
            }
            Event::Deny(_) | Event::Fault(_) => None,
            Event::Stop => progress.stop(refusal()),
        };
        let Some(outcome) = outcome else { continue };
        assert!(!decided, "two outcomes");
        decided = true;
        match outcome {
            Outcome::Complete { answers } => {
                assert_eq!((answers.len(), answered), (TASKS.into(), TASKS));
            }
            Outcome::Failed { failures } => assert!(!failures.is_empty()),
            Outcome::NotRun(_) => assert!(tasks.iter().all(|task| *task == Known::Waiting)),
            other => panic!("{other:?} is not an outcome of a job"),
        }
    }
}

#[test]
fn outcomes_are_true_over_random_orders() {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let events = prop::collection::vec(event(), 1..40);
    runner
        .run(&events, |events| {
            check(&events);
            Ok(())
        })
        .unwrap();
}

#[test]
fn a_deadline_does_not_stop_what_has_started() {
    let mut progress = JobProgress::new(2, 0);
    let placement = progress.send_next().unwrap();
    assert!(progress.refuse_unstarted(refusal()).is_none());
    assert!(progress.answered(placement.task, answer()).is_none());
    assert!(progress.send_next().is_some());
}

#[test]
fn a_late_answer_after_the_outcome_is_ignored() {
    let mut progress = JobProgress::new(1, 0);
    let placement = progress.send_next().unwrap();
    assert!(progress.answered(placement.task, answer()).is_some());
    assert!(progress.answered(placement.task, answer()).is_none());
    assert!(progress.not_started(placement.task).is_none());
}
