//! Compares rules for the order and the shedding of waiting jobs on the same seeded arrivals, with a
//! model of one zone. The table in `docs/design/overload.md` comes from it.

use std::{cmp::Reverse, collections::BinaryHeap};

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// Jobs per second, tasks, and run time in ms of the three kinds in a zone of the first customer.
const KINDS: [(f64, u64, u64); 3] = [(51.5, 8, 60), (150.25, 2, 200), (9.5, 4, 900)];

/// Time for which a caller waits.
const DEADLINE_MS: u64 = 2_300;

/// Share of the CPU time that tasks can use; the rest is lost to fragmentation.
const USABLE: f64 = 0.85;

const DECAY_MS: f64 = 2_000.0;

const CALM_MS: u64 = 2_000;

const END_MS: u64 = 10_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rule {
    /// Refuses arrivals that the queue ahead would delay for too long.
    RefuseArrivals,
    /// Sheds the least urgent job first.
    StrictPriority,
    /// Orders by the end of the objective; a job that can't start in time is shed.
    EarliestDeadline,
    /// Orders by the work of a job; a job that can't start in time is shed.
    ShortestWork,
    /// Sheds the job with the least weight of its priority per unit of work.
    ValuePerWork,
    /// Admits each kind up to its weighted share of the capacity while work waits.
    ReservedShares,
    /// Sheds by the weight of the priority divided by the share of recent work.
    WeightedShares,
    /// As `WeightedShares`; a task that does not fit stops a less urgent one, which starts again.
    Preemption,
}

const RULES: [Rule; 8] = [
    Rule::RefuseArrivals,
    Rule::StrictPriority,
    Rule::EarliestDeadline,
    Rule::ShortestWork,
    Rule::ValuePerWork,
    Rule::ReservedShares,
    Rule::WeightedShares,
    Rule::Preemption,
];

#[derive(Clone, Debug)]
struct Job {
    kind: usize,
    received_ms: u64,
    cpu_milli: u64,
    task_ms: u64,
    /// Tasks that have not started.
    waiting: u64,
    /// Tasks that have not ended.
    open: u64,
    has_started: bool,
    answered_ms: Option<u64>,
    refused_ms: Option<u64>,
}

impl Job {
    const fn objective_ms(&self) -> u64 {
        self.task_ms * 8 / 5 + 60
    }

    const fn limit_ms(&self) -> u64 {
        self.received_ms + self.objective_ms() * 35 / 100
    }

    fn waiting_work(&self) -> f64 {
        (self.waiting * self.cpu_milli * self.task_ms) as f64
    }

    fn is_late(&self, now_ms: u64) -> bool {
        now_ms + self.task_ms > self.received_ms + self.objective_ms()
            && self.waiting * 5 > KINDS[self.kind].1
    }
}

struct Zone {
    rule: Rule,
    free: Vec<u64>,
    /// End, target, job and number of each run.
    runs: BinaryHeap<Reverse<(u64, usize, usize, u64)>>,
    /// Numbers of the runs that were stopped.
    stopped: Vec<u64>,
    next_run: u64,
    jobs: Vec<Job>,
    queue: Vec<usize>,
    recent: [f64; 3],
    /// Work that each kind may still start, for `ReservedShares`.
    reserved: [f64; 3],
    rate: f64,
    lost_work: f64,
    done_work: f64,
}

impl Zone {
    fn new(rule: Rule) -> Self {
        let free: Vec<u64> = (0..88).map(|i| if i % 3 == 2 { 48_000 } else { 32_000 }).collect();
        let rate = free.iter().sum::<u64>() as f64 * USABLE;
        Zone {
            rule,
            free,
            runs: BinaryHeap::new(),
            stopped: Vec::new(),
            next_run: 0,
            jobs: Vec::new(),
            queue: Vec::new(),
            recent: [0.0; 3],
            reserved: [0.0; 3],
            rate,
            lost_work: 0.0,
            done_work: 0.0,
        }
    }

