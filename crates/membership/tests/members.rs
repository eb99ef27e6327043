//! Known processes, and the owners that peers report.

use std::net::IpAddr;

use ggb_membership::{
    Heartbeat, MAX_ZONE_MEMBERS, Members, Node, Ownership, OwnershipChange, Recipient, Recipients,
};

/// Returns a VM of `zone`; `number` determines its name and address.
fn node(zone: &str, number: u8) -> Node {
    Node {
        name: format!("{zone}-{number}"),
        ip: IpAddr::from([10, 0, zone.as_bytes()[0], number]),
        zone: zone.parse().expect("the zone name is valid"),
        cpu_milli: 250,
    }
}

fn process(node: &Node, incarnation: u64) -> Ownership {
    Ownership::new(node.clone(), incarnation, 0)
}

/// Returns the heartbeat of a process that knows nothing of others.
fn heartbeat(node: &Node) -> Heartbeat {
    process(node, 1).heartbeat(0)
}

fn claim(node: &Node, token: u64) -> Heartbeat {
    Heartbeat { claim_token: Some(token), ..heartbeat(node) }
}

fn listing(node: &Node, zone_members: &[Node]) -> Heartbeat {
    Heartbeat { zone_members: zone_members.to_vec(), ..heartbeat(node) }
}

fn ips(recipients: &[Recipient]) -> Vec<IpAddr> {
    recipients.iter().map(|recipient| recipient.ip).collect()
}

fn names(nodes: &[Node]) -> Vec<&str> {
    nodes.iter().map(|node| node.name.as_str()).collect()
}

fn known_ips(ownership: &Ownership) -> Vec<IpAddr> {
    ownership.members().as_slice().iter().map(|member| member.ip).collect()
}

/// Returns the time of the first claim of a process, to which a peer that hears the claims of
/// `owner` until `owner_until_ms` sends a heartbeat every 100 ms.
fn first_claim_ms(
    ownership: &mut Ownership,
    owner: &Heartbeat,
    owner_until_ms: u64,
) -> Option<u64> {
    let mut peer = process(&node("b", 1), 1);
    (0..5_000).step_by(10).find(|now_ms| {
        if now_ms % 100 == 0 {
            if *now_ms <= owner_until_ms {
                peer.record_heartbeat(owner.clone(), *now_ms);
            }
            ownership.record_heartbeat(peer.heartbeat(*now_ms), *now_ms);
        }
        let change = ownership.tick(1_000 + now_ms, *now_ms);
        matches!(change, Some(OwnershipChange::Claimed { .. }))
    })
}

macro_rules! cases {
    ($($name:ident $body:block)+) => {
        $(
            #[test]
            fn $name() $body
        )+
    };
}

