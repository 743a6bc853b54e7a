//! Commands on sets of objects: check, diff, publish, history.

use std::path;
use std::time;

use flamingotrail_config::diff;
use flamingotrail_config::set;
use flamingotrail_core::config;
use flamingotrail_core::ids;
use flamingotrail_core::input;
use flamingotrail_core::journal;
use flamingotrail_core::publication;
use flamingotrail_core::systems::configuration;
use flamingotrail_wire::state;

use crate::client;
use crate::output;

/// Appends of one publication at most.
const MAX_APPENDS: u32 = 20;
/// Delay before an append that was refused or lost is sent again.
const RETRY: time::Duration = time::Duration::from_millis(500);

/// The stream as it stands: versions, and what became of each publication.
struct Past {
    version: ids::ConfigVersion,
    source: Option<String>,
    rows: Vec<PastRow>,
}

/// One publication.
struct PastRow {
    offset: ids::Offset,
    nonce: ids::Nonce,
    version: Option<ids::ConfigVersion>,
    author: String,
    fate: &'static str,
}

/// `check`.
pub fn check(path: &path::Path) -> Result<output::Report, client::ClientError> {
    let set = set::Set::load(path)?;
    let report = match flamingotrail_config::read(&set) {
        Ok(objects) => output::Report::lines(true, vec![summary(&objects)]),
        Err(mistakes) => {
            let lines = mistakes.iter().map(ToString::to_string).collect();
            output::Report::lines(false, lines)
        }
    };
    Ok(report)
}

fn summary(objects: &config::Config) -> String {
    format!(
        "ok: deployment={} regions={} workspaces={} models={} services={} endpoints={}",
        objects.deployment,
        objects.regions.len(),
        objects.workspaces.len(),
        objects.models.len(),
        objects.services.len(),
        objects.endpoints.len()
    )
}

async fn read_past(client: &client::Client) -> Result<Past, client::ClientError> {
    let stream = ids::StreamName::new(configuration::STREAM);
    let mut past = Past { version: ids::ConfigVersion(0), source: None, rows: Vec::new() };
    let mut seen = std::collections::BTreeSet::new();
    let mut from = ids::Offset(0);
    loop {
        let page = client.log.read(&stream, from, time::Duration::ZERO).await;
        let page = page.ok_or(client::ClientError::Log)?;
        for positioned in &page.entries {
            let Some(entry) = &positioned.entry else {
                continue;
            };
            if seen.insert(entry.nonce) {
                take_entry(&mut past, positioned, entry);
            }
        }
        from = page.next;
        if from >= page.end {
            return Ok(past);
        }
    }
}

fn take_entry(past: &mut Past, positioned: &input::StreamEntry, entry: &journal::Entry) {
    let (source, author) = match &entry.body {
        journal::Body::Publication { source, author, .. } => (source, author.clone()),
        journal::Body::Carry { source, .. } => (source, entry.writer.instance.to_string()),
        _ => return,
    };
    let valid = || {
        let set = set::Set::from_published(source);
        set.is_ok_and(|set| flamingotrail_config::read(&set).is_ok())
    };
    let (version, fate) = match publication::evaluate(past.version, &entry.body) {
        publication::PublicationOutcome::Accept { version, .. } if valid() => {
            (Some(version), "accepted")
        }
        publication::PublicationOutcome::Accept { .. } => (None, "not valid"),
        publication::PublicationOutcome::Carry { version } => (Some(version), "carried"),
        publication::PublicationOutcome::Conflict => (None, "lost race"),
        publication::PublicationOutcome::Ignore => return,
    };
    if let Some(version) = version.filter(|version| *version >= past.version) {
        past.version = version;
        past.source = Some(source.clone());
    }
    let row = PastRow { offset: positioned.offset, nonce: entry.nonce, version, author, fate };
    past.rows.push(row);
}

