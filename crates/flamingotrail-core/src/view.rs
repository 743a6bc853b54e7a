//! Read-only views of a world's tables, for state dumps and metrics.

use crate::ids;
use crate::tables::calls;
use crate::tables::partitions;
use crate::time;
use crate::world;

/// A table rendered as text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Table {
    /// Name of the table.
    pub name: &'static str,
    /// Column names.
    pub columns: Vec<&'static str>,
    /// Rows, with one value per column.
    pub rows: Vec<Vec<String>>,
}

/// Maximum number of rows in a view of one table.
const MAX_ROWS: usize = 10_000;

/// Returns views of all tables of the world.
pub fn tables(world: &world::World, now: time::Timestamp) -> Vec<Table> {
    vec![
        process(world),
        instances(world, now),
        endpoints(world),
        partition_table(world),
        programs(world),
        conversations(world),
        calls(world, now),
        effects(world),
        runs(world),
        holds(world),
        suspects(world),
        requests(world),
        outbox(world),
    ]
}

/// Returns the recorded decisions whose subject contains `about`, oldest first. An empty `about`
/// matches all.
pub fn decisions(world: &world::World, about: &str) -> Table {
    let rows = world.tables.decisions.rows.iter();
    let matching = rows.filter(|row| row.about.contains(about));
    let rows = matching
        .map(|row| vec![row.at.as_micros().to_string(), row.about.clone(), row.text.clone()]);
    Table { name: "decisions", columns: vec!["at_us", "about", "decision"], rows: rows.collect() }
}

fn table(
    name: &'static str,
    columns: &[&'static str],
    rows: impl Iterator<Item = Vec<String>>,
) -> Table {
    Table { name, columns: columns.to_vec(), rows: rows.take(MAX_ROWS).collect() }
}

fn process(world: &world::World) -> Table {
    let identity = &world.identity;
    let row = vec![
        identity.peer.instance.to_string(),
        identity.peer.incarnation.to_string(),
        format!("{:?}", identity.role).to_lowercase(),
        identity.region.to_string(),
        identity.domain.to_string(),
        identity.endpoint.as_ref().map(ids::EndpointName::to_string).unwrap_or_default(),
        world.tables.configuration.version().to_string(),
        (!world.accepts_work()).to_string(),
        world.tables.endpoints.fence.map(|fence| fence.to_string()).unwrap_or_default(),
    ];
    let columns = [
        "instance",
        "incarnation",
        "role",
        "region",
        "domain",
        "endpoint",
        "config_version",
        "draining",
        "fence",
    ];
    table("process", &columns, std::iter::once(row))
}

fn instances(world: &world::World, now: time::Timestamp) -> Table {
    let rows = world.tables.instances.rows.iter().map(|(name, row)| {
        let silent_ms = row.last_heard_at.map(|at| now.since(at).as_millis().to_string());
        vec![
            name.to_string(),
            row.incarnation.map(|i| i.to_string()).unwrap_or_default(),
            row.listed.is_some().to_string(),
            row.is_leaving().to_string(),
            row.suspected.to_string(),
            silent_ms.unwrap_or_default(),
            row.watch_count.to_string(),
        ]
    });
    let columns =
        ["instance", "incarnation", "listed", "leaving", "suspected", "silent_ms", "watches"];
    table("instances", &columns, rows)
}

fn endpoints(world: &world::World) -> Table {
    let rows = world.tables.endpoints.rows.iter().map(|(name, row)| {
        vec![
            name.to_string(),
            row.load.running.to_string(),
            row.load.queued.to_string(),
            format!("{:.3}", row.load.wait_s),
            row.outstanding.to_string(),
            format!("{:.3}", row.mean_run_s),
        ]
    });
    let columns = ["endpoint", "running", "queued", "wait_s", "outstanding", "mean_run_s"];
    table("endpoints", &columns, rows)
}

fn partition_table(world: &world::World) -> Table {
    let rows = world.tables.partitions.rows.iter().map(|(partition, row)| {
        let ownership = match &row.ownership {
            partitions::OwnershipState::Asking => "asking",
            partitions::OwnershipState::Probing { .. } => "probing",
            partitions::OwnershipState::Claiming { .. } => "claiming",
            partitions::OwnershipState::Owned { .. } => "owned",
        };
        vec![
            partition.to_string(),
            ownership.to_owned(),
            row.epoch().map(|epoch| epoch.to_string()).unwrap_or_default(),
            row.replay.cursor.to_string(),
            row.pending_records.len().to_string(),
            row.waiting_submits.len().to_string(),
            row.append_count.to_string(),
            row.append_interval.as_millis().to_string(),
        ]
    });
    let columns = [
        "partition",
        "standing",
        "epoch",
        "cursor",
        "pending",
        "waiting",
        "appends",
        "interval_ms",
    ];
    table("partitions", &columns, rows)
}

fn programs(world: &world::World) -> Table {
    let rows = world.tables.programs.rows.iter().map(|(program, row)| {
        vec![
            program.to_string(),
            row.root.to_string(),
            row.workspace.to_string(),
            row.ended.to_string(),
            row.account.granted.to_string(),
            row.account.spent.to_string(),
            row.account.reserved.to_string(),
            row.account.turns.to_string(),
        ]
    });
    let columns =
        ["program", "root", "workspace", "ended", "granted", "spent", "reserved", "turns"];
    table("programs", &columns, rows)
}

fn conversations(world: &world::World) -> Table {
    let rows = world.tables.conversations.rows.iter().map(|(conversation, row)| {
        let location = row.context_location.as_ref();
        vec![
            conversation.to_string(),
            row.program.to_string(),
            row.last_turn.to_string(),
            row.journaled_turn.to_string(),
            row.active_turns.len().to_string(),
            location.map(|location| location.endpoint.to_string()).unwrap_or_default(),
            location.map(|location| location.tokens.to_string()).unwrap_or_default(),
        ]
    });
    let columns =
        ["conversation", "program", "last_turn", "journaled", "calls", "endpoint", "cached_tokens"];
    table("conversations", &columns, rows)
}

fn state_name(state: &calls::State) -> &'static str {
    match state {
        calls::State::Waiting => "waiting",
        calls::State::Ready => "ready",
        calls::State::Granting => "granting",
        calls::State::Intending => "intending",
        calls::State::Placing => "placing",
        calls::State::Delayed => "delayed",
        calls::State::Running { .. } => "running",
        calls::State::Recovering { .. } => "recovering",
        calls::State::Journaling => "journaling",
    }
}

