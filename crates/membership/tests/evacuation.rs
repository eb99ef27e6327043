//! Zones that operators evacuate, as processes learn of them in any order.

use ggb_membership::{Evacuation, EvacuationReport, EvacuationRow};
use ggb_model::Zone;

fn zones(names: &[&str]) -> Vec<Zone> {
    names.iter().map(|name| name.parse().expect("tests use valid zone names")).collect()
}

fn row(name: &str, version: u64, is_removed: bool) -> EvacuationRow {
    EvacuationRow { zone: zones(&[name]).remove(0), version, is_removed }
}

fn evacuated(name: &str, version: u64) -> EvacuationRow {
    row(name, version, false)
}

fn returned(name: &str, version: u64) -> EvacuationRow {
    row(name, version, true)
}

fn report(names: &[&str], version: u64) -> EvacuationReport {
    EvacuationReport { evacuated_zones: zones(names), evacuation_version: Some(version) }
}

macro_rules! cases {
    ($($name:ident($evacuation:ident) $body:block)+) => {
        $(
            #[test]
            fn $name() {
                let mut $evacuation = Evacuation::new();
                $body
            }
        )+
    };
}

cases! {
    // Older processes must be able to read heartbeats of a deployment without requests.
    nothing_is_reported_without_a_request(evacuation) {
        assert!(!evacuation.replace([], 7));
        assert!(!evacuation.apply([], 9));
        assert_eq!(serde_json::to_string(&evacuation.report(&[])).unwrap(), "{}");
        assert!(!evacuation.merge(&serde_json::from_str("{}").unwrap()));
        assert_eq!(evacuation, { let mut read = Evacuation::new(); read.replace([], 9); read });
    }

    rows_are_applied_in_the_order_of_the_changes(evacuation) {
        assert!(evacuation.replace([evacuated("b", 4), evacuated("a", 3)], 5));
        assert_eq!(evacuation.zones(), zones(&["a", "b"]));
        assert!(evacuation.apply([returned("b", 6), evacuated("c", 7)], 8));
        assert_eq!(evacuation.zones(), zones(&["a", "c"]));
        assert_eq!((evacuation.changed_at(), evacuation.report(&[])), (7, report(&["a", "c"], 7)));
    }

    // A second request for the same zone must not be undone by the report of the first withdrawal.
    request_that_is_withdrawn_and_made_again_outlives_older_reports(evacuation) {
        evacuation.replace([evacuated("a", 3)], 3);
        evacuation.apply([returned("a", 5)], 5);
        evacuation.apply([evacuated("a", 6)], 6);
        assert!(!evacuation.merge(&report(&[], 5)));
        assert!(!evacuation.merge(&report(&["a"], 3)));
        assert_eq!((evacuation.zones(), evacuation.changed_at()), (&zones(&["a"])[..], 6));
    }

    report_that_arrives_twice_or_late_changes_nothing(evacuation) {
        assert!(evacuation.merge(&report(&["a"], 3)));
        assert!(evacuation.merge(&report(&["b"], 9)));
        assert!(!evacuation.merge(&report(&["b"], 9)));
        assert!(!evacuation.merge(&report(&["a"], 3)));
        assert_eq!(evacuation.report(&[]), report(&["b"], 9));
    }

    // A removal that a slow reader of the store sees late must not end a later request that a peer
    // reported.
    changes_that_a_peer_has_reported_already_do_not_return_a_zone(evacuation) {
        evacuation.replace([evacuated("a", 3)], 4);
        assert!(!evacuation.merge(&report(&["a"], 9)));
        assert!(!evacuation.apply([returned("a", 6)], 6));
        assert!(evacuation.contains(&zones(&["a"])[0]));
        assert!(!evacuation.replace([], 7));
        assert!(evacuation.contains(&zones(&["a"])[0]));
        assert!(!evacuation.apply([returned("a", 6), evacuated("a", 9)], 9));
        assert!(evacuation.apply([returned("a", 11)], 11));
    }

    // A restarted store without history is read in full, which shows no removed rows.
    full_read_returns_zones_without_a_row(evacuation) {
        evacuation.replace([evacuated("a", 3), evacuated("b", 4)], 5);
        assert!(evacuation.replace([evacuated("b", 4)], 9));
        assert_eq!(evacuation.report(&[]), report(&["b"], 9));
    }

    // Rows of later pages may be newer than the version of the read, and come again as changes.
    row_that_is_newer_than_the_read_does_not_hide_changes(evacuation) {
        evacuation.replace([evacuated("z", 12)], 10);
        assert!(evacuation.changed_at() <= 10);
        assert!(evacuation.apply([evacuated("a", 11), evacuated("z", 12)], 12));
        assert_eq!(evacuation.zones(), zones(&["a", "z"]));
    }

    // A process that started after the removal has no version of it, but must end the evacuation in
    // processes that have no store.
    process_that_never_saw_the_request_ends_it_in_one_that_missed_the_removal(evacuation) {
        let mut behind = Evacuation::new();
        behind.replace([evacuated("a", 3)], 4);
        evacuation.replace([], 9);
        assert!(!evacuation.merge(&behind.report(&[])));
        assert!(behind.merge(&evacuation.report(&[])));
        assert_eq!(behind.zones(), []);
    }

    // Mistaken rows must neither make heartbeats too large nor hide the zones that exist. Part of a list
    // of zones that exist would return the others to service.
    list_beyond_the_size_of_a_heartbeat_is_reduced_to_zones_of_the_settings(evacuation) {
        let names: Vec<String> = (10..50).map(|index| format!("zone-{index}")).collect();
        evacuation.replace(names.iter().map(|name| evacuated(name, 3)), 3);
        let listed = zones(&["zone-11", "zone-12", "zone-90"]);
        assert_eq!(evacuation.report(&listed), report(&["zone-11", "zone-12"], 3));
        let all = evacuation.zones().to_vec();
        assert_eq!(evacuation.report(&all), EvacuationReport::default());
    }

    jobs_of_a_zone_in_service_stay_there(evacuation) {
        evacuation.replace([evacuated("b", 1)], 1);
        let all = zones(&["a", "b", "c"]);
        assert_eq!(evacuation.serving_zones(&all[0], &all, &[], &7), zones(&["a"]));
    }

    jobs_of_an_evacuated_zone_are_spread_over_the_zones_in_service(evacuation) {
        evacuation.replace([evacuated("a", 1)], 1);
        let all = zones(&["a", "b", "c", "d"]);
        let first_zones = (0..300).map(|job| evacuation.serving_zones(&all[0], &all, &[], &job));
        let first_zones: Vec<Vec<Zone>> = first_zones.collect();
        for zone in &all[1..] {
            let jobs = first_zones.iter().filter(|zones| zones[0] == *zone).count();
            assert!((60..140).contains(&jobs), "{jobs} of 300 jobs go to {zone}");
        }
        assert!(first_zones.iter().all(|zones| zones.len() == 3 && !zones.contains(&all[0])));
    }

    no_zone_serves_while_all_are_evacuated_or_refuse(evacuation) {
        evacuation.replace([evacuated("a", 1), evacuated("b", 2)], 2);
        let all = zones(&["a", "b", "c"]);
        assert_eq!(evacuation.serving_zones(&all[0], &all, &[], &7), zones(&["c"]));
        assert_eq!(evacuation.serving_zones(&all[0], &all, &all[2..], &7), []);
    }
}