    fn costs(&self) -> [f64; 3] {
        let mut sums = self.recent;
        for job in &self.queue {
            sums[self.jobs[*job].kind] += self.jobs[*job].waiting_work();
        }
        let total = sums.iter().sum::<f64>().max(1.0);
        let weight = |kind: usize| 1.0 / (1 + kind) as f64;
        let cost = |kind: usize| match self.rule {
            Rule::StrictPriority => 1_000.0_f64.powi(2 - kind as i32),
            Rule::ValuePerWork => weight(kind) / (KINDS[kind].1 * KINDS[kind].2) as f64,
            _ => weight(kind) / (sums[kind] / total).max(0.05),
        };
        [cost(0), cost(1), cost(2)]
    }

    fn sort_queue(&mut self, now_ms: u64) {
        let (jobs, rule) = (&self.jobs, self.rule);
        self.queue.sort_by_key(|index| {
            let job = &jobs[*index];
            let late = match (job.is_late(now_ms), job.has_started) {
                (false, _) => 0,
                (true, true) => 1,
                (true, false) => 2,
            };
            let key = match rule {
                Rule::EarliestDeadline => job.received_ms + job.objective_ms(),
                Rule::ShortestWork => KINDS[job.kind].1 * job.task_ms,
                _ => job.kind as u64,
            };
            (late, key, job.received_ms, *index)
        });
    }

    fn refuse(&mut self, index: usize, now_ms: u64) {
        self.jobs[index].refused_ms = Some(now_ms);
        self.queue.retain(|other| *other != index);
    }

    /// Returns the rate that is left for a kind by more urgent ones.
    fn rate_for(&self, kind: usize) -> f64 {
        let taken: f64 = self.recent[..kind].iter().sum::<f64>() / DECAY_MS;
        (self.rate - taken).max(self.rate / 10.0)
    }

    fn shed(&mut self, now_ms: u64, arrivals: &[usize]) {
        let costs = self.costs();
        let only_itself = matches!(self.rule, Rule::EarliestDeadline | Rule::ShortestWork);
        let mut ahead_work = 0.0;
        let mut candidates: Vec<usize> = Vec::new();
        for index in self.queue.clone() {
            let job = &self.jobs[index];
            let (kind, work, has_started) = (job.kind, job.waiting_work(), job.has_started);
            let rate = match self.rule {
                Rule::RefuseArrivals => self.rate,
                _ => self.rate_for(kind),
            };
            let excess = ahead_work - job.limit_ms().saturating_sub(now_ms) as f64 * rate;
            let is_late = !has_started && excess > 0.0;
            let is_reserved_out = self.rule == Rule::ReservedShares
                && !has_started
                && ahead_work > 0.0
                && self.reserved[kind] < 0.0;
            match self.rule {
                Rule::RefuseArrivals if is_late && arrivals.contains(&index) => {
                    self.refuse(index, now_ms);
                    continue;
                }
                Rule::ReservedShares if is_late || is_reserved_out => {
                    self.refuse(index, now_ms);
                    continue;
                }
                Rule::RefuseArrivals | Rule::ReservedShares => {}
                _ if is_late && only_itself => {
                    self.refuse(index, now_ms);
                    continue;
                }
                _ if is_late => {
                    candidates.sort_by(|one, other| {
                        let [one, other] = [one, other].map(|index| &self.jobs[*index]);
                        let by_cost = costs[one.kind].total_cmp(&costs[other.kind]);
                        by_cost.then_with(|| other.received_ms.cmp(&one.received_ms))
                    });
                    let (mut freed, mut cost, mut victims) = (0.0, 0.0, 0);
                    for other in &candidates {
                        let other = &self.jobs[*other];
                        if freed >= excess || costs[other.kind] >= costs[kind] {
                            break;
                        }
                        freed += other.waiting_work();
                        cost += costs[other.kind] * other.waiting_work();
                        victims += 1;
                    }
                    if freed < excess || cost > costs[kind] * work {
                        self.refuse(index, now_ms);
                        continue;
                    }
                    for other in candidates.drain(..victims).collect::<Vec<_>>() {
                        self.refuse(other, now_ms);
                    }
                    ahead_work -= freed;
                }
                _ => {}
            }
            ahead_work += work;
            if !has_started {
                candidates.push(index);
            }
        }
    }

