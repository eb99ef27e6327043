//! Whether the jobs that are displaced cost least among those that could have given way.

#[allow(dead_code, unused_imports, unused_macros, reason = "the other tests use the rest")]
mod harness;

use std::{fmt, sync::Mutex};

use ggb_telemetry::tracing::{
    self,
    field::{Field, Visit},
};
use harness::*;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use tracing_subscriber::{
    Layer,
    layer::{Context, SubscriberExt as _},
    util::SubscriberInitExt as _,
};

/// Time constant of the decay of recent work.
const DECAY_MS: f64 = 2_000.0;

/// Smallest share of recent work with which a cost is computed.
const MIN_SHARE: f64 = 0.05;

/// Names and values of the fields of an event.
type Fields = Vec<(&'static str, String)>;

/// Logged decisions to displace a job.
#[derive(Clone, Default)]
struct LoggedDecisions(Arc<Mutex<Vec<Fields>>>);

struct FieldVisitor(Fields);

impl Visit for FieldVisitor {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        self.0.push((field.name(), format!("{value:?}")));
    }
}

impl<S: tracing::Subscriber> Layer<S> for LoggedDecisions {
    fn on_event(&self, event: &tracing::Event<'_>, _: Context<'_, S>) {
        let mut visitor = FieldVisitor(Vec::new());
        event.record(&mut visitor);
        if visitor.0.contains(&("name", "\"JobDisplaced\"".to_owned())) {
            self.0.lock().expect("no test panics while it holds the lock").push(visitor.0);
        }
    }
}

/// Returns the value of a field of a logged decision.
fn field<'a>(decision: &'a [(&str, String)], name: &str) -> &'a str {
    let found = decision.iter().find(|(other, _)| *other == name);
    &found.expect("the event has all fields").1
}

/// A waiting job as the property test knows it.
#[derive(Clone)]
struct Waiting {
    id: JobId,
    request: u64,
    queue: usize,
    received_at_ms: u64,
    work: f64,
    is_started: bool,
}

impl Waiting {
    /// Returns the place in the queue, where the index of a queue is its priority.
    fn place(&self) -> (usize, u64, JobId) {
        (self.queue, self.received_at_ms, self.id)
    }
}

/// The inputs of the decisions, as the rule in `docs/design/overload.md` defines them.
#[derive(Default)]
struct PlanModel {
    waiting: Vec<Waiting>,
    /// Queue, work and start time of each task.
    starts: Vec<(usize, f64, u64)>,
    /// Target, run and time of the end of each task that runs.
    runs: Vec<(usize, Run, u64)>,
    decisions: LoggedDecisions,
    displaced: usize,
}

impl PlanModel {
    /// Returns the cost per unit of work of each queue.
    fn costs(&self, now_ms: u64) -> [f64; 3] {
        let mut sums = [0.0; 3];
        for (queue, work, at_ms) in &self.starts {
            sums[*queue] += work * (-((now_ms - at_ms) as f64) / DECAY_MS).exp();
        }
        for waiting in &self.waiting {
            sums[waiting.queue] += waiting.work;
        }
        let total: f64 = sums.iter().sum();
        let cost = |queue: usize| 1.0 / (1 + queue) as f64 / (sums[queue] / total).max(MIN_SHARE);
        [cost(0), cost(1), cost(2)]
    }

    /// Applies starts and refusals in the order in which they were decided, and checks the latter.
    fn apply_actions(&mut self, harness: &mut Harness) {
        let now_ms = harness.now_ms;
        let decisions = std::mem::take(&mut *self.decisions.0.lock().expect("the lock is free"));
        let mut decisions = decisions.iter();
        let mut costs: Option<[f64; 3]> = None;
        for action in harness.take_actions() {
            match action {
                Action::Start { target, run, expected_ms, .. } => {
                    let index = self.waiting.iter().position(|job| job.id == run.task.job);
                    let job = &mut self.waiting[index.expect("only waiting jobs start")];
                    let work = (14_000 * expected_ms) as f64;
                    job.is_started = true;
                    job.work -= work;
                    self.starts.push((job.queue, work, now_ms));
                    let target = target[2..].parse().expect("ids are `t-` and a number");
                    self.runs.push((target, run, now_ms + 100));
                }
                Action::Answer { request, answer: JobAnswer::Refused { reason, .. } } => {
                    let index = self.waiting.iter().position(|job| job.request == request.0);
                    let index = index.expect("only waiting jobs are refused");
                    let id = self.waiting[index].id;
                    match decisions.clone().next().filter(|next| field(next, "job") == id.as_str())
                    {
                        Some(decision) => {
                            decisions.next();
                            let costs = *costs.get_or_insert_with(|| self.costs(now_ms));
                            let job = self.waiting.remove(index);
                            self.check_decision(decision, &job, &costs);
                            self.displaced += 1;
                        }
                        None => {
                            assert_ne!(reason, RefusalReason::Displaced, "{id} has no event");
                            self.waiting.remove(index);
                        }
                    }
                }
                Action::Answer { request, answer: JobAnswer::GivenUp } => {
                    self.waiting.retain(|job| job.request != request.0);
                }
                _ => {}
            }
        }
        self.waiting.retain(|job| job.work > 0.0);
    }