cases! {
    process_that_a_peer_lists_gets_heartbeats_but_is_not_alive {
        let mut ownership = process(&node("a", 1), 1);
        ownership.record_heartbeat(listing(&node("b", 1), &[node("a", 2)]), 10);
        let recipients = ownership.recipients(Recipients::Zone, Some(1), 10);
        assert_eq!(ips(&recipients), [node("a", 2).ip]);
        assert_eq!(ownership.live_peer_count(10), 1);
        assert_eq!(ownership.owner_of(&"a".parse().unwrap()).map(|_| ()), None);
    }

    listed_process_of_another_zone_and_the_own_addresses_are_ignored {
        let own = node("a", 1);
        let mut ownership = process(&own, 1);
        let renamed = Node { name: "former".to_owned(), ..own.clone() };
        let moved = Node { ip: IpAddr::from([10, 9, 9, 9]), ..own };
        ownership.record_heartbeat(listing(&node("b", 1), &[node("c", 2), renamed, moved]), 10);
        assert_eq!(known_ips(&ownership), [node("b", 1).ip]);
    }

    newcomer_without_a_list_is_answered_once_with_the_members_of_its_zone {
        let mut ownership = process(&node("b", 1), 1);
        ownership.record_heartbeat(heartbeat(&node("a", 1)), 0);
        ownership.record_heartbeat(heartbeat(&node("c", 1)), 0);
        assert!(ownership.take_answer("a-1", 0).is_some());
        ownership.record_heartbeat(process(&node("a", 2), 7).heartbeat(0), 3_000);
        let answer = ownership.take_answer("a-2", 3_000).expect("the newcomer is answered");
        assert_eq!(answer.ip, node("a", 2).ip);
        assert_eq!(names(&answer.zone_members), ["a-1"]);
        ownership.record_heartbeat(process(&node("a", 2), 7).heartbeat(1), 3_001);
        assert_eq!(ownership.take_answer("a-2", 3_001), None);
        ownership.record_heartbeat(process(&node("a", 2), 8).heartbeat(0), 3_002);
        assert!(ownership.take_answer("a-2", 3_002).is_some());
    }

    newcomer_that_has_read_the_list_gets_none_from_peers {
        let mut ownership = process(&node("b", 1), 1);
        ownership.record_heartbeat(heartbeat(&node("a", 1)), 0);
        let mut newcomer = process(&node("a", 2), 7);
        newcomer.set_vm_list(&[]);
        ownership.record_heartbeat(newcomer.heartbeat(0), 0);
        let answer = ownership.take_answer("a-2", 0).expect("the newcomer is answered");
        assert!(answer.zone_members.is_empty());
    }

    leaving_process_and_one_silent_for_long_are_not_listed {
        let mut ownership = process(&node("b", 1), 1);
        ownership.record_heartbeat(heartbeat(&node("a", 1)), 0);
        ownership.record_heartbeat(heartbeat(&node("a", 3)), 20_000);
        let leaving = Heartbeat { leaving: true, ..heartbeat(&node("a", 4)) };
        ownership.record_heartbeat(leaving, 20_000);
        // Hearsay is not listed either.
        ownership.record_heartbeat(listing(&node("c", 1), &[node("a", 5)]), 20_000);
        ownership.record_heartbeat(process(&node("a", 2), 7).heartbeat(0), 40_000);
        let answer = ownership.take_answer("a-2", 40_000).expect("the newcomer is answered");
        assert_eq!(names(&answer.zone_members), ["a-3"]);
    }

    heartbeats_to_a_newcomer_list_all_members_in_turn {
        let mut ownership = process(&node("a", 200), 1);
        for number in 0..40 {
            ownership.record_heartbeat(heartbeat(&node("a", number)), 0);
        }
        ownership.record_heartbeat(process(&node("a", 99), 7).heartbeat(0), 0);
        let mut listed = Vec::new();
        for round in [0, 3, 6, 9] {
            let recipients = ownership.recipients(Recipients::All, Some(round), round * 100);
            let newcomer = recipients.iter().find(|found| found.ip == node("a", 99).ip).unwrap();
            assert!(newcomer.zone_members.len() <= MAX_ZONE_MEMBERS);
            listed.extend(newcomer.zone_members.iter().map(|node| node.name.clone()));
        }
        listed.sort_unstable();
        listed.dedup();
        assert_eq!(listed.len(), 40);
    }

    heartbeats_of_a_calm_zone_list_no_members {
        let mut ownership = process(&node("a", 1), 1);
        ownership.set_vm_list(&[node("a", 2), node("a", 3), node("b", 1)]);
        for round in 0..100 {
            let now_ms = round * 100;
            for peer in [node("a", 2), node("a", 3), node("b", 1)] {
                let heartbeat = Heartbeat { lacks_vm_list: false, ..claim(&peer, 5) };
                ownership.record_heartbeat(heartbeat, now_ms);
            }
            let recipients = Recipients::of_round(round);
            let recipients = ownership.recipients(recipients, Some(round), now_ms);
            assert!(recipients.iter().all(|recipient| recipient.zone_members.is_empty()));
        }
    }

    silent_process_gets_lists_since_it_may_hear_without_being_heard {
        let mut ownership = process(&node("a", 1), 1);
        ownership.record_heartbeat(heartbeat(&node("a", 2)), 0);
        ownership.record_heartbeat(heartbeat(&node("a", 3)), 0);
        let mut listed = 0;
        for round in 0..120 {
            let recipients = ownership.recipients(Recipients::Zone, Some(round), 5_000 + round * 100);
            listed += recipients.iter().map(|found| found.zone_members.len()).sum::<usize>();
        }
        assert_eq!(listed, 2 * 10);
    }

    listed_vm_of_another_zone_gets_a_bounded_number_of_heartbeats_from_a_follower {
        let mut ownership = process(&node("a", 1), 1);
        let remote: Vec<Node> = (0..40).map(|number| node("b", number)).collect();
        ownership.set_vm_list(&remote);
        // A process that is heard does not stand for the others of its zone.
        ownership.record_heartbeat(heartbeat(&node("b", 99)), 0);
        let mut sent = vec![0; remote.len()];
        for round in 0..100 {
            let recipients = Recipients::of_round(round);
            let recipients = ips(&ownership.recipients(recipients, Some(round), round * 100));
            assert!(recipients.len() <= 16, "{}", recipients.len());
            for ip in recipients {
                sent[remote.iter().position(|node| node.ip == ip).unwrap()] += 1;
            }
        }
        assert_eq!(sent, [3; 40]);
    }

    remote_owner_that_zone_peers_report_gets_heartbeats_before_it_is_heard {
        let mut zone_peer = process(&node("a", 2), 1);
        zone_peer.record_heartbeat(claim(&node("b", 1), 5), 0);
        let mut ownership = process(&node("a", 1), 1);
        ownership.set_vm_list(&[node("b", 1), node("b", 2)]);
        ownership.record_heartbeat(zone_peer.heartbeat(0), 0);
        let recipients = ownership.recipients(Recipients::All, None, 0);
        assert_eq!(ips(&recipients), [node("a", 2).ip, node("b", 1).ip]);
    }

    owner_sends_each_round_to_a_remote_process_without_an_owner {
        let mut ownership = process(&node("b", 1), 1);
        ownership.set_vm_list(&[]);
        ownership.record_heartbeat(heartbeat(&node("b", 2)), 0);
        let is_claimed = (0..1_000).any(|now_ms| ownership.tick(now_ms, now_ms).is_some());
        assert!(is_claimed);
        ownership.record_heartbeat(heartbeat(&node("a", 1)), 1_000);
        let served = Heartbeat { lacks_owner: false, ..heartbeat(&node("a", 2)) };
        ownership.record_heartbeat(served, 1_000);
        let recipients = ownership.recipients(Recipients::Zone, Some(1), 1_000);
        assert_eq!(ips(&recipients), [node("a", 1).ip, node("b", 2).ip]);
    }

    heartbeat_of_another_vm_at_a_known_address_replaces_what_was_listed {
        let mut members = Members::new();
        let former = node("a", 1);
        let successor = Node { ip: former.ip, ..node("b", 7) };
        members.set_list([&former]);
        members.record_heartbeat(&successor, 10);
        members.set_list([&former]);
        assert!(!members.add_reported(&former, 20));
        assert_eq!(members.find(former.ip).and_then(|member| member.node.as_ref()), Some(&successor));
    }

    vm_that_was_heard_elsewhere_is_not_brought_back_at_its_former_address {
        let mut members = Members::new();
        let moved = node("a", 1);
        let former = Node { ip: IpAddr::from([10, 0, 7, 7]), ..moved.clone() };
        members.record_heartbeat(&moved, 10);
        assert!(!members.add_reported(&former, 20));
        assert_eq!(members.as_slice().len(), 1);
    }

    process_that_left_for_good_is_forgotten_despite_repeated_reports {
        let mut members = Members::new();
        members.add_reported(&node("a", 1), 0);
        for now_ms in (0..119_000).step_by(1_000) {
            assert!(!members.add_reported(&node("a", 1), now_ms));
            members.prune(now_ms);
        }
        members.prune(120_000);
        assert_eq!(members.as_slice(), []);
    }

    listed_vms_and_seeds_are_kept_and_delisted_ones_forgotten {
        let mut members = Members::new();
        members.add_seed(node("a", 1).ip, 0);
        members.set_list([&node("a", 2), &node("a", 3)]);
        members.prune(1_000_000);
        assert_eq!(members.as_slice().len(), 3);
        members.set_list([&node("a", 2)]);
        members.prune(1_119_999);
        assert_eq!(members.as_slice().len(), 3);
        members.prune(1_120_000);
        let ips: Vec<IpAddr> = members.as_slice().iter().map(|member| member.ip).collect();
        assert_eq!(ips, [node("a", 1).ip, node("a", 2).ip]);
    }

    ownership_forgets_peers_that_were_replaced {
        let mut ownership = process(&node("a", 1), 1);
        for number in 2..200 {
            let now_ms = u64::from(number) * 10_000;
            ownership.record_heartbeat(heartbeat(&node("a", number)), now_ms);
            ownership.prune(now_ms);
        }
        assert_eq!((ownership.peers().len(), ownership.members().as_slice().len()), (12, 12));
    }

    owner_that_only_a_peer_hears_keeps_a_process_from_claiming {
        let mut ownership = process(&node("a", 1), 1);
        ownership.record_heartbeat(listing(&node("b", 1), &[node("a", 2)]), 0);
        assert_eq!(first_claim_ms(&mut ownership, &claim(&node("a", 2), 5), 5_000), None);
        assert_eq!(ownership.zone_owner_ip(4_990), Some(node("a", 2).ip));
        let reported = ownership.reported_owner(4_990).map(|owner| (owner.token, owner.reported_by));
        assert_eq!(reported, Some((5, "b-1")));
        assert!(ownership.owner_of(&"a".parse().unwrap()).is_none());
    }

    owner_that_only_a_peer_heard_is_replaced_after_the_timeout {
        let mut ownership = process(&node("a", 1), 1);
        ownership.record_heartbeat(listing(&node("b", 1), &[node("a", 2)]), 0);
        let claim_ms = first_claim_ms(&mut ownership, &claim(&node("a", 2), 5), 2_000);
        assert_eq!(claim_ms, Some(2_450));
    }

    owner_of_another_zone_keeps_nobody_from_claiming {
        let mut ownership = process(&node("a", 1), 1);
        ownership.set_vm_list(&[node("c", 2)]);
        let claim_ms = first_claim_ms(&mut ownership, &claim(&node("c", 2), 5), 5_000);
        assert_eq!(claim_ms, Some(130));
    }

    claim_of_the_own_former_process_keeps_it_from_nothing {
        let mut ownership = process(&node("a", 1), 1);
        ownership.set_vm_list(&[]);
        let claim_ms = first_claim_ms(&mut ownership, &claim(&node("a", 1), 5), 5_000);
        assert_eq!(claim_ms, Some(130));
    }

    restarted_owner_that_is_heard_without_its_claim_is_not_waited_for {
        let mut ownership = process(&node("a", 1), 1);
        ownership.set_vm_list(&[node("a", 2)]);
        let mut peer = process(&node("b", 1), 1);
        peer.record_heartbeat(claim(&node("a", 2), 5), 100);
        ownership.record_heartbeat(peer.heartbeat(150), 150);
        assert_eq!(ownership.tick(150, 150), None);
        ownership.record_heartbeat(process(&node("a", 2), 2).heartbeat(0), 160);
        let change = ownership.tick(160, 160);
        assert!(matches!(change, Some(OwnershipChange::Claimed { .. })), "{change:?}");
    }

    fenced_owner_stays_back_while_a_peer_reports_the_rival_it_does_not_hear {
        let mut ownership = process(&node("a", 1), 1);
        ownership.set_vm_list(&[node("a", 2)]);
        let mut peer = process(&node("b", 1), 1);
        let mut claims = 0;
        for now_ms in (0..5_000).step_by(10) {
            if now_ms % 100 == 0 {
                if now_ms >= 500 {
                    peer.record_heartbeat(claim(&node("a", 2), u64::MAX / 2), now_ms);
                }
                ownership.record_heartbeat(peer.heartbeat(now_ms), now_ms);
            }
            match ownership.tick(1_000 + now_ms, now_ms) {
                Some(OwnershipChange::Claimed { .. }) => claims += 1,
                _ if now_ms >= 500 => ownership.record_fenced(now_ms),
                _ => {}
            }
        }
        assert_eq!((claims, ownership.claim_token()), (1, None));
        assert_eq!(ownership.zone_owner_ip(4_990), Some(node("a", 2).ip));
    }

    owner_that_is_heard_precedes_one_that_is_reported {
        let mut ownership = process(&node("a", 1), 1);
        ownership.set_vm_list(&[node("a", 2), node("a", 3)]);
        let mut peer = process(&node("b", 1), 1);
        peer.record_heartbeat(claim(&node("a", 3), 9), 0);
        ownership.record_heartbeat(peer.heartbeat(0), 0);
        assert_eq!(ownership.zone_owner_ip(0), Some(node("a", 3).ip));
        ownership.record_heartbeat(claim(&node("a", 2), 5), 0);
        assert_eq!(ownership.zone_owner_ip(0), Some(node("a", 2).ip));
    }

    heartbeat_of_a_former_build_is_read {
        let text = r#"{"node":{"name":"a-2","ip":"10.0.0.2","zone":"a","cpu_milli":250},"life":1,
            "clock_ms":0,"leaving":false,"claim":null,"heard":[],"configuration_version":0,
            "free_tasks":0,"queued_tasks":0}"#;
        let read: Heartbeat = serde_json::from_str(text).unwrap();
        assert!(!read.lacks_vm_list && !read.lacks_owner && read.zone_members.is_empty());
        let encoded = serde_json::to_string(&read).unwrap();
        assert_eq!(encoded, text.split_whitespace().collect::<String>());
    }
}
