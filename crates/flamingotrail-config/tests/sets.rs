//! Parsing, validation and comparison of configuration sets.

use flamingotrail_config::config_set;
use flamingotrail_config::diff;

fn valid_config() -> String {
    let digest = flamingotrail_core::digest::hash_token("desk-token");
    format!(
        "[deployment]\nname = \"fjordhest\"\n\n\
         [region.vestland]\ndomains = [\"vestland-a\"]\n\n\
         [priority.normal]\nrank = 1\n\n\
         [budget.program]\nlimit = 1000\n\n\
         [model.stable]\n\n\
         [service.ledger]\nrepeatable = false\n\n\
         [workspace.desk]\nkey_digests = [\"{digest}\"]\npriority = \"normal\"\n\
         budget = \"program\"\nmodels = [\"stable\"]\n\n\
         [endpoint.stable-1]\nmodels = [\"stable\"]\nslots = 4\n\n\
         [endpoint.ledger-1]\nservices = [\"ledger\"]\nslots = 4\n"
    )
}

fn parse_diagnostics(text: &str) -> Vec<String> {
    let parsed = flamingotrail_config::parse(&config_set::ConfigSet::new("objects.toml", text));
    parsed.err().unwrap_or_default().iter().map(ToString::to_string).collect()
}

#[test]
fn a_valid_set_is_parsed() {
    let config =
        flamingotrail_config::parse(&config_set::ConfigSet::new("objects.toml", &valid_config()));

    let config = config.expect("the set is valid");
    assert_eq!(config.endpoints.len(), 2);
    assert_eq!(config.deployment, "fjordhest");
}

#[test]
fn an_undefined_reference_is_reported_with_file_line_and_help() {
    let text = valid_config().replace("priority = \"normal\"", "priority = \"first\"");

    let diagnostics = parse_diagnostics(&text);

    let line = text.lines().position(|line| line == "[workspace.desk]").unwrap_or(0) + 1;
    assert_eq!(diagnostics.len(), 1, "{diagnostics:?}");
    assert!(diagnostics[0].starts_with(&format!("objects.toml:{line}:")), "{diagnostics:?}");
    assert!(
        diagnostics[0].contains("priority `first`") && diagnostics[0].contains("[priority.first]")
    );
}

#[test]
fn all_errors_are_reported_at_once() {
    let text = valid_config()
        .replace("slots = 4\n\n", "slots = 0\n\n")
        .replace("limit = 1000", "limit = 0")
        .replace("domains = [\"vestland-a\"]", "domains = []")
        .replace("repeatable = false", "repeatable = \"perhaps\"");

    let diagnostics = parse_diagnostics(&text);

    for expected in ["no slots", "allows no calls", "no failure domain", "expected a boolean"] {
        assert!(
            diagnostics.iter().any(|diagnostic| diagnostic.contains(expected)),
            "{expected} is not in {diagnostics:?}"
        );
    }
}

#[test]
fn an_unknown_field_is_an_error() {
    let text = valid_config().replace("rank = 1", "rank = 1\ncolour = \"red\"");

    let diagnostics = parse_diagnostics(&text);

    assert!(diagnostics.iter().any(|diagnostic| diagnostic.contains("colour")), "{diagnostics:?}");
}

#[test]
fn an_object_defined_in_two_files_is_an_error() {
    let mut set = config_set::ConfigSet::new("a.toml", &valid_config());
    set.files.extend(config_set::ConfigSet::new("b.toml", "[model.stable]\n").files);

    let diagnostics = flamingotrail_config::parse(&set).err().unwrap_or_default();

    assert!(diagnostics
        .iter()
        .any(|diagnostic| diagnostic.file == "b.toml" && diagnostic.message.contains("twice")));
}

#[test]
fn a_set_round_trips_through_its_published_text() {
    let set = config_set::ConfigSet::new("objects.toml", &valid_config());

    let parsed = config_set::ConfigSet::from_toml(&set.to_toml());

    assert_eq!(parsed.ok(), Some(set));
}

#[test]
fn a_diff_lists_the_changed_objects() {
    let old = flamingotrail_config::parse(&config_set::ConfigSet::new("a", &valid_config()))
        .expect("the set is valid");
    let text = valid_config()
        .replace("slots = 4\n\n", "slots = 8\n\n")
        .replace("[model.stable]\n\n", "[model.stable]\n\n[model.big]\n\n");
    let new = flamingotrail_config::parse(&config_set::ConfigSet::new("a", &text))
        .expect("the set is valid");

    let changes = diff::diff(&old, &new);

    assert_eq!(changes.len(), 2, "{changes:?}");
    assert!(changes.contains(&diff::Change::Added("model.big".to_owned())));
}