    /// Panics if a job was displaced that cost more than others that could have given way.
    fn check_decision(&self, decision: &[(&str, String)], job: &Waiting, costs: &[f64; 3]) {
        let number =
            |name: &str| field(decision, name).parse::<f64>().expect("the field is a number");
        let cost = |job: &Waiting| costs[job.queue];
        let total_cost = |job: &Waiting| cost(job) * job.work;
        let id = job.id;
        assert!(!job.is_started, "{id} was started and then displaced");
        // The event has the cost of a core for a ms.
        let logged = number("cost");
        assert!((logged / cost(job) - 1.0).abs() < 1e-6, "{id} cost {logged}, not {}", cost(job));
        let may_be_shed = self.waiting.iter().filter(|other| !other.is_started);
        let mut cheaper: Vec<&Waiting> =
            may_be_shed.filter(|other| cost(other) < cost(job) * (1.0 - 1e-9)).collect();
        cheaper.sort_by(|one, other| {
            let by_cost = cost(one).total_cmp(&cost(other));
            by_cost.then_with(|| other.place().cmp(&one.place()))
        });
        if field(decision, "late") == id.as_str() {
            let excess_work = number("excess_cpu_ms") * 1_000.0;
            let ahead = cheaper.iter().filter(|other| other.place() < job.place());
            let (mut freed_work, mut freed_cost) = (0.0, 0.0);
            for other in ahead {
                freed_work += other.work;
                freed_cost += total_cost(other);
                assert!(
                    freed_work <= excess_work || freed_cost >= total_cost(job) * (1.0 - 1e-9),
                    "{id} was displaced, not jobs up to {} that cost {freed_cost}: {decision:?}",
                    other.id
                );
            }
            return;
        }
        let late = self.waiting.iter().find(|other| other.id.as_str() == field(decision, "late"));
        let late = late.expect("the late job waits");
        assert!(cost(late) >= cost(job), "{id} was displaced, not the late {}", late.id);
        let cheaper = cheaper.iter().find(|other| other.place() <= late.place());
        let cheaper = cheaper.map(|other| other.id);
        assert_eq!(cheaper, None, "{id} was displaced: {costs:?}, {decision:?}");
        let equal =
            self.waiting.iter().filter(|other| !other.is_started && other.queue == job.queue);
        for other in equal.filter(|other| other.place() <= late.place()) {
            assert!(other.place() < job.place(), "{id} was displaced, not the later {}", other.id);
        }
    }
}

/// Jobs of three priorities arrive in seeded bursts. Guards against a plan that sheds a job although
/// cheaper ones ahead of the late job could have given way.
#[test]
fn displaced_jobs_cost_least_among_those_that_could_give_way() {
    let mut displaced = 0;
    let decisions = LoggedDecisions::default();
    // Whether an event is enabled is known to the whole process, so that other tests with events have
    // files of their own.
    let subscriber = tracing_subscriber::registry().with(decisions.clone());
    subscriber.try_init().expect("no other test of this file sets a subscriber");
    for seed in 0..40 {
        let mut model = PlanModel { decisions: decisions.clone(), ..PlanModel::default() };
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut harness = Harness::new(&[16, 16, 32, 32]);
        let mut ends = [0; 4];
        for number in 0..400 {
            let queue = match rng.random_range(0..100) {
                percent if percent < 30 + (number / 100 % 2) * 40 => 1,
                percent if percent < 85 => 0,
                _ => 2,
            };
            let tasks = rng.random_range(1..=2);
            let submission = job_of_priority(&id_of(number), queue as u8, tasks);
            model.waiting.push(Waiting {
                id: submission.job.id,
                request: number,
                queue,
                received_at_ms: harness.now_ms,
                work: f64::from(tasks) * 1_400_000.0,
                is_started: false,
            });
            harness.submit(submission);
            model.apply_actions(&mut harness);
            for _ in 0..rng.random_range(0..8) {
                let now_ms = harness.now_ms;
                match model.runs.iter().position(|(.., ends_at_ms)| *ends_at_ms <= now_ms) {
                    Some(index) => {
                        let (target, run, _) = model.runs.remove(index);
                        ends[target] += 1;
                        harness.apply_listing(target, &[], &[(ends[target], run, RunEnd::Done)]);
                    }
                    None => harness.advance(5),
                }
                model.apply_actions(&mut harness);
            }
        }
        displaced += model.displaced;
    }
    assert!(displaced > 100, "{displaced} jobs were displaced");
}
