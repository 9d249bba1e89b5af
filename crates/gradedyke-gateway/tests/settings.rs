//! Settings that are wrong are refused with their place and a remedy.

use gradedyke_gateway::settings::Settings;

fn read(decisions: &str) -> Result<Settings, String> {
    read_with(&format!(r#""decisions": {decisions},"#))
}

fn read_with(more: &str) -> Result<Settings, String> {
    let text = format!(
        r#"{{
    "name": "a-1", "data_centre": "a", "platform": "127.0.0.1:81",
    "listen": {{ "caller": "127.0.0.1:80" }},
    {more}
}}"#
    );
    Settings::read("a.jsonc", &text).map_err(|e| e.to_string())
}

#[test]
fn decisions_are_checked() {
    // Decisions, and what the error says.
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
fn a_change_is_in_force_in_the_shortest_time_that_any_kind_has() {
    // Milliseconds for the configuration, for servers that leave and for withdrawn keys, and
    // what holds for all.
    let cases = [
        (5_000, 5_000, None, 5_000),
        (5_000, 3_000, None, 3_000),
        (3_000, 5_000, None, 3_000),
        (3_000, 3_000, Some(5_000), 2_500),
        (5_000, 5_000, Some(60_000), 5_000),
        // As early as news can be there.
        (1_000, 3_000, None, 2_000),
        (3_000, 3_000, Some(3_000), 2_000),
    ];
    for (config, drain, revocation, expected) in cases {
        let revocation = revocation.map(|ms: u64| format!(r#""revocation_ms": {ms},"#));
        let more = format!(
            r#""in_force_ms": {config}, "drain_ms": {drain}, {}"#,
            revocation.unwrap_or_default()
        );
        let settings = read_with(&more).unwrap();
        assert_eq!(settings.in_force().as_millis(), expected, "{more}");
    }
    assert_eq!(read_with("").unwrap().in_force().as_millis(), 2_000);
}