    fn place(&mut self, now_ms: u64) {
        for index in self.queue.clone() {
            while self.jobs[index].waiting > 0 {
                let (cpu_milli, kind) = (self.jobs[index].cpu_milli, self.jobs[index].kind);
                let fitting = self.free.iter().enumerate().filter(|(_, free)| **free >= cpu_milli);
                let target = fitting.min_by_key(|(_, free)| **free).map(|(target, _)| target);
                let target = match (target, self.rule) {
                    (None, Rule::Preemption) => self.preempt(kind, cpu_milli, now_ms),
                    (target, _) => target,
                };
                let Some(target) = target else { break };
                let job = &mut self.jobs[index];
                let work = (job.cpu_milli * job.task_ms) as f64;
                job.waiting -= 1;
                job.has_started = true;
                self.recent[kind] += work;
                self.reserved[kind] -= work;
                self.free[target] -= cpu_milli;
                self.runs.push(Reverse((now_ms + job.task_ms, target, index, self.next_run)));
                self.next_run += 1;
            }
        }
        let jobs = &self.jobs;
        self.queue.retain(|index| jobs[*index].waiting > 0);
    }

    /// Stops the run of a less urgent job that leaves enough capacity and has the most time left.
    fn preempt(&mut self, kind: usize, cpu_milli: u64, now_ms: u64) -> Option<usize> {
        let makes_room = |run: &&Reverse<(u64, usize, usize, u64)>| {
            let Reverse((_, target, index, number)) = run;
            let job = &self.jobs[*index];
            job.kind > kind
                && self.free[*target] + job.cpu_milli >= cpu_milli
                && !self.stopped.contains(number)
        };
        let Reverse((ends_ms, target, index, number)) =
            *self.runs.iter().filter(makes_room).max_by_key(|run| run.0.0)?;
        let job = &mut self.jobs[index];
        self.lost_work += (job.cpu_milli * (job.task_ms + now_ms - ends_ms)) as f64;
        job.waiting += 1;
        self.free[target] += job.cpu_milli;
        self.stopped.push(number);
        if !self.queue.contains(&index) {
            self.queue.push(index);
        }
        Some(target)
    }

    fn end_runs(&mut self, now_ms: u64) {
        while let Some(Reverse((ends_ms, target, index, number))) = self.runs.peek().copied() {
            if ends_ms > now_ms {
                return;
            }
            self.runs.pop();
            if let Some(position) = self.stopped.iter().position(|stopped| *stopped == number) {
                self.stopped.swap_remove(position);
                continue;
            }
            let job = &mut self.jobs[index];
            self.free[target] += job.cpu_milli;
            job.open -= 1;
            self.done_work += (job.cpu_milli * job.task_ms) as f64;
            match job.open {
                0 if now_ms <= job.received_ms + DEADLINE_MS => job.answered_ms = Some(now_ms),
                _ => {}
            }
        }
    }

    fn step(&mut self, now_ms: u64, arrivals: &[usize]) {
        self.recent.iter_mut().for_each(|work| *work *= (-1.0 / DECAY_MS).exp());
        let weights = [6.0 / 11.0, 3.0 / 11.0, 2.0 / 11.0];
        for (reserved, weight) in self.reserved.iter_mut().zip(weights) {
            *reserved = (*reserved + self.rate * weight).min(self.rate * weight * 500.0);
        }
        self.end_runs(now_ms);
        self.sort_queue(now_ms);
        self.place(now_ms);
        self.queue.extend(arrivals);
        self.sort_queue(now_ms);
        if self.queue.iter().any(|index| !arrivals.contains(index)) {
            self.shed(now_ms, arrivals);
        }
        self.place(now_ms);
        for index in self.queue.clone() {
            let job = &self.jobs[index];
            let is_too_late = now_ms + job.task_ms / 2 > job.received_ms + DEADLINE_MS;
            match job.has_started {
                false if now_ms >= job.limit_ms() => self.refuse(index, now_ms),
                true if is_too_late => {
                    let done = KINDS[job.kind].1 - job.waiting;
                    self.lost_work += (done * job.cpu_milli * job.task_ms) as f64;
                    self.queue.retain(|other| *other != index);
                }
                _ => {}
            }
        }
    }
}

