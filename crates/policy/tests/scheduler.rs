//! Unit tests and random schedules of the scheduler.

use std::net::SocketAddr;

use ggb_model::{Incarnation, Priority, RefusalReason, TaskShape};
use ggb_policy::{
    Admission, Demand, Grant, LeaseEnd, PartKey, RetryBudget, Scheduler, SchedulerOptions,
    StreamId, TargetSpec, WorkClass, WorkloadKey, ZoneLoad, split_across_zones,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

const STREAM: StreamId = StreamId(0);

fn target(index: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 9_000 + index))
}

fn shape(slots: u16) -> TaskShape {
    TaskShape { slots, ..TaskShape::default() }
}

/// A scheduler with a seeded random number generator and a clock that the test sets.
struct SchedulerFixture {
    scheduler: Scheduler,
    rng: ChaCha8Rng,
    now_ms: u64,
    jobs: u64,
}

impl SchedulerFixture {
    fn new(targets: u16, slots: u16, options: SchedulerOptions) -> Self {
        let mut scheduler = Scheduler::new(options);
        for index in 0..targets {
            let capacity = TaskShape { slots, memory_mib: 1_024, accelerators: 0 };
            let spec = TargetSpec { addr: target(index), incarnation: Incarnation(1), capacity };
            scheduler.insert_target(spec, 0);
        }
        SchedulerFixture { scheduler, rng: ChaCha8Rng::seed_from_u64(1), now_ms: 0, jobs: 0 }
    }

    fn demand(&mut self, team: &str, priority: Priority, count: u16) -> Demand {
        self.jobs += 1;
        Demand {
            key: PartKey { stream: STREAM, job: self.jobs },
            class: WorkClass {
                priority,
                team: team.parse().expect("the team name is valid"),
                team_weight: 1,
                quota_slots: 1_000,
                quota_queued_tasks: 1_000,
                workload: WorkloadKey(self.jobs),
                declared_run_ms: Some(100),
            },
            shape: shape(1),
            count,
            start_within_ms: 60_000,
        }
    }

    fn admit(&mut self, team: &str, priority: Priority, count: u16) -> u64 {
        let demand = self.demand(team, priority, count);
        let job = demand.key.job;
        assert_eq!(self.scheduler.admit(demand, self.now_ms), Admission::Accepted);
        job
    }

    fn assign(&mut self) -> Vec<Grant> {
        let mut grants = Vec::new();
        self.scheduler.assign(self.now_ms, &mut self.rng, &mut grants);
        grants
    }

    fn release(&mut self, grant: &Grant, end: LeaseEnd) -> bool {
        let released = self.scheduler.release(STREAM, grant.lease, end, self.now_ms);
        released.is_some_and(|released| released.ejected)
    }
}

fn options_without_reserves() -> SchedulerOptions {
    SchedulerOptions {
        min_short_share: 0.0,
        max_urgent_reserve_share: 0.0,
        ..SchedulerOptions::default()
    }
}

