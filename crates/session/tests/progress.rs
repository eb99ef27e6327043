//! Random orders of starts, failed starts, answers and faults of the tasks of one job.

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
    NotStarted(u16),
    Answer(u16),
    Fault(u16),
    Stop,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        5 => Just(Event::Send),
        3 => (0..TASKS).prop_map(Event::NotStarted),
        5 => (0..TASKS).prop_map(Event::Answer),
        1 => (0..TASKS).prop_map(Event::Fault),
        1 => Just(Event::Stop),
    ]
}

fn answer() -> Payload {
    RawValue::from_string("1".to_owned()).expect("1 is valid JSON")
}

fn refusal() -> Refusal {
    Refusal { reason: RefusalReason::NoTargets, retry_after_ms: None }
}

/// State of a task in the model of the checker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TaskModel {
    Waiting,
    Sent,
    Ended,
}

fn check_order(events: &[Event]) {
    let mut progress = JobProgress::new(TASKS, 2);
    let mut tasks = [TaskModel::Waiting; TASKS as usize];
    let mut answered = 0;
    let mut has_outcome = false;
    for event in events {
        let outcome = match event {
            Event::Send => {
                if let Some(attempt) = progress.start_next_attempt() {
                    let task = &mut tasks[usize::from(attempt.task.0)];
                    assert!(!has_outcome, "a task was sent after the outcome was decided");
                    assert_eq!(*task, TaskModel::Waiting, "a task was sent twice");
                    *task = TaskModel::Sent;
                }
                None
            }
            Event::NotStarted(index) if tasks[usize::from(*index)] == TaskModel::Sent => {
                tasks[usize::from(*index)] = TaskModel::Waiting;
                progress.record_not_started(TaskIndex(*index))
            }
            Event::Answer(index) => {
                if tasks[usize::from(*index)] == TaskModel::Sent {
                    tasks[usize::from(*index)] = TaskModel::Ended;
                    answered += 1;
                }
                progress.record_answer(TaskIndex(*index), answer())
            }
            Event::Fault(index) if tasks[usize::from(*index)] == TaskModel::Sent => {
                tasks[usize::from(*index)] = TaskModel::Ended;
                progress.record_fault(TaskIndex(*index), TaskFault::AnswerLost)
            }
            Event::NotStarted(_) | Event::Fault(_) => None,
            Event::Stop => progress.end_early(refusal()),
        };
        let Some(outcome) = outcome else { continue };
        assert!(!has_outcome, "the job has two outcomes");
        has_outcome = true;
        match outcome {
            Outcome::Complete { answers } => {
                assert_eq!((answers.len(), answered), (TASKS.into(), TASKS));
            }
            Outcome::Failed { failures } => assert!(!failures.is_empty()),
            Outcome::NotRun(_) => assert!(tasks.iter().all(|task| *task == TaskModel::Waiting)),
            other => panic!("{other:?} is not an outcome of a job"),
        }
    }
}

#[test]
fn random_orders_yield_one_correct_outcome() {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let events = prop::collection::vec(event(), 1..40);
    runner
        .run(&events, |events| {
            check_order(&events);
            Ok(())
        })
        .unwrap();
}

#[test]
fn missed_start_deadline_does_not_stop_a_started_job() {
    let mut progress = JobProgress::new(2, 0);
    let attempt = progress.start_next_attempt().unwrap();
    assert!(progress.refuse_if_unstarted(refusal()).is_none());
    assert!(progress.record_answer(attempt.task, answer()).is_none());
    assert!(progress.start_next_attempt().is_some());
}

#[test]
fn answer_after_the_outcome_is_ignored() {
    let mut progress = JobProgress::new(1, 0);
    let attempt = progress.start_next_attempt().unwrap();
    assert!(progress.record_answer(attempt.task, answer()).is_some());
    assert!(progress.record_answer(attempt.task, answer()).is_none());
    assert!(progress.record_not_started(attempt.task).is_none());
}
