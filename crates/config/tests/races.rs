//! Operators who race on a table that commits only what is current.

use ggb_config::{
    AUDIT_PREFIX, Change, ChangeContext, Conflict, Generation, Row, Snapshot, Transaction, Version,
    plan,
};
use ggb_model::{Profile, ProfileName, Settings};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

/// A table as the platform gives it.
#[derive(Default)]
struct Table {
    rows: Vec<Row>,
    last: u64,
}

impl Table {
    fn commit(&mut self, transaction: &Transaction) -> bool {
        let version = |key: &str| {
            self.rows.iter().find(|row| row.key == key).map_or(Version::ABSENT, |row| row.version)
        };
        if transaction.conditions.iter().any(|c| version(&c.key) != c.version) {
            return false;
        }
        for write in &transaction.writes {
            self.last += 1;
            self.rows.retain(|row| row.key != write.key);
            let (key, value) = (write.key.clone(), write.value.clone());
            self.rows.push(Row { key, value, version: Version(self.last) });
        }
        true
    }
}

fn name() -> ProfileName {
    "p".parse().expect("the name is valid")
}

fn replace(base: u64, start_within_ms: u32) -> Change {
    let settings = Settings { start_within_ms, ..Settings::default() };
    Change::Replace { name: name(), settings, base: Generation(base) }
}

fn context() -> ChangeContext {
    ChangeContext::new("test", "change", 0)
}

fn created() -> Table {
    let mut table = Table::default();
    let profile = Profile::try_new(name(), Settings::default()).expect("defaults are valid");
    let planned = plan(&[], Change::Create(profile), &context()).expect("the name is free");
    assert!(table.commit(&planned.transaction));
    table
}

#[test]
fn a_stale_change_shows_both_sides() {
    let mut table = created();
    let first = plan(&table.rows, replace(1, 111), &context()).unwrap();
    assert!(table.commit(&first.transaction));
    let Err(conflict) = plan(&table.rows, replace(1, 222), &context()) else { panic!() };
    assert!(matches!(conflict, Conflict::Stale { .. }));
    let text = conflict.to_string();
    assert!(text.contains("111") && text.contains("222"), "{text}");
}

#[test]
fn of_two_plans_on_one_base_one_commits() {
    let mut table = created();
    let first = plan(&table.rows, replace(1, 111), &context()).unwrap();
    let second = plan(&table.rows, replace(1, 222), &context()).unwrap();
    assert!(table.commit(&first.transaction));
    assert!(!table.commit(&second.transaction));
}

#[test]
fn a_snapshot_never_goes_back() {
    let mut table = created();
    let old = Snapshot::from_rows(&table.rows).unwrap();
    let planned = plan(&table.rows, replace(1, 111), &context()).unwrap();
    assert!(table.commit(&planned.transaction));
    let mut current = Snapshot::from_rows(&table.rows).unwrap();
    assert!(!current.advance(old));
    assert_eq!(current.generation(), Generation(2));
}

/// Operators plan at some time and commit at another; every commit is one generation
/// and one audit row, and no change is lost unseen.
#[test]
fn generations_count_commits_over_random_races() {
    let config = Config { cases: 500, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let moves = prop::collection::vec((0..3_usize, any::<bool>()), 1..40);
    runner
        .run(&moves, |moves| {
            let mut table = created();
            let mut planned = [const { None }; 3];
            let mut commits = 1;
            for (operator, commit) in moves {
                if commit {
                    let ready: Option<ggb_config::Planned> = planned[operator].take();
                    commits += u64::from(ready.is_some_and(|p| table.commit(&p.transaction)));
                } else {
                    let base = Snapshot::from_rows(&table.rows).unwrap().changed_in(&name());
                    let change = replace(base.unwrap().0, 100 + operator as u32);
                    planned[operator] = Some(plan(&table.rows, change, &context()).unwrap());
                }
            }
            let snapshot = Snapshot::from_rows(&table.rows).unwrap();
            prop_assert_eq!(snapshot.generation(), Generation(commits));
            let audit = table.rows.iter().filter(|row| row.key.starts_with(AUDIT_PREFIX));
            prop_assert_eq!(audit.count() as u64, commits);
            Ok(())
        })
        .unwrap();
}
