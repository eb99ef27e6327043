//! Focused cases and random schedules of the scheduler.

use std::net::SocketAddr;

use ggb_model::{Incarnation, Priority, RefusalReason, TaskShape};
use ggb_policy::{
    Admission, Demand, Grant, JobKey, LeaseEnd, Options, RetryBudget, Scheduler, StreamId,
    TargetSpec, WorkClass, WorkKey, ZoneLoad, split,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

const STREAM: StreamId = StreamId(0);

fn target(at: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 9_000 + at))
}

fn shape(slots: u16) -> TaskShape {
    TaskShape { slots, ..TaskShape::default() }
}

/// A scheduler with its random numbers, at a time that the case sets.
struct Bench {
    scheduler: Scheduler,
    rng: ChaCha8Rng,
    now_ms: u64,
    jobs: u64,
}

impl Bench {
    fn new(targets: u16, slots: u16, options: Options) -> Self {
        let mut scheduler = Scheduler::new(options);
        for at in 0..targets {
            let capacity = TaskShape { slots, memory_mib: 1_024, accelerators: 0 };
            let spec = TargetSpec { addr: target(at), incarnation: Incarnation(1), capacity };
            scheduler.insert_target(spec, 0);
        }
        Bench { scheduler, rng: ChaCha8Rng::seed_from_u64(1), now_ms: 0, jobs: 0 }
    }

    fn demand(&mut self, team: &str, priority: Priority, count: u16) -> Demand {
        self.jobs += 1;
        Demand {
            key: JobKey { stream: STREAM, job: self.jobs },
            class: WorkClass {
                priority,
                team: team.parse().expect("the name is valid"),
                team_weight: 1,
                quota_slots: 1_000,
                quota_queued_tasks: 1_000,
                work: WorkKey(self.jobs),
                declared_ms: Some(100),
            },
            shape: shape(1),
            count,
            start_within_ms: 60_000,
        }
    }

    fn offer(&mut self, team: &str, priority: Priority, count: u16) -> u64 {
        let demand = self.demand(team, priority, count);
        let job = demand.key.job;
        assert_eq!(self.scheduler.offer(demand, self.now_ms), Admission::Accepted);
        job
    }

    fn assign(&mut self) -> Vec<Grant> {
        let mut grants = Vec::new();
        self.scheduler.assign(self.now_ms, &mut self.rng, &mut grants);
        grants
    }

    fn end(&mut self, grant: &Grant, end: LeaseEnd) -> bool {
        let released = self.scheduler.release(STREAM, grant.lease, end, self.now_ms);
        released.is_some_and(|released| released.ejected)
    }
}

fn no_reserve() -> Options {
    Options { short_share: 0.0, urgent_share: 0.0, ..Options::default() }
}

