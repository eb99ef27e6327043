//! Jobs that peers send to real `ggb-node` processes, with stand-ins for the users' platform.

#[allow(dead_code, reason = "the scenarios use the rest")]
#[path = "harness/process.rs"]
mod process;

#[allow(dead_code, reason = "the other tests use the rest")]
mod fleet;

use std::{net::SocketAddr, time::Duration};

use async_std::{future::timeout, net::UdpSocket};
use fleet::{Fleet, FleetSize, PEER_PORT, PeerJob};
use ggb_membership::{
    ClockReading, Heartbeat, MAX_HEARTBEAT_BYTES, Node, Ownership, RecipientTime,
};
use serde_json::{Value, json};

const SIZE: FleetSize = FleetSize { zones: 1, nodes_per_zone: 1, targets_per_zone: 2 };

/// Time for which a heartbeat is awaited, far longer than it takes.
const HEARTBEAT_TIMEOUT_MS: u64 = 60_000;

/// Age up to which a job is taken.
const MAX_AGE_MS: u64 = 600;

/// Job of the message that is under test.
const JOB: u64 = 0xab;

const FORMER_INCARNATION: u64 = 7;
const INCARNATION: u64 = 8;

/// A VM of which the test plays the processes.
struct Peer {
    node: Node,
    socket: UdpSocket,
    /// Address of the fleet's process.
    recipient: SocketAddr,
}

impl Peer {
    async fn bind(fleet: &Fleet) -> Self {
        let recipient = SocketAddr::new(fleet.nodes[0].ip, PEER_PORT);
        let SocketAddr::V4(addr) = recipient else { panic!("the fleet has IPv4 addresses") };
        let [_, net_octet, ..] = addr.ip().octets();
        let ip = [127, net_octet, 0, 9].into();
        let node = Node {
            name: "peer".to_owned(),
            ip,
            zone: "zone-0".parse().expect("the zone name is valid"),
            cpu_milli: 1,
        };
        let socket = UdpSocket::bind(SocketAddr::new(ip, PEER_PORT)).await.expect("bind the peer");
        Peer { node, socket, recipient }
    }

    fn process(&self, incarnation: u64) -> Ownership {
        Ownership::new(self.node.clone(), incarnation, 0)
    }

    /// Sends the first heartbeat of an incarnation, and the answer to the one of the recipient that
    /// it gets in return.
    async fn introduce(&self, incarnation: u64) -> Heartbeat {
        let mut process = self.process(incarnation);
        self.send(&process.heartbeat(100_000)).await;
        let heartbeat = self.receive_answer().await;
        process.record_heartbeat(heartbeat.clone(), 100_001);
        let name = &heartbeat.node.name;
        let answer = process.take_answer(name, 100_001).expect("the heartbeat is the first one");
        self.send(&answer.heartbeat(process.heartbeat(100_001))).await;
        heartbeat
    }

    /// Introduces an incarnation that replaces one which the recipient heard before it sent
    /// `heard`, and waits until the recipient has noticed.
    async fn replace(&self, incarnation: u64, heard: &Heartbeat) {
        self.receive_heartbeat(|heartbeat| heartbeat.clock_ms > heard.clock_ms + 50).await;
        self.introduce(incarnation).await;
        self.receive_answer().await;
    }

    async fn send(&self, heartbeat: &Heartbeat) {
        let heartbeat = serde_json::to_vec(heartbeat).expect("the heartbeat serializes");
        self.socket.send_to(&heartbeat, self.recipient).await.expect("send the heartbeat");
    }

    async fn receive_answer(&self) -> Heartbeat {
        self.receive_heartbeat(|heartbeat| heartbeat.recipient_clock.is_some()).await
    }

    /// Returns the next heartbeat of the recipient that meets a condition.
    async fn receive_heartbeat(&self, condition: impl Fn(&Heartbeat) -> bool) -> Heartbeat {
        let mut buffer = vec![0; MAX_HEARTBEAT_BYTES];
        loop {
            let received = self.socket.recv_from(&mut buffer);
            let received = timeout(Duration::from_millis(HEARTBEAT_TIMEOUT_MS), received).await;
            let (length, _) = received.expect("a heartbeat arrives").expect("receive a heartbeat");
            let heartbeat: Heartbeat =
                serde_json::from_slice(&buffer[..length]).expect("decode the heartbeat");
            if condition(&heartbeat) {
                return heartbeat;
            }
        }
    }

    /// Returns a job that an incarnation sent when its clock showed `clock_ms`.
    fn job(&self, incarnation: u64, clock_ms: u64) -> PeerJob {
        let sender = self.process(incarnation).message_sender(clock_ms);
        PeerJob { sender, job: JOB, part: None, recipient_time: None }
    }
}

fn reading_in(answer: &Value) -> ClockReading {
    serde_json::from_value(answer["resend"]["clock"].clone())
        .expect("the answer has a clock reading")
}

macro_rules! cases {
    ($($name:ident($net_octet:literal, $fleet:ident, $peer:ident) $body:block)+) => {
        $(
            #[async_std::test]
            async fn $name() {
                let $fleet = Fleet::spawn($net_octet, SIZE).await;
                let $peer = Peer::bind(&$fleet).await;
                $body
            }
        )+
    };
}

cases! {
    // Guards against two runs of a task whose job was held up and sent again elsewhere meanwhile.
    job_of_a_replaced_process_is_not_taken(76, fleet, peer) {
        let recipient = peer.introduce(FORMER_INCARNATION).await;
        peer.replace(INCARNATION, &recipient).await;
        peer.receive_heartbeat(|heartbeat| heartbeat.clock_ms > MAX_AGE_MS).await;
        let held_up = ClockReading { incarnation: recipient.incarnation, clock_ms: 0 };
        for (part, recipient_time) in [
            (None, None),
            (Some(1), None),
            (None, Some(RecipientTime::AtLeast(held_up))),
            (Some(1), Some(RecipientTime::AtLeast(held_up))),
        ] {
            let job = PeerJob { part, recipient_time, ..peer.job(FORMER_INCARNATION, 100_050) };
            let answer = fleet.submit_as_peer(peer.recipient, &job).await;
            assert_ne!(answer["answered"], json!("completed"), "part {part:?}, {recipient_time:?}");
        }
        assert_eq!(fleet.run_records(), []);
    }

    // Guards against jobs of new VMs that are turned away until their first heartbeat arrives.
    first_job_of_a_process_without_heartbeats_is_taken(77, fleet, peer) {
        let first = PeerJob {
            recipient_time: Some(RecipientTime::Unknown),
            ..peer.job(INCARNATION, 50)
        };
        let reading = reading_in(&fleet.submit_as_peer(peer.recipient, &first).await);
        assert_eq!(fleet.run_records(), []);
        let again = PeerJob { recipient_time: Some(RecipientTime::AtLeast(reading)), ..first };
        let answer = fleet.submit_as_peer(peer.recipient, &again).await;
        assert_eq!(answer, json!({ "answered": "completed" }));
    }

    // Guards against jobs that a process waiting to start, or to be continued, takes for new.
    job_sent_to_a_former_incarnation_of_the_recipient_is_not_taken(78, fleet, peer) {
        let recipient = peer.introduce(INCARNATION).await;
        let former = ClockReading { incarnation: recipient.incarnation ^ 1, clock_ms: 0 };
        let job = PeerJob {
            recipient_time: Some(RecipientTime::AtLeast(former)),
            ..peer.job(INCARNATION, 100_001)
        };
        reading_in(&fleet.submit_as_peer(peer.recipient, &job).await);
        assert_eq!(fleet.run_records(), []);
    }
}