/// `history`.
pub async fn history(client: &client::Client) -> Result<output::Report, client::ClientError> {
    let past = read_past(client).await?;
    let rows = past.rows.iter().map(|row| {
        let version = row.version.map(|version| version.to_string()).unwrap_or_default();
        vec![version, row.fate.to_owned(), row.author.clone(), row.offset.to_string()]
    });
    let columns = ["version", "fate", "author", "offset"].map(str::to_owned).to_vec();
    let table = state::Table { name: "history".to_owned(), columns, rows: rows.collect() };
    Ok(output::Report::tables(vec![table]))
}

/// `diff`.
pub async fn diff(
    client: &client::Client,
    path: &path::Path,
) -> Result<output::Report, client::ClientError> {
    let set = set::Set::load(path)?;
    let new = match flamingotrail_config::read(&set) {
        Ok(objects) => objects,
        Err(mistakes) => {
            let lines = mistakes.iter().map(ToString::to_string).collect();
            return Ok(output::Report::lines(false, lines));
        }
    };
    let past = read_past(client).await?;
    let old = past.source.and_then(|source| set::Set::from_published(&source).ok());
    let old = old.and_then(|set| flamingotrail_config::read(&set).ok()).unwrap_or_default();
    let changes = diff::diff(&old, &new);
    let mut lines = vec![format!("against version {}: {} changes", past.version, changes.len())];
    lines.extend(changes.iter().map(ToString::to_string));
    Ok(output::Report::lines(true, lines))
}

/// `publish`.
pub async fn publish(
    client: &client::Client,
    path: &path::Path,
    base: Option<u64>,
    author: &str,
) -> Result<output::Report, client::ClientError> {
    let checked = check(path)?;
    if !checked.is_good {
        return Ok(checked);
    }
    let source = set::Set::load(path)?.to_published();
    let current = read_past(client).await?.version;
    let base = base.map_or(current, ids::ConfigVersion);
    if base != current {
        return Ok(rebase(base, current));
    }
    let writer = ids::Peer {
        instance: ids::InstanceName::new(format!("operator-{author}")),
        incarnation: ids::Incarnation(0),
    };
    let body = journal::Body::Publication { base, author: author.to_owned(), source };
    let entry = journal::Entry { nonce: nonce(), writer, body };
    settle(client, &entry, base).await
}

/// Appends the entry until it stands in the stream, and tells what became of it.
async fn settle(
    client: &client::Client,
    entry: &journal::Entry,
    base: ids::ConfigVersion,
) -> Result<output::Report, client::ClientError> {
    let stream = ids::StreamName::new(configuration::STREAM);
    for _ in 0..MAX_APPENDS {
        let appended = client.log.append(&stream, entry).await;
        // A lost answer is settled by reading: the first copy of a nonce counts.
        if let Ok(past) = read_past(client).await {
            if let Some(row) = past.rows.iter().find(|row| row.nonce == entry.nonce) {
                return Ok(fate(row, base, past.version));
            }
        }
        log::debug!("event=publish_retry appended={appended:?}");
        actix_rt::time::sleep(RETRY).await;
    }
    Err(client::ClientError::Log)
}

fn fate(row: &PastRow, base: ids::ConfigVersion, current: ids::ConfigVersion) -> output::Report {
    match row.version {
        Some(version) => {
            let line = format!("published: version={version} offset={}", row.offset);
            output::Report::lines(true, vec![line])
        }
        None => rebase(base, current),
    }
}

fn rebase(base: ids::ConfigVersion, current: ids::ConfigVersion) -> output::Report {
    let line = format!(
        "not published: the set was based on version {base}, and version {current} is in force; \
         run `flamingotrail diff`, take over what changed, and publish with --base {current}"
    );
    output::Report::lines(false, vec![line])
}

/// A number that no other publication has.
fn nonce() -> ids::Nonce {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    let nanos = u64::try_from(since.as_nanos()).unwrap_or(u64::MAX);
    ids::Nonce(nanos ^ u64::from(std::process::id()).rotate_left(48))
}