macro_rules! cases {
    ($($(#[doc = $doc:literal])+ $name:ident => $body:expr;)+) => {
        $($(#[doc = $doc])+ #[test] fn $name() { $body })+
    };
}

cases! {
    /// Urgent work goes before work that came earlier.
    urgent_first => {
        let mut bench = Bench::new(1, 1, no_reserve());
        bench.offer("a", Priority::Standard, 1);
        let urgent = bench.offer("b", Priority::Urgent, 1);
        assert_eq!(bench.assign()[0].key.job, urgent);
    };

    /// A team that floods does not starve another of its share.
    flood_is_shared => {
        let mut bench = Bench::new(1, 1, no_reserve());
        let flood: Vec<_> = (0..100).map(|_| bench.offer("flood", Priority::Standard, 1)).collect();
        let mut other = 0;
        for _ in 0..10 {
            bench.offer("small", Priority::Standard, 1);
        }
        for _ in 0..20 {
            let grants = bench.assign();
            other += usize::from(!flood.contains(&grants[0].key.job));
            bench.now_ms += 100;
            bench.end(&grants[0], LeaseEnd::Done { run_ms: 100 });
        }
        assert_eq!(other, 10);
    };

    /// A team never holds more slots than its quota.
    quota_of_slots => {
        let mut bench = Bench::new(1, 8, no_reserve());
        let mut demand = bench.demand("a", Priority::Urgent, 8);
        demand.class.quota_slots = 3;
        bench.scheduler.offer(demand, 0);
        assert_eq!(bench.assign().len(), 3);
    };

    /// Work that is learned to be short goes before work that only claims to be.
    learned_run_time_beats_declared => {
        let mut bench = Bench::new(1, 1, no_reserve());
        for (work, run_ms) in [(501, 5_000), (502, 50)] {
            for _ in 0..30 {
                let mut demand = bench.demand("a", Priority::Standard, 1);
                demand.class.work = WorkKey(work);
                bench.scheduler.offer(demand, bench.now_ms);
                let grants = bench.assign();
                bench.end(&grants[0], LeaseEnd::Done { run_ms });
            }
        }
        let mut liar = bench.demand("a", Priority::Standard, 1);
        (liar.class.work, liar.class.declared_ms) = (WorkKey(501), Some(10));
        let mut honest = bench.demand("a", Priority::Standard, 1);
        (honest.class.work, honest.class.declared_ms) = (WorkKey(502), Some(500));
        let wanted = honest.key.job;
        bench.scheduler.offer(liar, bench.now_ms);
        bench.scheduler.offer(honest, bench.now_ms);
        assert_eq!(bench.assign()[0].key.job, wanted);
    };

    /// Long work leaves the short share alone, also when nothing short waits.
    long_work_is_kept_out => {
        let options = Options { short_share: 0.25, urgent_share: 0.0, ..Options::default() };
        let mut bench = Bench::new(1, 8, options);
        let mut demand = bench.demand("a", Priority::Standard, 8);
        demand.class.declared_ms = Some(60_000);
        bench.scheduler.offer(demand, 0);
        assert_eq!(bench.assign().len(), 6);
    };

    /// A task that outruns its class counts as long from then on.
    outrun_class_counts_as_long => {
        let options = Options { short_share: 0.5, urgent_share: 0.0, ..Options::default() };
        let mut bench = Bench::new(1, 4, options);
        bench.offer("a", Priority::Standard, 2);
        assert_eq!(bench.assign().len(), 2);
        bench.now_ms = 10_000;
        bench.scheduler.refresh(bench.now_ms);
        let mut demand = bench.demand("a", Priority::Standard, 2);
        demand.class.declared_ms = Some(60_000);
        bench.scheduler.offer(demand, bench.now_ms);
        assert_eq!(bench.assign().len(), 0);
    };

    /// What fits no target is refused for good, also while all targets are busy.
    never_fits => {
        let mut bench = Bench::new(2, 4, no_reserve());
        let mut demand = bench.demand("a", Priority::Standard, 1);
        demand.shape = shape(5);
        let Admission::Refused(refusal) = bench.scheduler.offer(demand, 0) else { panic!() };
        assert_eq!((refusal.reason, refusal.retry_after_ms), (RefusalReason::NeverFits, None));
    };

    /// A start that can't be made in time is refused with an honest hint.
    unreachable_deadline => {
        let mut bench = Bench::new(1, 1, no_reserve());
        for _ in 0..50 {
            bench.offer("a", Priority::Standard, 1);
        }
        let mut demand = bench.demand("a", Priority::Standard, 1);
        demand.start_within_ms = 1_000;
        let Admission::Refused(refusal) = bench.scheduler.offer(demand, 0) else { panic!() };
        assert_eq!(refusal.reason, RefusalReason::DeadlineUnreachable);
        assert!(refusal.retry_after_ms > Some(1_000));
    };

    /// A wide task does not hold up narrow ones behind it.
    wide_task_does_not_block => {
        let mut bench = Bench::new(2, 4, no_reserve());
        bench.offer("a", Priority::Standard, 2);
        assert_eq!(bench.assign().len(), 2);
        let mut wide = bench.demand("a", Priority::Standard, 2);
        wide.shape = shape(4);
        bench.scheduler.offer(wide, 0);
        let narrow = bench.offer("a", Priority::Standard, 1);
        assert!(bench.assign().iter().any(|grant| grant.key.job == narrow));
    };

    /// A wide task gets its turn though narrow ones keep coming.
    wide_task_is_not_starved => {
        let mut bench = Bench::new(2, 4, no_reserve());
        bench.offer("a", Priority::Standard, 8);
        let mut held = bench.assign();
        let mut wide = bench.demand("a", Priority::Standard, 1);
        wide.shape = shape(4);
        let wanted = wide.key.job;
        bench.scheduler.offer(wide, 0);
        for _ in 0..40 {
            bench.now_ms += 100;
            bench.offer("b", Priority::Standard, 1);
            let grant = held.remove(0);
            bench.end(&grant, LeaseEnd::Done { run_ms: 100 });
            held.extend(bench.assign());
            if held.iter().any(|grant| grant.key.job == wanted) {
                return;
            }
        }
        panic!("the wide task waits for ever");
    };

    /// A target that fails what it starts is ejected, and probed with one task.
    failing_target_is_ejected => {
        let mut bench = Bench::new(4, 2, no_reserve());
        let mut ejected = false;
        while !ejected {
            bench.offer("a", Priority::Standard, 1);
            let grant = bench.assign()[0];
            bench.now_ms += 10;
            let end = match grant.target == target(0) {
                true => LeaseEnd::Failed,
                false => LeaseEnd::Done { run_ms: 10 },
            };
            ejected = bench.end(&grant, end);
        }
        bench.offer("a", Priority::Standard, 8);
        let grants = bench.assign();
        assert_eq!(grants.len(), 6);
        assert!(grants.iter().all(|grant| grant.target != target(0)));
        bench.now_ms += 60_000;
        bench.scheduler.refresh(bench.now_ms);
        let probes = bench.assign();
        assert_eq!(probes.iter().filter(|grant| grant.target == target(0)).count(), 1);
    };

    /// Work that fails everywhere takes no target out.
    bad_work_ejects_nothing => {
        let mut bench = Bench::new(4, 2, no_reserve());
        for _ in 0..200 {
            bench.offer("a", Priority::Standard, 1);
            let grant = bench.assign()[0];
            bench.now_ms += 1;
            bench.end(&grant, LeaseEnd::Failed);
        }
        assert!(bench.scheduler.stats().ejected <= 1);
    };

    /// A disconnected home's leases and waiting tasks are gone.
    disconnected_home_frees_all => {
        let mut bench = Bench::new(1, 4, no_reserve());
        bench.offer("a", Priority::Standard, 10);
        assert_eq!(bench.assign().len(), 4);
        bench.scheduler.disconnect(STREAM, 1);
        let stats = bench.scheduler.stats();
        assert_eq!((stats.used_slots, stats.queued_tasks, stats.leases), (0, 0, 0));
    };

    /// A job is split so that each task starts as early as it can.
    split_prefers_the_earliest_start => {
        let near = ZoneLoad { slots: 10, free: 4, queued_tasks: 0, mean_run_ms: 100, latency_us: 0 };
        let far = ZoneLoad { free: 10, latency_us: 6_000, ..near };
        assert_eq!(split(8, &[near, far]), vec![4, 4]);
        let nothing = ZoneLoad { slots: 0, ..near };
        assert_eq!(split(3, &[nothing]), vec![0]);
    };

    /// Retries are a share of first tries.
    retry_budget_is_bounded => {
        let mut budget = RetryBudget::new(100, 2);
        assert!(budget.spend() && budget.spend() && !budget.spend());
        (0..10).for_each(|_| budget.earn());
        assert!(budget.spend() && !budget.spend());
    };
}

#[derive(Clone, Debug)]
enum Event {
    Offer { urgent: bool, count: u16, slots: u16 },
    End { lease: usize, end: u8 },
    Leave(u16),
    Wait(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (any::<bool>(), 1..6_u16, 1..3_u16)
            .prop_map(|(urgent, count, slots)| Event::Offer { urgent, count, slots }),
        8 => (0..32_usize, 0..6_u8).prop_map(|(lease, end)| Event::End { lease, end }),
        1 => (0..3_u16).prop_map(Event::Leave),
        2 => (1..5_000_u64).prop_map(Event::Wait),
    ]
}

fn check(events: &[Event]) {
    let mut bench = Bench::new(3, 4, Options::default());
    let mut held: Vec<(Grant, u16)> = Vec::new();
    let mut slots_of = vec![0; 1];
    let mut leaving = Vec::new();
    for event in events {
        match *event {
            Event::Offer { urgent, count, slots } => {
                let priority = if urgent { Priority::Urgent } else { Priority::Standard };
                let mut demand = bench.demand("a", priority, count);
                demand.shape = shape(slots);
                slots_of.push(slots);
                bench.scheduler.offer(demand, bench.now_ms);
            }
            Event::End { lease, end } if !held.is_empty() => {
                let (grant, _) = held.swap_remove(lease % held.len());
                let end = [
                    LeaseEnd::Done { run_ms: 50 },
                    LeaseEnd::Failed,
                    LeaseEnd::DeniedFull,
                    LeaseEnd::Unreachable,
                    LeaseEnd::Lost,
                    LeaseEnd::Unused,
                ][usize::from(end)];
                bench.end(&grant, end);
                // A second release of the same lease changes nothing.
                let before = bench.scheduler.stats();
                bench.end(&grant, LeaseEnd::Unused);
                assert_eq!(bench.scheduler.stats(), before);
            }
            Event::End { .. } => {}
            Event::Leave(at) => {
                bench.scheduler.target_leaving(target(at), bench.now_ms);
                leaving.push(target(at));
            }
            Event::Wait(ms) => {
                bench.now_ms += ms;
                bench.scheduler.refresh(bench.now_ms);
            }
        }
        for grant in bench.assign() {
            assert!(!leaving.contains(&grant.target), "a leaving target got new work");
            held.push((grant, slots_of[grant.key.job as usize]));
        }
        for at in 0..3 {
            let used: u16 =
                held.iter().filter(|(g, _)| g.target == target(at)).map(|(_, s)| s).sum();
            assert!(used <= 4, "a target holds {used} of 4 slots");
        }
        let used: u32 = held.iter().map(|(_, slots)| u32::from(*slots)).sum();
        assert_eq!(bench.scheduler.stats().used_slots, used);
    }
}

#[test]
fn slots_are_never_overbooked_over_random_schedules() {
    let config = Config { cases: 3_000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    runner
        .run(&prop::collection::vec(event(), 1..60), |events| {
            check(&events);
            Ok(())
        })
        .unwrap();
}
