//! Tests of demands and their answers.

use ggb_session::PlacementDemands;

#[test]
fn earlier_acceptance_does_not_answer_a_later_demand() {
    let mut asked = PlacementDemands::default();
    asked.ask(0, 10);
    asked.ask(1, 5);
    asked.answer(1, false);
    asked.ask(0, 5);
    asked.answer(0, true);
    assert!(!asked.is_answered());
    assert_eq!(asked.outstanding(), 15);
    asked.answer(0, false);
    assert!(asked.is_answered());
    assert_eq!(asked.outstanding(), 10);
}

#[test]
fn refusal_leaves_earlier_accepted_tasks_outstanding() {
    let mut asked = PlacementDemands::default();
    asked.ask(0, 4);
    asked.answer(0, true);
    asked.granted(0);
    asked.ask(0, 2);
    asked.answer(0, false);
    assert_eq!((asked.outstanding(), asked.owing().collect::<Vec<_>>()), (3, vec![0]));
}

#[test]
fn lost_dispatcher_has_no_outstanding_tasks() {
    let mut asked = PlacementDemands::default();
    asked.ask(0, 4);
    asked.lost(0);
    asked.answer(0, true);
    asked.granted(0);
    assert!(asked.is_answered() && asked.outstanding() == 0 && asked.owing().next().is_none());
}
