//! Random interleavings of duplicate, late, lost and reordered messages, restarts under
//! the same address and hand-overs, over the pure state machines of sessions.
//!
//! The checker keeps its own books: what was started, and what was said of it.

use ggb_model::{HomeId, Incarnation, Outcome, OutcomeKind, RefusalReason, Sequence, SessionId};
use ggb_session::{Answer, CancelVerdict, Limits, Lookup, SealedTable, SessionTable, Verdict};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

const CASES: u32 = 20_000;
const MOST_STEPS: usize = 80;

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
    Ask {
        session: usize,
        sequence: u64,
        holder: usize,
    },
    /// The home dies, and a new process boots under its address.
    Restart,
    /// The home drains; its table goes to two holders, one of them twice.
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
            .prop_map(|(session, sequence, holder)| Event::Ask { session, sequence, holder }),
        1 => Just(Event::Restart),
        1 => Just(Event::Drain),
        1 => (0..20_u64).prop_map(|after_ms| Event::Evict { after_ms }),
    ]
}

type Key = (SessionId, u64);

/// The cluster, and the checker's own books.
struct World {
    table: Option<SessionTable>,
    holders: Vec<SealedTable>,
    sessions: Vec<SessionId>,
    running: Vec<Key>,
    incarnation: u64,
    now_ms: u64,
    started: Vec<Key>,
    refused: Vec<Key>,
    finals: Vec<(Key, Answer)>,
}

impl World {
    fn new() -> Self {
        let mut world = World {
            table: None,
            holders: Vec::new(),
            sessions: Vec::new(),
            running: Vec::new(),
            incarnation: 0,
            now_ms: 0,
            started: Vec::new(),
            refused: Vec::new(),
            finals: Vec::new(),
        };
        world.boot();
        world.apply(&Event::Open);
        world
    }

    fn boot(&mut self) {
        self.incarnation += 1;
        let addr = ([127, 0, 0, 1], 7_101).into();
        let home = HomeId::new(addr, Incarnation(self.incarnation));
        let limits = Limits { window: 4, running_jobs: 3, idle_ms: 15, ..Limits::default() };
        self.table = Some(SessionTable::new(home, limits));
        self.running.clear();
    }

    fn session(&self, at: usize) -> Option<SessionId> {
        self.sessions.get(at % self.sessions.len().max(1)).copied()
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
            Event::Ask { session, sequence, holder } => self.ask(session, sequence, holder),
            Event::Restart => self.boot(),
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
            Verdict::New => self.start((id, sequence)),
            Verdict::Finished(answer) => self.said((id, sequence), answer),
            _ => {}
        }
    }

    fn start(&mut self, key: Key) {
        assert!(!self.started.contains(&key), "{key:?} was started twice");
        assert!(!self.refused.contains(&key), "{key:?} was refused, and started");
        self.started.push(key);
        self.running.push(key);
    }

    fn finish(&mut self, at: usize) {
        if self.running.is_empty() {
            return;
        }
        let (id, sequence) = self.running.remove(at % self.running.len());
        let answer = Answer::new(&Outcome::Complete { answers: Vec::new() });
        if let Some(table) = &mut self.table {
            table.finish(&id, Sequence(sequence), answer, self.now_ms);
        }
    }

    fn cancel(&mut self, session: usize, sequence: u64) {
        let (Some(id), Some(table)) = (self.session(session), &mut self.table) else { return };
        if let CancelVerdict::Finished(answer) = table.cancel(&id, Sequence(sequence), self.now_ms)
        {
            self.said((id, sequence), answer);
        }
    }

    fn ask(&mut self, session: usize, sequence: u64, holder: usize) {
        let Some(id) = self.session(session) else { return };
        let lookup = match self.holders.get(holder) {
            Some(sealed) => sealed.lookup(&id, Sequence(sequence)),
            None => match &mut self.table {
                Some(table) => table.lookup(&id, Sequence(sequence), self.now_ms),
                None => return,
            },
        };
        if let Lookup::Finished(answer) = lookup {
            self.said((id, sequence), answer);
        }
    }

    /// Enters what a caller was told.
    fn said(&mut self, key: Key, answer: Answer) {
        if answer.kind() == OutcomeKind::NotRun {
            assert!(!self.started.contains(&key), "{key:?} was started, and refused");
            self.refused.push(key);
        }
        let earlier = self.finals.iter().find(|(own, _)| *own == key);
        assert!(earlier.is_none_or(|(_, own)| *own == answer), "{key:?} has two answers");
        self.finals.push((key, answer));
    }

    fn drain(&mut self) {
        let Some(mut table) = self.table.take() else { return };
        table.drain();
        for (id, sequence) in std::mem::take(&mut self.running) {
            let answer = Answer::new(&Outcome::not_run(RefusalReason::Cancelled));
            let failed = Answer::from_encoded(OutcomeKind::Failed, answer.as_str());
            table.finish(&id, Sequence(sequence), failed, self.now_ms);
        }
        let sealed = table.seal();
        let mut merged = SealedTable::empty(sealed.home());
        for part in sealed.clone().into_parts(64) {
            merged.merge(part.clone());
            merged.merge(part);
        }
        assert_eq!(merged, sealed);
        self.holders.extend([sealed, merged]);
        self.boot();
    }
}

#[test]
fn promises_hold_over_random_interleavings() {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let events = prop::collection::vec(event(), 1..MOST_STEPS);
    runner
        .run(&events, |events| {
            let mut world = World::new();
            events.iter().for_each(|event| world.apply(event));
            Ok(())
        })
        .unwrap();
}

/// The checker must object to a table that forgets: the naive version of a home.
#[test]
#[should_panic(expected = "was started twice")]
fn a_forgetful_home_is_seen() {
    let mut world = World::new();
    let key = (world.sessions[0], 0);
    world.start(key);
    world.start(key);
}

#[test]
#[should_panic(expected = "was started, and refused")]
fn a_false_refusal_is_seen() {
    let mut world = World::new();
    let key = (world.sessions[0], 0);
    world.start(key);
    world.said(key, Answer::new(&Outcome::not_run(RefusalReason::Overloaded)));
}