macro_rules! cases {
    ($($(#[doc = $doc:literal])+ $name:ident => $body:expr;)+) => {
        $($(#[doc = $doc])+ #[test] fn $name() { $body })+
    };
}

cases! {
    /// Urgent work is served before standard work that arrived earlier.
    urgent_work_is_served_before_earlier_standard_work => {
        let mut fixture = SchedulerFixture::new(1, 1, options_without_reserves());
        fixture.admit("a", Priority::Standard, 1);
        let urgent = fixture.admit("b", Priority::Urgent, 1);
        assert_eq!(fixture.assign()[0].key.job, urgent);
    };

    /// Two teams of equal weight share a slot equally, though one queues far more jobs.
    team_with_many_queued_jobs_gets_only_its_fair_share => {
        let mut fixture = SchedulerFixture::new(1, 1, options_without_reserves());
        let flood_jobs: Vec<_> =
            (0..100).map(|_| fixture.admit("flood", Priority::Standard, 1)).collect();
        let mut small_grants = 0;
        for _ in 0..10 {
            fixture.admit("small", Priority::Standard, 1);
        }
        for _ in 0..20 {
            let grants = fixture.assign();
            small_grants += usize::from(!flood_jobs.contains(&grants[0].key.job));
            fixture.now_ms += 100;
            fixture.release(&grants[0], LeaseEnd::Done { run_ms: 100 });
        }
        assert_eq!(small_grants, 10);
    };

    /// A team is granted no more slots than its quota, though more are free.
    team_never_holds_more_slots_than_its_quota => {
        let mut fixture = SchedulerFixture::new(1, 8, options_without_reserves());
        let mut demand = fixture.demand("a", Priority::Urgent, 8);
        demand.class.quota_slots = 3;
        fixture.scheduler.admit(demand, 0);
        assert_eq!(fixture.assign().len(), 3);
    };

    /// Work with short observed run times is served before work that only declares a short one.
    observed_run_time_outweighs_declared_run_time => {
        let mut fixture = SchedulerFixture::new(1, 1, options_without_reserves());
        for (workload, run_ms) in [(501, 5_000), (502, 50)] {
            for _ in 0..30 {
                let mut demand = fixture.demand("a", Priority::Standard, 1);
                demand.class.workload = WorkloadKey(workload);
                fixture.scheduler.admit(demand, fixture.now_ms);
                let grants = fixture.assign();
                fixture.release(&grants[0], LeaseEnd::Done { run_ms });
            }
        }
        let mut long_work = fixture.demand("a", Priority::Standard, 1);
        (long_work.class.workload, long_work.class.declared_run_ms) = (WorkloadKey(501), Some(10));
        let mut short_work = fixture.demand("a", Priority::Standard, 1);
        (short_work.class.workload, short_work.class.declared_run_ms) =
            (WorkloadKey(502), Some(500));
        let wanted = short_work.key.job;
        fixture.scheduler.admit(long_work, fixture.now_ms);
        fixture.scheduler.admit(short_work, fixture.now_ms);
        assert_eq!(fixture.assign()[0].key.job, wanted);
    };

    /// Long work leaves `min_short_share` of the slots free, even if no short work is queued.
    long_work_leaves_the_short_share_free => {
        let options = SchedulerOptions {
            min_short_share: 0.25,
            max_urgent_reserve_share: 0.0,
            ..SchedulerOptions::default()
        };
        let mut fixture = SchedulerFixture::new(1, 8, options);
        let mut demand = fixture.demand("a", Priority::Standard, 8);
        demand.class.declared_run_ms = Some(60_000);
        fixture.scheduler.admit(demand, 0);
        assert_eq!(fixture.assign().len(), 6);
    };

    /// A task counts as long once it has run for `long_task_threshold_ms`.
    task_that_runs_past_the_threshold_counts_as_long => {
        let options = SchedulerOptions {
            min_short_share: 0.5,
            max_urgent_reserve_share: 0.0,
            ..SchedulerOptions::default()
        };
        let mut fixture = SchedulerFixture::new(1, 4, options);
        fixture.admit("a", Priority::Standard, 2);
        assert_eq!(fixture.assign().len(), 2);
        fixture.now_ms = 10_000;
        fixture.scheduler.refresh(fixture.now_ms);
        let mut demand = fixture.demand("a", Priority::Standard, 2);
        demand.class.declared_run_ms = Some(60_000);
        fixture.scheduler.admit(demand, fixture.now_ms);
        assert_eq!(fixture.assign().len(), 0);
    };

    /// A demand that fits on no target is refused without a retry delay, since a retry would be
    /// refused too.
    demand_larger_than_every_target_is_refused_for_good => {
        let mut fixture = SchedulerFixture::new(2, 4, options_without_reserves());
        let mut demand = fixture.demand("a", Priority::Standard, 1);
        demand.shape = shape(5);
        let Admission::Refused(refusal) = fixture.scheduler.admit(demand, 0) else {
            panic!("the demand was accepted")
        };
        assert_eq!((refusal.reason, refusal.retry_after_ms), (RefusalReason::NeverFits, None));
    };

    /// A demand whose expected wait exceeds its limit is refused, with the excess as retry delay.
    unreachable_deadline_is_refused_with_a_retry_hint => {
        let mut fixture = SchedulerFixture::new(1, 1, options_without_reserves());
        for _ in 0..50 {
            fixture.admit("a", Priority::Standard, 1);
        }
        let mut demand = fixture.demand("a", Priority::Standard, 1);
        demand.start_within_ms = 1_000;
        let Admission::Refused(refusal) = fixture.scheduler.admit(demand, 0) else {
            panic!("the demand was accepted")
        };
        assert_eq!(refusal.reason, RefusalReason::DeadlineUnreachable);
        assert!(refusal.retry_after_ms > Some(1_000));
    };

    /// A task that no target has enough free capacity for does not block a smaller one behind it.
    task_waiting_for_capacity_does_not_block_smaller_ones => {
        let mut fixture = SchedulerFixture::new(2, 4, options_without_reserves());
        fixture.admit("a", Priority::Standard, 2);
        assert_eq!(fixture.assign().len(), 2);
        let mut wide = fixture.demand("a", Priority::Standard, 2);
        wide.shape = shape(4);
        fixture.scheduler.admit(wide, 0);
        let narrow = fixture.admit("a", Priority::Standard, 1);
        assert!(fixture.assign().iter().any(|grant| grant.key.job == narrow));
    };

    /// A task that needs a whole target is granted a lease while narrow tasks keep arriving.
    wide_task_is_not_starved_by_narrow_ones => {
        let mut fixture = SchedulerFixture::new(2, 4, options_without_reserves());
        fixture.admit("a", Priority::Standard, 8);
        let mut held_leases = fixture.assign();
        let mut wide = fixture.demand("a", Priority::Standard, 1);
        wide.shape = shape(4);
        let wanted = wide.key.job;
        fixture.scheduler.admit(wide, 0);
        for _ in 0..40 {
            fixture.now_ms += 100;
            fixture.admit("b", Priority::Standard, 1);
            let grant = held_leases.remove(0);
            fixture.release(&grant, LeaseEnd::Done { run_ms: 100 });
            held_leases.extend(fixture.assign());
            if held_leases.iter().any(|grant| grant.key.job == wanted) {
                return;
            }
        }
        panic!("the wide task was starved");
    };

    /// A target whose tasks fail is ejected, and gets a single probe after the ejection.
    failing_target_is_ejected_and_then_probed => {
        let mut fixture = SchedulerFixture::new(4, 2, options_without_reserves());
        let mut ejected = false;
        while !ejected {
            fixture.admit("a", Priority::Standard, 1);
            let grant = fixture.assign()[0];
            fixture.now_ms += 10;
            let end = match grant.target == target(0) {
                true => LeaseEnd::Failed,
                false => LeaseEnd::Done { run_ms: 10 },
            };
            ejected = fixture.release(&grant, end);
        }
        fixture.admit("a", Priority::Standard, 8);
        let grants = fixture.assign();
        assert_eq!(grants.len(), 6);
        assert!(grants.iter().all(|grant| grant.target != target(0)));
        fixture.now_ms += 60_000;
        fixture.scheduler.refresh(fixture.now_ms);
        let probes = fixture.assign();
        assert_eq!(probes.iter().filter(|grant| grant.target == target(0)).count(), 1);
    };

    /// Tasks that fail on all targets alike lead to at most one ejection.
    work_that_fails_everywhere_ejects_at_most_one_target => {
        let mut fixture = SchedulerFixture::new(4, 2, options_without_reserves());
        for _ in 0..200 {
            fixture.admit("a", Priority::Standard, 1);
            let grant = fixture.assign()[0];
            fixture.now_ms += 1;
            fixture.release(&grant, LeaseEnd::Failed);
        }
        assert!(fixture.scheduler.stats().ejected_targets <= 1);
    };

    /// Removing the stream of a home frees its leases and removes its queued tasks.
    removed_stream_frees_its_leases_and_queued_tasks => {
        let mut fixture = SchedulerFixture::new(1, 4, options_without_reserves());
        fixture.admit("a", Priority::Standard, 10);
        assert_eq!(fixture.assign().len(), 4);
        fixture.scheduler.remove_stream(STREAM, 1);
        let stats = fixture.scheduler.stats();
        assert_eq!((stats.used_slots, stats.queued_tasks, stats.leases), (0, 0, 0));
    };

    /// Tasks go to the local zone until the remote one would start the next task earlier.
    split_assigns_each_task_to_the_earliest_start => {
        let local = ZoneLoad {
            total_slots: 10,
            free_slots: 4,
            queued_tasks: 0,
            mean_run_ms: 100,
            latency_us: 0,
        };
        let remote = ZoneLoad { free_slots: 10, latency_us: 6_000, ..local };
        assert_eq!(split_across_zones(8, &[local, remote]), vec![4, 4]);
        let nothing = ZoneLoad { total_slots: 0, ..local };
        assert_eq!(split_across_zones(3, &[nothing]), vec![0]);
    };

    /// The budget starts full and regains one retry for every ten first attempts.
    retry_budget_limits_retries_to_a_share_of_first_attempts => {
        let mut budget = RetryBudget::new(100, 2);
        assert!(budget.try_spend_retry() && budget.try_spend_retry() && !budget.try_spend_retry());
        (0..10).for_each(|_| budget.record_first_attempt());
        assert!(budget.try_spend_retry() && !budget.try_spend_retry());
    };
}

#[derive(Clone, Debug)]
enum Event {
    Admit { urgent: bool, count: u16, slots: u16 },
    End { lease: usize, end: u8 },
    Leave(u16),
    Wait(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (any::<bool>(), 1..6_u16, 1..3_u16)
            .prop_map(|(urgent, count, slots)| Event::Admit { urgent, count, slots }),
        8 => (0..32_usize, 0..6_u8).prop_map(|(lease, end)| Event::End { lease, end }),
        1 => (0..3_u16).prop_map(Event::Leave),
        2 => (1..5_000_u64).prop_map(Event::Wait),
    ]
}

fn check_schedule(events: &[Event]) {
    let mut fixture = SchedulerFixture::new(3, 4, SchedulerOptions::default());
    let mut held_leases: Vec<(Grant, u16)> = Vec::new();
    let mut slots_of = vec![0; 1];
    let mut leaving = Vec::new();
    for event in events {
        match *event {
            Event::Admit { urgent, count, slots } => {
                let priority = if urgent { Priority::Urgent } else { Priority::Standard };
                let mut demand = fixture.demand("a", priority, count);
                demand.shape = shape(slots);
                slots_of.push(slots);
                fixture.scheduler.admit(demand, fixture.now_ms);
            }
            Event::End { lease, end } if !held_leases.is_empty() => {
                let (grant, _) = held_leases.swap_remove(lease % held_leases.len());
                let end = [
                    LeaseEnd::Done { run_ms: 50 },
                    LeaseEnd::Failed,
                    LeaseEnd::DeniedFull,
                    LeaseEnd::Unreachable,
                    LeaseEnd::Lost,
                    LeaseEnd::Unused,
                ][usize::from(end)];
                fixture.release(&grant, end);
                // Releasing a lease again changes nothing.
                let before = fixture.scheduler.stats();
                fixture.release(&grant, LeaseEnd::Unused);
                assert_eq!(fixture.scheduler.stats(), before);
            }
            Event::End { .. } => {}
            Event::Leave(index) => {
                fixture.scheduler.mark_target_leaving(target(index), fixture.now_ms);
                leaving.push(target(index));
            }
            Event::Wait(ms) => {
                fixture.now_ms += ms;
                fixture.scheduler.refresh(fixture.now_ms);
            }
        }
        for grant in fixture.assign() {
            assert!(!leaving.contains(&grant.target), "a leaving target was granted a lease");
            held_leases.push((grant, slots_of[grant.key.job as usize]));
        }
        for index in 0..3 {
            let used: u16 =
                held_leases.iter().filter(|(g, _)| g.target == target(index)).map(|(_, s)| s).sum();
            assert!(used <= 4, "{used} of the 4 slots of a target are occupied");
        }
        let used: u32 = held_leases.iter().map(|(_, slots)| u32::from(*slots)).sum();
        assert_eq!(fixture.scheduler.stats().used_slots, used);
    }
}

#[test]
fn random_schedules_never_overbook_slots() {
    let config = Config { cases: 3_000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    runner
        .run(&prop::collection::vec(event(), 1..60), |events| {
            check_schedule(&events);
            Ok(())
        })
        .unwrap();
}
