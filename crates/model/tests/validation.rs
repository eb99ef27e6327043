//! Parsing of identifiers, and validation of profiles and jobs.

use ggb_model::{HomeId, Incarnation, JobSpec, Profile, SessionId, Settings, Zone};

macro_rules! rejects_settings {
    ($($name:ident: $settings:expr => $field:literal;)+) => {
        $(#[test] fn $name() {
            let error = Profile::try_new("p".parse().unwrap(), $settings).unwrap_err();
            assert_eq!(error.field(), $field);
        })+
    };
}

rejects_settings! {
    empty_team_is_rejected:
        Settings { team: String::new(), ..Settings::default() } => "team";
    zero_team_weight_is_rejected:
        Settings { team_weight: 0, ..Settings::default() } => "team_weight";
    zero_slot_quota_is_rejected:
        Settings { quota_slots: 0, ..Settings::default() } => "quota_slots";
    start_limit_above_maximum_is_rejected:
        Settings { start_within_ms: u32::MAX, ..Settings::default() } => "start_within_ms";
    zero_task_timeout_is_rejected:
        Settings { task_timeout_ms: 0, ..Settings::default() } => "task_timeout_ms";
}

#[test]
fn session_id_parses_from_its_own_text() {
    for addr in ["10.0.0.1:1", "[2001:db8::7]:65535"] {
        let home = HomeId::new(addr.parse().unwrap(), Incarnation(u64::MAX));
        let id = SessionId { home, number: 12, secret: 0 };
        assert_eq!(id.to_string().parse::<SessionId>().unwrap(), id);
    }
}

#[test]
fn malformed_ids_are_rejected() {
    for text in ["", "-", "a-b-c-d", "7f0000011bbd-1-2", "é7f0000011bbd-1-2-3", "1-1-1-1"] {
        assert!(text.parse::<SessionId>().is_err(), "{text}");
    }
    assert!("zone a".parse::<Zone>().is_err());
}

#[test]
fn deserializing_a_profile_with_invalid_settings_fails() {
    let text = r#"{"name":"p","settings":{"team_weight":0}}"#;
    assert!(serde_json::from_str::<Profile>(text).is_err());
}

#[test]
fn only_jobs_of_1_to_110_tasks_are_valid() {
    let job = |count| {
        let tasks = vec![r#"{"payload":{}}"#; count].join(",");
        let text = format!(r#"{{"profile":"p","tasks":[{tasks}]}}"#);
        serde_json::from_str::<JobSpec>(&text).unwrap().validate()
    };
    assert!(job(0).is_err() && job(1).is_ok() && job(110).is_ok() && job(111).is_err());
}