fn calls(world: &world::World, now: time::Timestamp) -> Table {
    let rows = world.tables.calls.rows.iter().map(|(key, row)| {
        let endpoint = match &row.state {
            calls::State::Running { endpoint, .. } => endpoint.to_string(),
            _ => String::new(),
        };
        vec![
            key.to_string(),
            state_name(&row.state).to_owned(),
            endpoint,
            row.attempts.to_string(),
            row.reserved.to_string(),
            now.since(row.accepted_at).as_millis().to_string(),
            row.deadline.since(now).as_millis().to_string(),
        ]
    });
    let columns = ["call", "state", "endpoint", "attempts", "reserved", "age_ms", "left_ms"];
    table("calls", &columns, rows)
}

fn effects(world: &world::World) -> Table {
    let rows = world.tables.effects.rows.iter().map(|(key, row)| {
        let state = format!("{:?}", row.state);
        let state = state.split([' ', '{']).next().unwrap_or_default().to_lowercase();
        vec![key.root.to_string(), key.key.clone(), row.call.to_string(), state]
    });
    table("effects", &["root", "key", "call", "state"], rows)
}

fn runs(world: &world::World) -> Table {
    let rows = world.tables.runs.rows.iter().map(|(attempt, row)| {
        vec![
            attempt.to_string(),
            row.owner.to_string(),
            row.dispatch.workspace.to_string(),
            row.started_at.is_some().to_string(),
            row.dispatch.attained.to_string(),
        ]
    });
    table("runs", &["attempt", "owner", "workspace", "started", "attained"], rows)
}

fn holds(world: &world::World) -> Table {
    let rows = world.tables.holds.rows.iter().map(|(id, row)| {
        let program = row.program.as_ref().map(ids::ProgramId::to_string);
        vec![id.to_string(), program.unwrap_or_default(), row.releasing.to_string()]
    });
    table("holds", &["hold", "program", "releasing"], rows)
}

fn suspects(world: &world::World) -> Table {
    let rows = world.tables.suspects.rows.iter();
    let rows =
        rows.map(|(fingerprint, verdict)| vec![fingerprint.to_string(), format!("{verdict:?}")]);
    table("suspects", &["fingerprint", "verdict"], rows)
}

fn requests(world: &world::World) -> Table {
    let rows = world.tables.requests.rows.iter().map(|(request, row)| {
        vec![
            request.to_string(),
            row.submit.program.to_string(),
            row.submit.hop.to_string(),
            row.instance.as_ref().map(ids::InstanceName::to_string).unwrap_or_default(),
            row.accepted.to_string(),
        ]
    });
    table("requests", &["request", "program", "hop", "instance", "accepted"], rows)
}

fn outbox(world: &world::World) -> Table {
    let rows = world.tables.outbox.rows.iter().map(|(number, row)| {
        let kind = row.envelope.message.kind().to_owned();
        vec![number.to_string(), row.to.to_string(), kind, row.send_count.to_string()]
    });
    table("outbox", &["number", "to", "message", "sendings"], rows)
}
