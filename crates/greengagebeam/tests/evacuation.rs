//! Evacuations of zones against real `ggb-node` processes with stand-ins for the users' platform.

#[allow(dead_code, reason = "the scenarios use the rest")]
#[path = "harness/process.rs"]
mod process;

#[allow(dead_code, reason = "the other tests use the rest")]
mod fleet;

use std::{
    fs,
    net::SocketAddr,
    time::{Duration, Instant},
};

use async_std::{net::UdpSocket, task};
use fleet::{Fleet, FleetSize, PATH_PREFIX, PEER_PORT, job_state};
use ggb_http::Reply;
use ggb_membership::{MAX_HEARTBEAT_BYTES, Node, Ownership};
use ggb_standin::StoreMode;
use http_types::StatusCode;
use serde_json::json;

const SIZE: FleetSize = FleetSize { zones: 2, nodes_per_zone: 2, targets_per_zone: 2 };

/// Time from an operator's request from which no task starts in the zone, by default.
const EVACUATE_MS: u64 = 5_000;

const NODES: [&str; 4] = ["0-1", "0-2", "1-1", "1-2"];

fn evacuate(fleet: &Fleet, zone: u8) {
    fleet.store.put("op", &format!("evacuate/zone-{zone}"), b"");
}

fn return_to_service(fleet: &Fleet, zone: u8) {
    fleet.store.remove("op", &format!("evacuate/zone-{zone}"));
}

/// Returns the number of runs that targets of a zone have started.
fn starts_in_zone(fleet: &Fleet, zone: u8) -> usize {
    let of_zone = fleet.targets.iter().filter(|target| target.zone == zone);
    of_zone.map(|target| target.standin.records().len()).sum()
}

fn assert_completed(reply: Option<Reply>) {
    let reply = reply.expect("the node closed the connection without a response");
    assert_eq!((reply.status, job_state(&reply).as_deref()), (StatusCode::Ok, Some("completed")));
}

fn count_in_log(fleet: &Fleet, node: &str, event: &str) -> usize {
    let log = fs::read_to_string(fleet.dir.join(format!("node-{node}.log")));
    log.unwrap_or_default().lines().filter(|line| line.contains(event)).count()
}

/// Waits until each of `nodes` has logged the event `count` times.
async fn wait_for_event(fleet: &Fleet, nodes: &[&str], event: &str, count: usize) {
    fleet
        .wait_until(&format!("{nodes:?} log {event} {count} times"), || async {
            nodes.iter().all(|node| count_in_log(fleet, node, event) >= count)
        })
        .await;
}

/// Submits jobs of two tasks to every node for a while and checks that all are completed and that no task
/// starts in zone 0.
async fn assert_zone_0_is_unused(fleet: &Fleet, rounds: u64) {
    let before = starts_in_zone(fleet, 0);
    for _ in 0..rounds {
        for node in 0..fleet.nodes.len() {
            assert_completed(fleet.submit(node, rand::random(), 2, 20).await);
        }
    }
    assert_eq!(starts_in_zone(fleet, 0), before, "tasks were started in the evacuated zone");
}

/// Waits until every node knows the others. One that has just started can't send jobs to another zone.
async fn wait_until_all_know_each_other(fleet: &Fleet) {
    let others = json!(fleet.nodes.len() - 1);
    for node in 0..fleet.nodes.len() {
        fleet
            .wait_until("a node knows the others", || async {
                fleet.status(node).await["known_processes"] == others
            })
            .await;
    }
}

/// Returns the node that owns zone 0, once there is one. Either can be the first to claim.
async fn owner_of_zone_0(fleet: &Fleet) -> usize {
    loop {
        for node in [0, 1] {
            if fleet.metric(node, "ggb_is_owner").await == Some(1) {
                return node;
            }
        }
        task::sleep(Duration::from_millis(20)).await;
    }
}

macro_rules! cases {
    ($($name:ident($net_octet:literal, $fleet:ident) $body:block)+) => {
        $(
            #[async_std::test]
            async fn $name() {
                let mut $fleet = Fleet::spawn($net_octet, SIZE).await;
                wait_until_all_know_each_other(&$fleet).await;
                $body
                $fleet.assert_no_concurrent_runs();
                drop(std::mem::take(&mut $fleet.nodes));
            }
        )+
    };
}

