//! Random interleavings of duplicate, late, lost and reordered messages, restarts at the same
//! address and handoffs, run against the session state machines.
//!
//! The checker keeps its own record of the jobs that were started and the answers that were
//! given.

use ggb_model::{HomeId, Incarnation, Outcome, OutcomeKind, RefusalReason, Sequence, SessionId};
use ggb_session::{
    CancelDecision, EncodedOutcome, SealedTable, SessionLimits, SessionTable, SubmissionStatus,
    SubmitDecision,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

const CASES: u32 = 20_000;
const MAX_STEPS: usize = 80;

#[derive(Clone, Debug)]
enum Event {
    Open,
    /// A copy of a submission arrives, perhaps late.
    Submit {
        session: usize,
        sequence: u64,
        body: u8,
    },
    Finish {
        running: usize,
    },
    Cancel {
        session: usize,
        sequence: u64,
    },
    Acknowledge {
        session: usize,
        below: u64,
    },
    /// Asks the sealed table of this index, or the home if there is none.
    Query {
        session: usize,
        sequence: u64,
        sealed_index: usize,
    },
    /// The home crashes, and a new process starts at its address.
    Restart,
    /// The home drains; its sealed table is kept whole, and also merged from chunks that each
    /// arrive twice.
    Drain,
    Evict {
        after_ms: u64,
    },
}

fn event() -> impl Strategy<Value = Event> {
    let (session, sequence) = (0..4_usize, 0..6_u64);
    prop_oneof![
        1 => Just(Event::Open),
        8 => (session.clone(), sequence.clone(), 0..2_u8)
            .prop_map(|(session, sequence, body)| Event::Submit { session, sequence, body }),
        4 => (0..8_usize).prop_map(|running| Event::Finish { running }),
        2 => (session.clone(), sequence.clone())
            .prop_map(|(session, sequence)| Event::Cancel { session, sequence }),
        1 => (session.clone(), sequence.clone())
            .prop_map(|(session, below)| Event::Acknowledge { session, below }),
        4 => (session, sequence, 0..3_usize)
            .prop_map(|(session, sequence, sealed_index)| {
                Event::Query { session, sequence, sealed_index }
            }),
        1 => Just(Event::Restart),
        1 => Just(Event::Drain),
        1 => (0..20_u64).prop_map(|after_ms| Event::Evict { after_ms }),
    ]
}

type SubmissionKey = (SessionId, u64);

/// The home, the sealed tables of earlier homes, and the record of the checker.
struct Simulation {
    table: Option<SessionTable>,
    sealed_tables: Vec<SealedTable>,
    sessions: Vec<SessionId>,
    running: Vec<SubmissionKey>,
    incarnation: u64,
    now_ms: u64,
    started: Vec<SubmissionKey>,
    not_run: Vec<SubmissionKey>,
    answers_given: Vec<(SubmissionKey, EncodedOutcome)>,
}

impl Simulation {
    fn new() -> Self {
        let mut simulation = Simulation {
            table: None,
            sealed_tables: Vec::new(),
            sessions: Vec::new(),
            running: Vec::new(),
            incarnation: 0,
            now_ms: 0,
            started: Vec::new(),
            not_run: Vec::new(),
            answers_given: Vec::new(),
        };
        simulation.start_home();
        simulation.apply(&Event::Open);
        simulation
    }

    fn start_home(&mut self) {
        self.incarnation += 1;
        let addr = ([127, 0, 0, 1], 7_101).into();
        let home = HomeId::new(addr, Incarnation(self.incarnation));
        let limits = SessionLimits {
            max_window: 4,
            max_running_jobs: 3,
            session_idle_timeout_ms: 15,
            ..SessionLimits::default()
        };
        self.table = Some(SessionTable::new(home, limits));
        self.running.clear();
    }

    fn session(&self, index: usize) -> Option<SessionId> {
        self.sessions.get(index % self.sessions.len().max(1)).copied()
    }

    fn apply(&mut self, event: &Event) {
        self.now_ms += 1;
        match *event {
            Event::Open => self.open(),
            Event::Submit { session, sequence, body } => self.submit(session, sequence, body),
            Event::Finish { running } => self.finish(running),
            Event::Cancel { session, sequence } => self.cancel(session, sequence),
            Event::Acknowledge { session, below } => {
                if let (Some(id), Some(table)) = (self.session(session), &mut self.table) {
                    table.acknowledge(&id, Sequence(below), self.now_ms);
                }
            }
            Event::Query { session, sequence, sealed_index } => {
                self.look_up(session, sequence, sealed_index)
            }
            Event::Restart => self.start_home(),
            Event::Drain => self.drain(),
            Event::Evict { after_ms } => {
                self.now_ms += after_ms;
                if let Some(table) = &mut self.table {
                    table.evict_idle(self.now_ms);
                }
            }
        }
    }

    fn open(&mut self) {
        let Some(table) = &mut self.table else { return };
        if let Ok(id) = table.open(7, self.now_ms) {
            self.sessions.push(id);
        }
    }

    fn submit(&mut self, session: usize, sequence: u64, body: u8) {
        let (Some(id), Some(table)) = (self.session(session), &mut self.table) else { return };
        match table.submit(&id, Sequence(sequence), &[body], self.now_ms) {
            SubmitDecision::New => self.start((id, sequence)),
            SubmitDecision::Finished(answer) => self.record_answer((id, sequence), answer),
            _ => {}
        }
    }

    fn start(&mut self, key: SubmissionKey) {
        assert!(!self.started.contains(&key), "{key:?} was started twice");
        assert!(!self.not_run.contains(&key), "{key:?} was refused, and started");
        self.started.push(key);
        self.running.push(key);
    }

    fn finish(&mut self, index: usize) {
        if self.running.is_empty() {
            return;
        }
        let (id, sequence) = self.running.remove(index % self.running.len());
        let answer = EncodedOutcome::new(&Outcome::Complete { answers: Vec::new() });
        if let Some(table) = &mut self.table {
            table.finish(&id, Sequence(sequence), answer, self.now_ms);
        }
    }

    fn cancel(&mut self, session: usize, sequence: u64) {
        let (Some(id), Some(table)) = (self.session(session), &mut self.table) else { return };
        if let CancelDecision::Finished(answer) = table.cancel(&id, Sequence(sequence), self.now_ms)
        {
            self.record_answer((id, sequence), answer);
        }
    }

    fn look_up(&mut self, session: usize, sequence: u64, sealed_index: usize) {
        let Some(id) = self.session(session) else { return };
        let status = match self.sealed_tables.get(sealed_index) {
            Some(sealed) => sealed.lookup(&id, Sequence(sequence)),
            None => match &mut self.table {
                Some(table) => table.lookup(&id, Sequence(sequence), self.now_ms),
                None => return,
            },
        };
        if let SubmissionStatus::Finished(answer) = status {
            self.record_answer((id, sequence), answer);
        }
    }

    /// Records and checks an answer given to a caller.
    fn record_answer(&mut self, key: SubmissionKey, answer: EncodedOutcome) {
        if answer.kind() == OutcomeKind::NotRun {
            assert!(!self.started.contains(&key), "{key:?} was started, and refused");
            self.not_run.push(key);
        }
        let previous = self.answers_given.iter().find(|(recorded, _)| *recorded == key);
        assert!(
            previous.is_none_or(|(_, recorded)| *recorded == answer),
            "{key:?} got two different answers"
        );
        self.answers_given.push((key, answer));
    }

    fn drain(&mut self) {
        let Some(mut table) = self.table.take() else { return };
        table.start_draining();
        for (id, sequence) in std::mem::take(&mut self.running) {
            let answer = EncodedOutcome::new(&Outcome::not_run(RefusalReason::Cancelled));
            let failed = EncodedOutcome::from_encoded(OutcomeKind::Failed, answer.as_str());
            table.finish(&id, Sequence(sequence), failed, self.now_ms);
        }
        let sealed = table.seal();
        let mut merged = SealedTable::empty(sealed.home());
        for chunk in sealed.clone().into_chunks(64) {
            merged.merge(chunk.clone());
            merged.merge(chunk);
        }
        assert_eq!(merged, sealed);
        self.sealed_tables.extend([sealed, merged]);
        self.start_home();
    }
}

#[test]
fn random_interleavings_keep_at_most_once_start_and_stable_answers() {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let events = prop::collection::vec(event(), 1..MAX_STEPS);
    runner
        .run(&events, |events| {
            let mut simulation = Simulation::new();
            events.iter().for_each(|event| simulation.apply(event));
            Ok(())
        })
        .unwrap();
}

/// A home that forgets a submission starts it again; the checker must detect this.
#[test]
#[should_panic(expected = "was started twice")]
fn checker_detects_a_second_start() {
    let mut simulation = Simulation::new();
    let key = (simulation.sessions[0], 0);
    simulation.start(key);
    simulation.start(key);
}

/// A home that answers "not run" for a started job must be detected by the checker.
#[test]
#[should_panic(expected = "was started, and refused")]
fn checker_detects_not_run_for_a_started_job() {
    let mut simulation = Simulation::new();
    let key = (simulation.sessions[0], 0);
    simulation.start(key);
    simulation
        .record_answer(key, EncodedOutcome::new(&Outcome::not_run(RefusalReason::Overloaded)));
}
