//! Checks over whole sets.

use flamingotrail_config::diff;
use flamingotrail_config::set;

fn good() -> String {
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

fn mistakes(text: &str) -> Vec<String> {
    let checked = flamingotrail_config::read(&set::Set::new("objects.toml", text));
    checked.err().unwrap_or_default().iter().map(ToString::to_string).collect()
}

#[test]
fn a_good_set_is_read() {
    let objects = flamingotrail_config::read(&set::Set::new("objects.toml", &good()));

    let objects = objects.expect("the set is good");
    assert_eq!(objects.endpoints.len(), 2);
    assert_eq!(objects.deployment, "fjordhest");
}

#[test]
fn a_reference_to_nothing_is_named_with_file_line_and_remedy() {
    let text = good().replace("priority = \"normal\"", "priority = \"first\"");

    let found = mistakes(&text);

    let line = text.lines().position(|line| line == "[workspace.desk]").unwrap_or(0) + 1;
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].starts_with(&format!("objects.toml:{line}:")), "{found:?}");
    assert!(found[0].contains("priority `first`") && found[0].contains("[priority.first]"));
}

#[test]
fn every_mistake_is_reported_at_once() {
    let text = good()
        .replace("slots = 4\n\n", "slots = 0\n\n")
        .replace("limit = 1000", "limit = 0")
        .replace("domains = [\"vestland-a\"]", "domains = []")
        .replace("repeatable = false", "repeatable = \"perhaps\"");

    let found = mistakes(&text);

    for wanted in ["no slot", "lets no call run", "no failure domain", "expected a boolean"] {
        assert!(found.iter().any(|one| one.contains(wanted)), "{wanted} is not in {found:?}");
    }
}

#[test]
fn an_unknown_field_is_a_mistake() {
    let text = good().replace("rank = 1", "rank = 1\ncolour = \"red\"");

    let found = mistakes(&text);

    assert!(found.iter().any(|one| one.contains("colour")), "{found:?}");
}

#[test]
fn an_object_that_stands_in_two_files_is_a_mistake() {
    let mut set = set::Set::new("a.toml", &good());
    set.files.extend(set::Set::new("b.toml", "[model.stable]\n").files);

    let found = flamingotrail_config::read(&set).err().unwrap_or_default();

    assert!(found.iter().any(|one| one.file == "b.toml" && one.problem.contains("twice")));
}

#[test]
fn a_published_set_is_read_back() {
    let set = set::Set::new("objects.toml", &good());

    let read = set::Set::from_published(&set.to_published());

    assert_eq!(read.ok(), Some(set));
}

#[test]
fn a_difference_names_what_changed() {
    let old = flamingotrail_config::read(&set::Set::new("a", &good())).expect("it is good");
    let text = good()
        .replace("slots = 4\n\n", "slots = 8\n\n")
        .replace("[model.stable]\n\n", "[model.stable]\n\n[model.big]\n\n");
    let new = flamingotrail_config::read(&set::Set::new("a", &text)).expect("it is good");

    let changes = diff::diff(&old, &new);

    assert_eq!(changes.len(), 2, "{changes:?}");
    assert!(changes.contains(&diff::Change::Added("model.big".to_owned())));
}