cases! {
    // Guards against starts in the zone, tasks there that are cut off, callers that are not served, and a
    // zone that stays empty after its return.
    evacuated_zone_ends_its_tasks_and_starts_no_other(45, fleet) {
        let running = fleet.submit(0, 0xaa, 2, 2_500);
        let evacuating = async {
            fleet.wait_until("both tasks run in zone 0", || async {
                starts_in_zone(&fleet, 0) == 2
            }).await;
            let requested_at = Instant::now();
            evacuate(&fleet, 0);
            wait_for_event(&fleet, &NODES, "ZoneEvacuated", 1).await;
            let took = requested_at.elapsed();
            assert!(took < Duration::from_millis(EVACUATE_MS), "{took:?}");
            assert_zone_0_is_unused(&fleet, 5).await;
        };
        let (reply, ()) = futures::join!(running, evacuating);
        assert_completed(reply);
        let owner = owner_of_zone_0(&fleet).await;
        wait_for_event(&fleet, &[NODES[owner]], "ZoneEmpty", 1).await;
        fleet.wait_until("the gauges show the empty zone", || async {
            let runs = fleet.metric(owner, "ggb_evacuated_runs{zone=\"zone-0\"}").await;
            let gauge = |zone: u8| format!("ggb_evacuated{{zone=\"zone-{zone}\"}}");
            let evacuated = fleet.metric(3, &gauge(0)).await;
            let in_service = fleet.metric(3, &gauge(1)).await;
            (runs, evacuated, in_service) == (Some(0), Some(1), Some(0))
        }).await;
        return_to_service(&fleet, 0);
        wait_for_event(&fleet, &NODES, "ZoneReturned", 1).await;
        let before = starts_in_zone(&fleet, 0);
        assert_completed(fleet.submit(0, 0xbb, 2, 20).await);
        assert!(starts_in_zone(&fleet, 0) > before, "the zone gets no work");
    }

    // Guards against callers that wait while no zone may start their tasks.
    jobs_are_refused_at_once_while_all_zones_are_evacuated(46, fleet) {
        for zone in 0..2 {
            evacuate(&fleet, zone);
        }
        wait_for_event(&fleet, &NODES, "ZoneEvacuated", 2).await;
        for node in 0..4 {
            let sent_at = Instant::now();
            let reply = fleet.submit(node, rand::random(), 2, 20).await.unwrap();
            assert_eq!(reply.status, StatusCode::ServiceUnavailable);
            let body = String::from_utf8(reply.body).unwrap();
            assert!(body.contains("evacuated"), "{body}");
            assert!(sent_at.elapsed() < Duration::from_millis(500), "{:?}", sent_at.elapsed());
        }
        assert_eq!(fleet.run_records(), []);
        return_to_service(&fleet, 1);
        wait_for_event(&fleet, &NODES, "ZoneReturned", 1).await;
        assert_zone_0_is_unused(&fleet, 2).await;
    }

    // Guards against callers that are refused, or wait in vain, since their job was in the zone's queue.
    job_in_the_queue_of_a_zone_moves_to_another_one_when_its_zone_is_evacuated(44, fleet) {
        // Four tasks fill a zone. Each owner keeps its own tasks, since the other zone is full.
        let filling = futures::future::join(
            fleet.submit(0, 0xa0, 4, 4_000), fleet.submit(2, 0xa1, 4, 4_000),
        );
        let queueing = async {
            fleet.wait_until("both zones are full", || async {
                fleet.run_records().len() == 8
            }).await;
            let owner = owner_of_zone_0(&fleet).await;
            let queued = fleet.submit(1, 0xa2, 2, 20);
            let evacuating = async {
                fleet.wait_until("the job is queued in zone 0", || async {
                    fleet.metric(owner, "ggb_queued_jobs{priority=\"0\"}").await == Some(1)
                }).await;
                evacuate(&fleet, 0);
            };
            let (reply, ()) = futures::join!(queued, evacuating);
            assert_completed(reply);
        };
        let (filled, ()) = futures::join!(filling, queueing);
        assert_completed(filled.0);
        assert_completed(filled.1);
        assert_eq!(starts_in_zone(&fleet, 0), 4, "the queued job was started in its zone");
        let refused = |node: &&str| count_in_log(&fleet, node, "\"reason\":\"Evacuated\"");
        let refused: usize = NODES[..2].iter().map(refused).sum();
        assert_eq!(refused, 1, "the owner of the zone did not hand the job back");
    }

    // Guards against a successor that starts the jobs that it takes over.
    successor_of_a_killed_owner_starts_nothing_in_an_evacuated_zone(47, fleet) {
        evacuate(&fleet, 0);
        wait_for_event(&fleet, &NODES, "ZoneEvacuated", 1).await;
        let owner = owner_of_zone_0(&fleet).await;
        let successor = 1 - owner;
        fleet.nodes[owner].process.kill();
        fleet.wait_until("the zone has another owner", || async {
            fleet.metric(successor, "ggb_is_owner").await == Some(1)
        }).await;
        let before = starts_in_zone(&fleet, 0);
        for node in [successor, 2, 3] {
            assert_completed(fleet.submit(node, rand::random(), 2, 20).await);
        }
        assert_eq!(starts_in_zone(&fleet, 0), before);
    }

    // Guards against processes that learn of requests from the store only, or that take a lost history for
    // a withdrawal.
    restarted_owner_without_the_store_learns_of_the_evacuation_from_its_peers(48, fleet) {
        evacuate(&fleet, 0);
        wait_for_event(&fleet, &NODES, "ZoneEvacuated", 1).await;
        fleet.store.set_table_mode("op", StoreMode::Down);
        for node in [0, 1] {
            fleet.nodes[node].process.kill();
            fs::remove_file(fleet.dir.join(format!("node-{}.log", NODES[node]))).unwrap();
            fleet.nodes[node].process.restart().unwrap();
        }
        for node in [0, 1] {
            fleet.wait_until_ready(node).await;
        }
        assert_zone_0_is_unused(&fleet, 2).await;
        for node in &NODES[..2] {
            assert_eq!(count_in_log(&fleet, node, "\"source\":\"store\""), 0, "{node}");
        }
        wait_for_event(&fleet, &NODES[..2], "ZoneEvacuated", 1).await;
        fleet.store.compact();
        fleet.configure(2, &[PATH_PREFIX]);
        fleet.store.set_table_mode("op", StoreMode::Up);
        wait_for_event(&fleet, &NODES, "GenerationAdvanced", 1).await;
        assert_zone_0_is_unused(&fleet, 2).await;
    }

    // Guards against a start after a pause in which the request was made.
    owner_that_was_paused_during_the_request_starts_nothing(49, fleet) {
        // Nobody takes over from an owner that is alone, or tells it of the request.
        for node in [1, 2, 3] {
            fleet.nodes[node].process.kill();
        }
        fleet.wait_until("the first node is the owner", || async {
            fleet.metric(0, "ggb_is_owner").await == Some(1)
        }).await;
        let before = starts_in_zone(&fleet, 0);
        fleet.nodes[0].process.signal(nix::sys::signal::Signal::SIGSTOP).unwrap();
        // The signal does not stop all threads at once.
        task::sleep(Duration::from_millis(100)).await;
        let paused = fleet.submit(0, 0xcc, 2, 20);
        let resuming = async {
            // The store answers the poll from before the pause without the request.
            task::sleep(Duration::from_millis(1_500)).await;
            evacuate(&fleet, 0);
            task::sleep(Duration::from_millis(EVACUATE_MS)).await;
            // Targets answer the node sooner than the store does.
            fleet.store.set_mode(StoreMode::Slow { delay_ms: 300 });
            fleet.nodes[0].process.signal(nix::sys::signal::Signal::SIGCONT).unwrap();
        };
        let (reply, ()) = futures::join!(paused, resuming);
        assert!(reply.is_some(), "the paused node closed the connection");
        task::sleep(Duration::from_millis(500)).await;
        assert_eq!(starts_in_zone(&fleet, 0), before);
    }

    // Older processes must be able to read the heartbeats of a deployment without requests.
    heartbeats_mention_evacuations_only_after_a_request(50, fleet) {
        let peer = Node {
            name: "peer".to_owned(),
            ip: "127.50.0.9".parse().unwrap(),
            zone: "zone-0".parse().unwrap(),
            cpu_milli: 1,
        };
        let socket = UdpSocket::bind((peer.ip, PEER_PORT)).await.unwrap();
        let heartbeat = Ownership::new(peer, 7, 0).heartbeat(0);
        let node = SocketAddr::new(fleet.nodes[0].ip, PEER_PORT);
        socket.send_to(&serde_json::to_vec(&heartbeat).unwrap(), node).await.unwrap();
        let mut buffer = vec![0; MAX_HEARTBEAT_BYTES];
        for _ in 0..10 {
            let (length, _) = socket.recv_from(&mut buffer).await.unwrap();
            let text = String::from_utf8_lossy(&buffer[..length]);
            assert!(!text.contains("evacuat"), "{text}");
        }
        // Neither a malformed row nor one for a zone outside the settings stops the others.
        fleet.store.put("op", "evacuate/", b"");
        fleet.store.put("op", "evacuate/no such zone", b"");
        fleet.store.put("op", "evacuate/elsewhere", b"");
        evacuate(&fleet, 1);
        wait_for_event(&fleet, &NODES, "ZoneEvacuated", 1).await;
        loop {
            let (length, _) = socket.recv_from(&mut buffer).await.unwrap();
            let text = String::from_utf8_lossy(&buffer[..length]);
            if text.contains("\"evacuated_zones\":[\"elsewhere\",\"zone-1\"]") {
                break;
            }
        }
        assert_eq!(count_in_log(&fleet, "0-1", "ConfigurationUnreadable"), 3);
    }
}
