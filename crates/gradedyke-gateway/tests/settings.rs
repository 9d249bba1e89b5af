//! Settings that are wrong are refused with their place and a remedy.

use gradedyke_gateway::settings::Settings;

fn read(decisions: &str) -> Result<Settings, String> {
    let text = format!(
        r#"{{
    "name": "a-1", "data_centre": "a", "platform": "127.0.0.1:81",
    "listen": {{ "caller": "127.0.0.1:80" }},
    "decisions": {decisions},
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
