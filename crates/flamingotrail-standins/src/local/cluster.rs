//! A whole set-up on loopback: stand-ins, daemons, a published configuration.

use std::collections;
use std::io;
use std::net;
use std::path;
use std::sync;
use std::time;

use crate::deployment;
use crate::engine;
use crate::http;
use crate::local::processes;
use crate::local::relay;
use crate::log;
use crate::tools;

/// Appends a second that the stand-in of the log takes.
const LOG_RATE: f64 = 300.0;
/// How long the stand-in of the log keeps entries.
const RETENTION: time::Duration = time::Duration::from_secs(7 * 24 * 3600);
/// Lag of the stand-in of the list.
const LIST_LAG: time::Duration = time::Duration::from_secs(1);
/// How long a service call takes.
const TOOL_LATENCY: time::Duration = time::Duration::from_millis(30);

/// A set-up.
pub struct Cluster {
    /// The deployment.
    pub deployment: deployment::Deployment,
    /// The stand-ins.
    pub fakes: sync::Arc<http::FakeSystems>,
    /// Address of the stand-ins.
    pub address: net::SocketAddr,
    /// The daemons.
    pub daemons: processes::Daemons,
    /// Links that are cut.
    pub cut_links: relay::CutLinks,
    /// Folder of keys, logs and objects.
    pub folder: path::PathBuf,
}

/// Folder of the two programs, beside the running one.
///
/// # Errors
///
/// Programs that were not built.
pub fn binary_dir() -> io::Result<path::PathBuf> {
    let own = std::env::current_exe()?;
    let folder = own.ancestors().nth(2).map(path::Path::to_owned).unwrap_or_default();
    if !folder.join("flamingotraild").is_file() || !folder.join("flamingotrail").is_file() {
        let text = format!("{} holds no flamingotraild; run scripts/test", folder.display());
        return Err(io::Error::new(io::ErrorKind::NotFound, text));
    }
    Ok(folder)
}

fn build_fakes(deployment: &deployment::Deployment) -> http::FakeSystems {
    let engines = deployment.engines().map(|endpoint| {
        let config = engine::EngineConfig {
            slots: usize::try_from(deployment.slots).unwrap_or(1),
            cache_tokens: deployment.cache_tokens,
            ..engine::EngineConfig::new()
        };
        (endpoint.name.clone(), config)
    });
    let services =
        collections::BTreeMap::from([("all".to_owned(), tools::FakeTools::new(TOOL_LATENCY))]);
    let log = log::FakeLog::new(LOG_RATE, RETENTION);
    http::FakeSystems::new(log, LIST_LAG, engines.collect(), services)
}

impl Cluster {
    /// Starts everything; ready for callers when it returns.
    ///
    /// # Errors
    ///
    /// A program that can't be run, a port that can't be used, or a set that is refused.
    pub async fn start(
        deployment: deployment::Deployment,
        entries: usize,
        folder: &path::Path,
    ) -> io::Result<Self> {
        let fakes = sync::Arc::new(build_fakes(&deployment));
        let address = processes::free_address()?;
        actix_rt::spawn(http::server::serve(fakes.clone(), address)?);
        let programs = binary_dir()?;
        let daemons = processes::Daemons::new(
            &deployment,
            entries,
            &programs,
            folder,
            fakes.clone(),
            address,
        )?;
        let cut_links = relay::CutLinks::new();
        let folder = folder.to_owned();
        let mut cluster = Cluster { deployment, fakes, address, daemons, cut_links, folder };
        let objects = cluster.deployment.objects_toml();
        let (good, text) = cluster.publish(&objects, "objects.toml", &[]).await?;
        if !good {
            return Err(io::Error::other(text));
        }
        let cut_links = cluster.cut_links.clone();
        cluster.daemons.start_all(&cut_links).await?;
        cluster.wait_for_version(1).await?;
        Ok(cluster)
    }

    /// Publishes objects by the operators' client: whether it took them, and what it said.
    ///
    /// # Errors
    ///
    /// A client that can't be run.
    pub async fn publish(
        &self,
        objects: &str,
        file: &str,
        flags: &[&str],
    ) -> io::Result<(bool, String)> {
        std::fs::create_dir_all(&self.folder)?;
        let path = self.folder.join(file);
        std::fs::write(&path, objects)?;
        let path = path.to_string_lossy().into_owned();
        let mut args = vec!["publish", &path];
        args.extend(flags);
        self.daemons.run_client(&args).await
    }

    /// Waits until every process runs a configuration version.
    ///
    /// # Errors
    ///
    /// A version that does not come into force.
    pub async fn wait_for_version(&self, version: u64) -> io::Result<()> {
        const TRIES: u32 = 150;
        const PAUSE: time::Duration = time::Duration::from_millis(100);
        let mut last = String::new();
        for _ in 0..TRIES {
            let (_, text) = self.daemons.run_client(&["status", "--output", "json"]).await?;
            if self.runs_everywhere(&text, version) {
                return Ok(());
            }
            last = text;
            actix_rt::time::sleep(PAUSE).await;
        }
        Err(io::Error::other(format!("version {version} is not in force everywhere: {last}")))
    }

    fn runs_everywhere(&self, status: &str, version: u64) -> bool {
        let parsed: serde_json::Value = serde_json::from_str(status).unwrap_or_default();
        let table = &parsed["tables"][0];
        let columns = table["columns"].as_array().cloned().unwrap_or_default();
        let Some(column) = columns.iter().position(|name| name == "config_version") else {
            return false;
        };
        let rows = table["rows"].as_array().cloned().unwrap_or_default();
        let wanted = version.to_string();
        let same = rows.iter().filter(|row| row[column] == wanted.as_str()).count();
        same >= self.daemons.rows.len()
    }

    /// Sum of a metric over all processes.
    pub async fn sum_metric(&self, name: &str) -> u64 {
        let client = awc::Client::default();
        let mut total = 0;
        for row in &self.daemons.rows {
            let url = format!("http://{}/metrics", row.admin);
            let Ok(mut response) = client.get(&url).send().await else {
                continue;
            };
            let body = response.body().await.unwrap_or_default();
            let text = String::from_utf8_lossy(&body);
            let mut lines = text.lines().filter_map(|line| line.split_once(' '));
            let value = lines.find(|(key, _)| *key == name).map(|(_, value)| value);
            total += value.and_then(|value| value.trim().parse::<u64>().ok()).unwrap_or(0);
        }
        total
    }
}
