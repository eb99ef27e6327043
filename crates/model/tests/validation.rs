//! Identifiers survive a round trip, and bad values name their field.

use ggb_model::{HomeId, Incarnation, JobSpec, Profile, SessionId, Settings, Zone};

macro_rules! rejects {
    ($($name:ident: $settings:expr => $field:literal;)+) => {
        $(#[test] fn $name() {
            let error = Profile::try_new("p".parse().unwrap(), $settings).unwrap_err();
            assert_eq!(error.field(), $field);
        })+
    };
}

rejects! {
    empty_team: Settings { team: String::new(), ..Settings::default() } => "team";
    zero_weight: Settings { team_weight: 0, ..Settings::default() } => "team_weight";
    zero_slots: Settings { quota_slots: 0, ..Settings::default() } => "quota_slots";
    endless_wait: Settings { start_within_ms: u32::MAX, ..Settings::default() } => "start_within_ms";
    no_time: Settings { task_timeout_ms: 0, ..Settings::default() } => "task_timeout_ms";
}

#[test]
fn session_ids_survive_a_round_trip() {
    for addr in ["10.0.0.1:1", "[2001:db8::7]:65535"] {
        let home = HomeId::new(addr.parse().unwrap(), Incarnation(u64::MAX));
        let id = SessionId { home, number: 12, key: 0 };
        assert_eq!(id.to_string().parse::<SessionId>().unwrap(), id);
    }
}

#[test]
fn nonsense_is_no_session_id() {
    for text in ["", "-", "a-b-c-d", "7f0000011bbd-1-2", "é7f0000011bbd-1-2-3", "1-1-1-1"] {
        assert!(text.parse::<SessionId>().is_err(), "{text}");
    }
    assert!("zone a".parse::<Zone>().is_err());
}

#[test]
fn stored_profiles_are_checked_when_they_are_read() {
    let text = r#"{"name":"p","settings":{"team_weight":0}}"#;
    assert!(serde_json::from_str::<Profile>(text).is_err());
}

#[test]
fn jobs_have_between_1_and_110_tasks() {
    let job = |count| {
        let tasks = vec![r#"{"payload":{}}"#; count].join(",");
        let text = format!(r#"{{"profile":"p","tasks":[{tasks}]}}"#);
        serde_json::from_str::<JobSpec>(&text).unwrap().validate()
    };
    assert!(job(0).is_err() && job(1).is_ok() && job(110).is_ok() && job(111).is_err());
}
