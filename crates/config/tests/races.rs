//! Concurrent changes by several operators against a transactional table.

use ggb_config::{
    AUDIT_PREFIX, Change, ChangeContext, Generation, PlanError, Row, Snapshot, Transaction,
    Version, plan_change,
};
use ggb_model::{Profile, ProfileName, Settings};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

/// In-memory table with the transactions of the platform's store.
#[derive(Default)]
struct Table {
    rows: Vec<Row>,
    last_version: u64,
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
            self.last_version += 1;
            self.rows.retain(|row| row.key != write.key);
            let (key, value) = (write.key.clone(), write.value.clone());
            self.rows.push(Row { key, value, version: Version(self.last_version) });
        }
        true
    }
}

fn profile_name() -> ProfileName {
    "p".parse().expect("`p` is a valid profile name")
}

fn replace_change(base: u64, start_within_ms: u32) -> Change {
    let settings = Settings { start_within_ms, ..Settings::default() };
    Change::Replace { name: profile_name(), settings, base_generation: Generation(base) }
}

fn context() -> ChangeContext {
    ChangeContext::new("test", "change", 0)
}

fn table_with_profile() -> Table {
    let mut table = Table::default();
    let profile =
        Profile::try_new(profile_name(), Settings::default()).expect("default settings are valid");
    let planned = plan_change(&[], Change::Create(profile), &context())
        .expect("an empty table has no profile of this name");
    assert!(table.commit(&planned.transaction));
    table
}

#[test]
fn stale_change_is_rejected_with_stored_and_requested_settings() {
    let mut table = table_with_profile();
    let first = plan_change(&table.rows, replace_change(1, 111), &context()).unwrap();
    assert!(table.commit(&first.transaction));
    let Err(conflict) = plan_change(&table.rows, replace_change(1, 222), &context()) else {
        panic!()
    };
    assert!(matches!(conflict, PlanError::Stale { .. }));
    let text = conflict.to_string();
    assert!(text.contains("111") && text.contains("222"), "{text}");
}

#[test]
fn only_one_of_two_changes_on_the_same_base_commits() {
    let mut table = table_with_profile();
    let first = plan_change(&table.rows, replace_change(1, 111), &context()).unwrap();
    let second = plan_change(&table.rows, replace_change(1, 222), &context()).unwrap();
    assert!(table.commit(&first.transaction));
    assert!(!table.commit(&second.transaction));
}

#[test]
fn snapshot_rejects_a_lower_generation() {
    let mut table = table_with_profile();
    let old = Snapshot::from_rows(&table.rows).unwrap();
    let planned = plan_change(&table.rows, replace_change(1, 111), &context()).unwrap();
    assert!(table.commit(&planned.transaction));
    let mut current = Snapshot::from_rows(&table.rows).unwrap();
    assert!(!current.replace_if_newer(old));
    assert_eq!(current.generation(), Generation(2));
}

/// Three operators plan changes and commit them later, in random order. A change that was
/// planned from an older generation of the profile must not commit, since it would silently
/// overwrite another change. Every commit must add one generation and one audit row.
#[test]
fn each_commit_adds_one_generation_and_one_audit_row() {
    let config = Config { cases: 500, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = prop::collection::vec((0..3_usize, any::<bool>()), 1..40);
    runner
        .run(&steps, |steps| {
            let mut table = table_with_profile();
            let mut planned = [const { None }; 3];
            let mut commits = 1;
            for (operator, commit) in steps {
                if commit {
                    let pending: Option<ggb_config::PlannedChange> = planned[operator].take();
                    commits += u64::from(pending.is_some_and(|p| table.commit(&p.transaction)));
                } else {
                    let base =
                        Snapshot::from_rows(&table.rows).unwrap().changed_in(&profile_name());
                    let change = replace_change(base.unwrap().0, 100 + operator as u32);
                    planned[operator] = Some(plan_change(&table.rows, change, &context()).unwrap());
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
