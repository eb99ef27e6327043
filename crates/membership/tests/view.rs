//! Merging of a lagging list with direct observations.

use ggb_membership::{MembershipView, Role, Vm, VmState, rank_by_rendezvous};
use ggb_model::{Incarnation, TaskShape, Zone};

fn vm(port: u16, incarnation: u64, state: VmState) -> Vm {
    Vm {
        role: Role::Target,
        zone: "zone-a".parse().expect("the zone name is valid"),
        addr: ([127, 0, 0, 1], port).into(),
        incarnation: Incarnation(incarnation),
        state,
        capacity: TaskShape::default(),
    }
}

#[test]
fn leaving_is_final_for_one_incarnation_only() {
    let mut view = MembershipView::default();
    view.apply_list(&[vm(1, 1, VmState::Live)], 0);
    view.observe_leaving(([127, 0, 0, 1], 1).into());
    view.apply_list(&[vm(1, 1, VmState::Live)], 10);
    assert_eq!(view.active(Role::Target).count(), 0);
    view.apply_list(&[vm(1, 2, VmState::Live)], 20);
    assert_eq!(view.active(Role::Target).count(), 1);
}

#[test]
fn vm_missing_from_the_list_is_removed_only_after_retention() {
    let mut view = MembershipView::default();
    view.apply_list(&[vm(1, 1, VmState::Live), vm(2, 1, VmState::Live)], 0);
    view.apply_list(&[vm(1, 1, VmState::Live)], 1_000);
    assert_eq!(view.active(Role::Target).count(), 2);
    view.apply_list(&[vm(1, 1, VmState::Live)], 60_000);
    assert_eq!(view.active(Role::Target).count(), 1);
}

#[test]
fn removing_an_address_keeps_the_rendezvous_order_of_the_others() {
    let zone: Zone = "zone-a".parse().unwrap();
    let mut all: Vec<_> = (1..9).map(|port| ([127, 0, 0, 1], port).into()).collect();
    rank_by_rendezvous(&zone, &mut all);
    let removed = all[3];
    let mut remaining: Vec<_> = all.iter().copied().filter(|addr| *addr != removed).collect();
    let expected = remaining.clone();
    remaining.reverse();
    rank_by_rendezvous(&zone, &mut remaining);
    assert_eq!(remaining, expected);
}
