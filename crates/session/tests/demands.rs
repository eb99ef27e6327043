//! Tests of demands and their answers.

use ggb_session::PlacementDemands;

#[test]
fn earlier_acceptance_does_not_answer_a_later_demand() {
    let mut demands = PlacementDemands::default();
    demands.record_demand(0, 10);
    demands.record_demand(1, 5);
    demands.record_admission(1, false);
    demands.record_demand(0, 5);
    demands.record_admission(0, true);
    assert!(!demands.all_answered());
    assert_eq!(demands.outstanding_tasks(), 15);
    demands.record_admission(0, false);
    assert!(demands.all_answered());
    assert_eq!(demands.outstanding_tasks(), 10);
}

#[test]
fn refusal_leaves_earlier_accepted_tasks_outstanding() {
    let mut demands = PlacementDemands::default();
    demands.record_demand(0, 4);
    demands.record_admission(0, true);
    demands.record_grant(0);
    demands.record_demand(0, 2);
    demands.record_admission(0, false);
    assert_eq!(
        (
            demands.outstanding_tasks(),
            demands.dispatchers_with_outstanding_tasks().collect::<Vec<_>>()
        ),
        (3, vec![0])
    );
}

#[test]
fn lost_dispatcher_has_no_outstanding_tasks() {
    let mut demands = PlacementDemands::default();
    demands.record_demand(0, 4);
    demands.remove_dispatcher(0);
    demands.record_admission(0, true);
    demands.record_grant(0);
    assert!(
        demands.all_answered()
            && demands.outstanding_tasks() == 0
            && demands.dispatchers_with_outstanding_tasks().next().is_none()
    );
}
