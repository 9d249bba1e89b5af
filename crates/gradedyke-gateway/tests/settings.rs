//! Validation of settings: invalid values are rejected with their position and a remedy.

use gradedyke_gateway::settings::Settings;

fn read(decisions: &str) -> Result<Settings, String> {
    read_with(&format!(r#""decisions": {decisions},"#))
}

fn read_with(extra: &str) -> Result<Settings, String> {
    let text = format!(
        r#"{{
    "name": "a-1", "data_centre": "a", "platform": "127.0.0.1:81",
    "listen": {{ "caller": "127.0.0.1:80" }},
    {extra}
}}"#
    );
    Settings::read("a.jsonc", &text).map_err(|e| e.to_string())
}

#[test]
fn invalid_decisions_are_rejected() {
    // Value of `decisions`, and a part of the expected error.
    let cases = [
        (
            r#"{ "placement": "nearest" }"#,
            "give one of cost, least_loaded",
        ),
        (r#"{ "off": ["wram"] }"#, "`warm`"),
        (r#"{ "of": [] }"#, "`off`"),
    ];
    for (decisions, expected) in cases {
        let error = read(decisions).unwrap_err();
        assert!(error.contains(expected), "{decisions}: {error}");
        assert!(error.contains("a.jsonc"), "{error}");
    }
    let settings = read(r#"{ "placement": "least_loaded", "off": ["warm"] }"#).unwrap();
    assert_eq!(settings.decisions.placement, "least_loaded");
    assert_eq!(settings.decisions.off.len(), 1);
    let default = read("{}").unwrap().decisions;
    assert_eq!((default.placement.as_str(), default.off.len()), ("cost", 0));
}

#[test]
fn propagation_limit_is_derived_from_all_configured_times() {
    // `in_force_ms`, `drain_ms`, `revocation_ms`, and the expected result in milliseconds.
    let cases = [
        (5_000, 5_000, None, 5_000),
        (5_000, 3_000, None, 3_000),
        (3_000, 5_000, None, 3_000),
        (3_000, 3_000, Some(5_000), 2_500),
        (5_000, 5_000, Some(60_000), 5_000),
        // Never below the minimum of 2 s.
        (1_000, 3_000, None, 2_000),
        (3_000, 3_000, Some(3_000), 2_000),
    ];
    for (in_force_ms, drain_ms, revocation, expected) in cases {
        let revocation = revocation.map(|ms: u64| format!(r#""revocation_ms": {ms},"#));
        let extra = format!(
            r#""in_force_ms": {in_force_ms}, "drain_ms": {drain_ms}, {}"#,
            revocation.unwrap_or_default()
        );
        let settings = read_with(&extra).unwrap();
        assert_eq!(
            settings.propagation_limit().as_millis(),
            expected,
            "{extra}"
        );
    }
    assert_eq!(
        read_with("").unwrap().propagation_limit().as_millis(),
        2_000
    );
}
