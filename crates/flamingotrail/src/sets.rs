//! Commands for configuration sets: `check`, `diff`, `publish` and `history`.

use std::path;
use std::time;

use flamingotrail_config::config_set;
use flamingotrail_config::diff;
use flamingotrail_core::config;
use flamingotrail_core::ids;
use flamingotrail_core::input;
use flamingotrail_core::journal;
use flamingotrail_core::publication;
use flamingotrail_core::systems::configuration;
use flamingotrail_wire::state;

use crate::client;
use crate::output;

/// Maximum number of attempts to append a publication.
const MAX_APPENDS: u32 = 20;
/// Delay before an append that was rejected or lost is retried.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(500);

/// Publications in the configuration stream, with the current version and its source.
struct PublicationHistory {
    version: ids::ConfigVersion,
    source: Option<String>,
    rows: Vec<PublicationRow>,
}

/// A publication and its outcome.
struct PublicationRow {
    offset: ids::Offset,
    nonce: ids::Nonce,
    version: Option<ids::ConfigVersion>,
    author: String,
    outcome: &'static str,
}

/// `check`: validates a set.
pub fn check(path: &path::Path) -> Result<output::Report, client::ClientError> {
    let set = config_set::ConfigSet::load(path)?;
    let report = match flamingotrail_config::parse(&set) {
        Ok(config) => output::Report::lines(true, vec![summary(&config)]),
        Err(diagnostics) => {
            let lines = diagnostics.iter().map(ToString::to_string).collect();
            output::Report::lines(false, lines)
        }
    };
    Ok(report)
}

fn summary(config: &config::Config) -> String {
    format!(
        "ok: deployment={} regions={} workspaces={} models={} services={} endpoints={}",
        config.deployment,
        config.regions.len(),
        config.workspaces.len(),
        config.models.len(),
        config.services.len(),
        config.endpoints.len()
    )
}

async fn read_history(client: &client::Client) -> Result<PublicationHistory, client::ClientError> {
    let stream = ids::StreamName::new(configuration::STREAM);
    let mut history =
        PublicationHistory { version: ids::ConfigVersion(0), source: None, rows: Vec::new() };
    let mut seen_nonces = std::collections::BTreeSet::new();
    let mut from = ids::Offset(0);
    loop {
        let page = client.log.read(&stream, from, time::Duration::ZERO).await;
        let page = page.ok_or(client::ClientError::LogUnavailable)?;
        for stream_entry in &page.entries {
            let Some(entry) = &stream_entry.entry else {
                continue;
            };
            if seen_nonces.insert(entry.nonce) {
                apply_entry(&mut history, stream_entry, entry);
            }
        }
        from = page.next;
        if from >= page.end {
            return Ok(history);
        }
    }
}

fn apply_entry(
    history: &mut PublicationHistory,
    stream_entry: &input::StreamEntry,
    entry: &journal::Entry,
) {
    let (source, author) = match &entry.body {
        journal::Body::Publication { source, author, .. } => (source, author.clone()),
        journal::Body::Carry { source, .. } => (source, entry.writer.instance.to_string()),
        _ => return,
    };
    let is_valid = || {
        let set = config_set::ConfigSet::from_toml(source);
        set.is_ok_and(|set| flamingotrail_config::parse(&set).is_ok())
    };
    let (version, outcome) = match publication::evaluate(history.version, &entry.body) {
        publication::PublicationOutcome::Accept { version, .. } if is_valid() => {
            (Some(version), "accepted")
        }
        publication::PublicationOutcome::Accept { .. } => (None, "not valid"),
        publication::PublicationOutcome::Carry { version } => (Some(version), "carried"),
        publication::PublicationOutcome::Conflict => (None, "lost race"),
        publication::PublicationOutcome::Ignore => return,
    };
    if let Some(version) = version.filter(|version| *version >= history.version) {
        history.version = version;
        history.source = Some(source.clone());
    }
    let row = PublicationRow {
        offset: stream_entry.offset,
        nonce: entry.nonce,
        version,
        author,
        outcome,
    };
    history.rows.push(row);
}