/// What the callers got in one run.
struct Outcome {
    /// Shares of the jobs of each kind that were answered within their objective.
    in_time: [f64; 3],
    /// Median time to a refusal.
    refusal_ms: u64,
    /// Share of the work that was lost.
    lost: f64,
}

fn serve(rule: Rule, factors: [f64; 3], seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut zone = Zone::new(rule);
    let mut next_ms = [0.0_f64; 3];
    for now_ms in 0..END_MS + 4_000 {
        let mut arrivals = Vec::new();
        for kind in 0..3 {
            let factor = if now_ms < CALM_MS { 1.0 } else { factors[kind] };
            while now_ms < END_MS && next_ms[kind] <= now_ms as f64 {
                let (rate, tasks, task_ms) = KINDS[kind];
                next_ms[kind] -= (1.0 - rng.random::<f64>()).ln() * 1_000.0 / (rate * factor);
                arrivals.push(zone.jobs.len());
                zone.jobs.push(Job {
                    kind,
                    received_ms: now_ms,
                    cpu_milli: rng.random_range(12_800..19_200),
                    task_ms: task_ms * rng.random_range(90..=110) / 100,
                    waiting: tasks,
                    open: tasks,
                    has_started: false,
                    answered_ms: None,
                    refused_ms: None,
                });
            }
        }
        zone.step(now_ms, &arrivals);
    }
    let in_burst = || zone.jobs.iter().filter(|job| job.received_ms >= CALM_MS);
    let in_time = [0, 1, 2].map(|kind| {
        let of_kind = in_burst().filter(|job| job.kind == kind);
        let is_in_time = |job: &&Job| {
            job.answered_ms.is_some_and(|at_ms| at_ms <= job.received_ms + job.objective_ms())
        };
        of_kind.clone().filter(is_in_time).count() as f64 / of_kind.count().max(1) as f64
    });
    let mut refusal_ms: Vec<u64> =
        in_burst().filter_map(|job| job.refused_ms.map(|at_ms| at_ms - job.received_ms)).collect();
    refusal_ms.sort_unstable();
    let median_ms = refusal_ms.get(refusal_ms.len() / 2).copied().unwrap_or(0);
    let lost = zone.lost_work / (zone.lost_work + zone.done_work);
    Outcome { in_time, refusal_ms: median_ms, lost }
}

/// Prints the table and checks that no other rule serves the kinds, which weigh the same to their
/// customers, better over all bursts. Guards against a change of the rule without a new comparison.
#[test]
#[ignore = "takes 5 min and prints a table, by hand"]
fn weighted_shares_serve_the_kinds_best_over_all_bursts() {
    let mut means: Vec<(Rule, f64)> = Vec::new();
    let bursts = [[2.55; 3], [3.4; 3], [5.0, 1.0, 1.0], [1.0, 3.0, 1.0], [1.0, 1.0, 5.0]];
    for rule in RULES {
        let mut row = format!("| {rule:?} |");
        let mut sum = 0.0;
        for factors in bursts {
            let seeds = 1..=5;
            let runs: Vec<_> = seeds.map(|seed| serve(rule, factors, seed)).collect();
            let mean = |value: &dyn Fn(&Outcome) -> f64| {
                runs.iter().map(value).sum::<f64>() / runs.len() as f64
            };
            let by_kind = [0, 1, 2].map(|kind| mean(&|run| run.in_time[kind]));
            let mean_in_time = by_kind.iter().sum::<f64>() / 3.0;
            sum += mean_in_time;
            row += &format!(
                " {:.2} {:.2} {:.2}, {mean_in_time:.3}, {:.0} ms, {:.1}% |",
                by_kind[0],
                by_kind[1],
                by_kind[2],
                mean(&|run| run.refusal_ms as f64),
                100.0 * mean(&|run| run.lost)
            );
        }
        println!("{row} {:.3} |", sum / bursts.len() as f64);
        means.push((rule, sum));
    }
    let best = means.iter().max_by(|one, other| one.1.total_cmp(&other.1));
    assert_eq!(best.map(|(rule, _)| *rule), Some(Rule::WeightedShares), "{means:?}");
}