/// Changes of a simulated store: the zones at each version.
fn random_history(seed: u64, versions: u64) -> Vec<(EvacuationRow, Vec<Zone>)> {
    use rand::{Rng as _, SeedableRng as _};
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let names = ["a", "b", "c"];
    let mut current: Vec<Zone> = Vec::new();
    let changes = (1..=versions).map(|version| {
        let name = names[rng.random_range(0..names.len())];
        let zone = zones(&[name]).remove(0);
        let is_removed = current.contains(&zone);
        match is_removed {
            true => current.retain(|other| *other != zone),
            false => current.push(zone.clone()),
        }
        current.sort_unstable();
        (EvacuationRow { zone, version, is_removed }, current.clone())
    });
    changes.collect()
}

// Guards against a state that is older than one that a process knew, whatever it reads and hears.
#[test]
fn processes_that_read_and_gossip_in_any_order_agree_and_never_go_back() {
    use rand::{Rng as _, SeedableRng as _};
    for seed in 0..300 {
        let history = random_history(seed, 40);
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed + 1_000_000);
        let mut processes = vec![(Evacuation::new(), None::<u64>); 4];
        for now in 1..=history.len() as u64 {
            for _ in 0..3 {
                let index = rng.random_range(0..processes.len());
                match rng.random_range(0..4) {
                    0 => {
                        let live = |zone: &Zone| {
                            let mut changes = history[..now as usize].iter().map(|(row, _)| row);
                            changes.rfind(|row| row.zone == *zone).cloned()
                        };
                        let rows = history[now as usize - 1].1.iter().filter_map(live);
                        processes[index].0.replace(rows, now);
                        processes[index].1 = Some(now);
                    }
                    1 => {
                        let (evacuation, cursor) = &mut processes[index];
                        let Some(cursor) = cursor else { continue };
                        let until = rng.random_range(*cursor..=now);
                        let changes = history[*cursor as usize..until as usize].iter();
                        evacuation.apply(changes.map(|(row, _)| row.clone()), until);
                        *cursor = until;
                    }
                    2 => {
                        let from = rng.random_range(0..processes.len());
                        let heard = processes[from].0.report(&[]);
                        processes[index].0.merge(&heard);
                    }
                    _ => processes[index] = (Evacuation::new(), None),
                }
            }
            // A process knows of each request that it has read.
            for (evacuation, cursor) in &processes {
                let Some(cursor) = cursor else { continue };
                let stays = |zone: &&Zone| {
                    let later = &history[(*cursor).max(1) as usize - 1..now as usize];
                    later.iter().all(|(_, zones)| zones.contains(*zone))
                };
                let read = history[(*cursor).max(1) as usize - 1].1.iter().filter(stays);
                let missing: Vec<&Zone> = read.filter(|zone| !evacuation.contains(zone)).collect();
                assert!(missing.is_empty(), "seed {seed}, version {now}: {missing:?} forgotten");
            }
        }
        let last = history.len() as u64;
        processes[0].0.replace(
            history[history.len() - 1].1.iter().map(|zone| EvacuationRow {
                zone: zone.clone(),
                version: last,
                is_removed: false,
            }),
            last,
        );
        for _ in 0..3 {
            for from in 0..processes.len() {
                let heard = processes[from].0.report(&[]);
                processes.iter_mut().for_each(|(evacuation, _)| {
                    evacuation.merge(&heard);
                });
            }
        }
        for (evacuation, _) in &processes {
            let is_agreed = evacuation.zones() == processes[0].0.zones();
            assert!(is_agreed, "seed {seed}: {evacuation:?} and {:?}", processes[0].0);
        }
    }
}