/// `history`: lists the publications.
pub async fn history(client: &client::Client) -> Result<output::Report, client::ClientError> {
    let history = read_history(client).await?;
    let rows = history.rows.iter().map(|row| {
        let version = row.version.map(|version| version.to_string()).unwrap_or_default();
        vec![version, row.outcome.to_owned(), row.author.clone(), row.offset.to_string()]
    });
    let columns = ["version", "fate", "author", "offset"].map(str::to_owned).to_vec();
    let table = state::Table { name: "history".to_owned(), columns, rows: rows.collect() };
    Ok(output::Report::tables(vec![table]))
}

/// `diff`: compares a set with the current configuration.
pub async fn diff(
    client: &client::Client,
    path: &path::Path,
) -> Result<output::Report, client::ClientError> {
    let set = config_set::ConfigSet::load(path)?;
    let new = match flamingotrail_config::parse(&set) {
        Ok(config) => config,
        Err(diagnostics) => {
            let lines = diagnostics.iter().map(ToString::to_string).collect();
            return Ok(output::Report::lines(false, lines));
        }
    };
    let history = read_history(client).await?;
    let old = history.source.and_then(|source| config_set::ConfigSet::from_toml(&source).ok());
    let old = old.and_then(|set| flamingotrail_config::parse(&set).ok()).unwrap_or_default();
    let changes = diff::diff(&old, &new);
    let mut lines =
        vec![format!("compared with version {}: {} changes", history.version, changes.len())];
    lines.extend(changes.iter().map(ToString::to_string));
    Ok(output::Report::lines(true, lines))
}

/// `publish`: validates a set and appends it to the configuration stream.
pub async fn publish(
    client: &client::Client,
    path: &path::Path,
    base: Option<u64>,
    author: &str,
) -> Result<output::Report, client::ClientError> {
    let report = check(path)?;
    if !report.is_good {
        return Ok(report);
    }
    let source = config_set::ConfigSet::load(path)?.to_toml();
    let current = read_history(client).await?.version;
    let base = base.map_or(current, ids::ConfigVersion);
    if base != current {
        return Ok(conflict_report(base, current));
    }
    let writer = ids::Peer {
        instance: ids::InstanceName::new(format!("operator-{author}")),
        incarnation: ids::Incarnation(0),
    };
    let body = journal::Body::Publication { base, author: author.to_owned(), source };
    let entry = journal::Entry { nonce: unique_nonce(), writer, body };
    append_until_published(client, &entry, base).await
}

/// Appends the entry repeatedly until it is in the stream, and reports the outcome of its
/// publication.
async fn append_until_published(
    client: &client::Client,
    entry: &journal::Entry,
    base: ids::ConfigVersion,
) -> Result<output::Report, client::ClientError> {
    let stream = ids::StreamName::new(configuration::STREAM);
    for _ in 0..MAX_APPENDS {
        let result = client.log.append(&stream, entry).await;
        // The response to the append may be lost, so the outcome is read from the stream. Of
        // several copies of a nonce, only the first counts.
        if let Ok(history) = read_history(client).await {
            if let Some(row) = history.rows.iter().find(|row| row.nonce == entry.nonce) {
                return Ok(publication_report(row, base, history.version));
            }
        }
        log::debug!("event=publish_retry appended={result:?}");
        actix_rt::time::sleep(RETRY_DELAY).await;
    }
    Err(client::ClientError::LogUnavailable)
}

fn publication_report(
    row: &PublicationRow,
    base: ids::ConfigVersion,
    current: ids::ConfigVersion,
) -> output::Report {
    match row.version {
        Some(version) => {
            let line = format!("published: version={version} offset={}", row.offset);
            output::Report::lines(true, vec![line])
        }
        None => conflict_report(base, current),
    }
}

fn conflict_report(base: ids::ConfigVersion, current: ids::ConfigVersion) -> output::Report {
    let line = format!(
        "not published: the set is based on version {base}, but the current version is {current}; \
         run `flamingotrail diff`, merge the changes, and publish with --base {current}"
    );
    output::Report::lines(false, vec![line])
}

/// Returns a nonce from the clock and the process id, unique to this publication.
fn unique_nonce() -> ids::Nonce {
    #[allow(clippy::disallowed_methods, reason = "a number that differs; nothing is ordered by it")]
    let elapsed = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    let nanos = u64::try_from(elapsed.as_nanos()).unwrap_or(u64::MAX);
    ids::Nonce(nanos ^ u64::from(std::process::id()).rotate_left(48))
}
