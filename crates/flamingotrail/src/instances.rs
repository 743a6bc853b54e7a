//! Commands that query or control instances: `status`, `dump`, `drain` and `explain`.

use awc::http::Method;
use flamingotrail_platform::http;
use flamingotrail_wire::platform;
use flamingotrail_wire::state;

use crate::client;
use crate::output;

fn parse_body<T: serde::de::DeserializeOwned>(
    admin: &str,
    body: &[u8],
) -> Result<T, client::ClientError> {
    let parsed = serde_json::from_slice(body);
    Ok(parsed.map_err(|error| http::HttpError::invalid_response(admin, error))?)
}

async fn fetch_tables(
    client: &client::Client,
    admin: &str,
) -> Result<Vec<state::Table>, client::ClientError> {
    let body = client.request(Method::GET, admin, "/dump").await?;
    parse_body(admin, &body)
}

/// `dump`: shows the tables of an instance, or only the one named `table`.
pub async fn dump(
    client: &client::Client,
    admin: &str,
    table: &str,
) -> Result<output::Report, client::ClientError> {
    let mut tables = fetch_tables(client, admin).await?;
    if !table.is_empty() {
        tables.retain(|candidate| candidate.name == table);
    }
    Ok(output::Report::tables(tables))
}

/// `drain`: shuts down an instance gracefully.
pub async fn drain(
    client: &client::Client,
    admin: &str,
) -> Result<output::Report, client::ClientError> {
    let body = client.request(Method::POST, admin, "/drain").await?;
    Ok(output::Report::text(String::from_utf8_lossy(&body).into_owned()))
}

/// `explain`: shows the recorded decisions whose subject contains `about`.
pub async fn explain(
    client: &client::Client,
    admin: &str,
    about: &str,
) -> Result<output::Report, client::ClientError> {
    let admins = match admin {
        "" => client.list_instances().await?.into_iter().map(|listed| listed.admin).collect(),
        admin => vec![admin.to_owned()],
    };
    let mut tables = Vec::new();
    for admin in admins.iter().filter(|admin| !admin.is_empty()) {
        let path = format!("/explain?about={about}");
        let Ok(body) = client.request(Method::GET, admin, &path).await else {
            continue;
        };
        let mut table: state::Table = parse_body(admin, &body)?;
        if !table.rows.is_empty() {
            table.name = format!("decisions of {admin}");
            tables.push(table);
        }
    }
    if tables.is_empty() {
        let line = format!("no reachable instance has recorded a decision about `{about}`");
        return Ok(output::Report::lines(false, vec![line]));
    }
    Ok(output::Report::tables(tables))
}

/// `status`: shows all listed instances, their partitions and their endpoints.
pub async fn status(client: &client::Client) -> Result<output::Report, client::ClientError> {
    let list = client.list_instances().await?;
    let mut instances = new_table(
        "instances",
        &["instance", "state", "role", "region", "domain", "config_version", "draining", "admin"],
    );
    let mut partitions = new_table("partitions", &["partition", "owner", "epoch", "pending"]);
    let mut endpoints =
        new_table("endpoints", &["endpoint", "instance", "fence", "running", "waiting", "holds"]);
    for listed in &list {
        match fetch_tables(client, &listed.admin).await {
            Ok(tables) => {
                let view = InstanceView { listed, tables: &tables };
                instances.rows.push(view.instance_row());
                partitions.rows.extend(view.partition_rows());
                endpoints.rows.extend(view.endpoint_row());
            }
            Err(_) => instances.rows.push(unreachable_row(listed)),
        }
    }
    partitions.rows.sort();
    Ok(output::Report::tables(vec![instances, partitions, endpoints]))
}

fn new_table(name: &str, columns: &[&str]) -> state::Table {
    let columns = columns.iter().map(|column| (*column).to_owned()).collect();
    state::Table { name: name.to_owned(), columns, rows: Vec::new() }
}

fn unreachable_row(listed: &platform::ListedInstance) -> Vec<String> {
    let empty = String::new;
    let role = if listed.endpoint.is_some() { "endpoint" } else { "entry" };
    vec![
        listed.instance.clone(),
        "unreachable".to_owned(),
        role.to_owned(),
        listed.region.clone(),
        listed.domain.clone(),
        empty(),
        empty(),
        listed.admin.clone(),
    ]
}

/// Tables of an instance and its entry in the platform's instance list.
struct InstanceView<'a> {
    listed: &'a platform::ListedInstance,
    tables: &'a [state::Table],
}

impl InstanceView<'_> {
    fn rows(&self, name: &str) -> Vec<std::collections::BTreeMap<&str, &str>> {
        let table = self.tables.iter().find(|table| table.name == name);
        table.map(state::Table::rows_by_column).unwrap_or_default()
    }

    fn process_column(&self, column: &str) -> String {
        let rows = self.rows("process");
        let value = rows.first().and_then(|row| row.get(column).copied());
        value.unwrap_or_default().to_owned()
    }

    fn instance_row(&self) -> Vec<String> {
        vec![
            self.listed.instance.clone(),
            self.listed.state.clone(),
            self.process_column("role"),
            self.listed.region.clone(),
            self.listed.domain.clone(),
            self.process_column("config_version"),
            self.process_column("draining"),
            self.listed.admin.clone(),
        ]
    }

    fn partition_rows(&self) -> Vec<Vec<String>> {
        let rows = self.rows("partitions");
        let owned = rows.iter().filter(|row| row.get("standing") == Some(&"owned"));
        owned
            .map(|row| {
                let value = |column| row.get(column).copied().unwrap_or_default().to_owned();
                let owner = self.listed.instance.clone();
                vec![value("partition"), owner, value("epoch"), value("pending")]
            })
            .collect()
    }

    fn endpoint_row(&self) -> Option<Vec<String>> {
        let endpoint = self.listed.endpoint.clone()?;
        let runs = self.rows("runs");
        let running = runs.iter().filter(|row| row.get("started") == Some(&"true")).count();
        Some(vec![
            endpoint,
            self.listed.instance.clone(),
            self.process_column("fence"),
            running.to_string(),
            (runs.len() - running).to_string(),
            self.rows("holds").len().to_string(),
        ])
    }
}
