//! A cluster on loopback: fakes, daemons and a published configuration.

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
use crate::service;

/// Appends per second that the fake log accepts.
const LOG_APPENDS_PER_S: f64 = 300.0;
/// Retention of the fake log.
const LOG_RETENTION: time::Duration = time::Duration::from_secs(7 * 24 * 3600);
/// Delay after which the fake instance list shows a change.
const LIST_LAG: time::Duration = time::Duration::from_secs(1);
/// Latency of a call to a fake service.
const SERVICE_LATENCY: time::Duration = time::Duration::from_millis(30);

/// A running cluster.
pub struct Cluster {
    /// The deployment that the cluster runs.
    pub deployment: deployment::Deployment,
    /// The fakes of the external systems.
    pub fakes: sync::Arc<http::FakeSystems>,
    /// Address of the HTTP server of the fakes.
    pub fakes_address: net::SocketAddr,
    /// The daemon processes.
    pub daemons: processes::Daemons,
    /// Links that are cut.
    pub cut_links: relay::CutLinks,
    /// Folder of keys, log files and published configurations.
    pub folder: path::PathBuf,
}

/// Returns the folder with the binaries of the daemon and the client, found from the path of the
/// running executable.
///
/// # Errors
///
/// Returns an error if the binaries are not built.
pub fn binary_dir() -> io::Result<path::PathBuf> {
    let executable = std::env::current_exe()?;
    let folder = executable.ancestors().nth(2).map(path::Path::to_owned).unwrap_or_default();
    if !folder.join("flamingotraild").is_file() || !folder.join("flamingotrail").is_file() {
        let text = format!(
            "flamingotraild and flamingotrail are not both in {}; run scripts/test to build them",
            folder.display()
        );
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
    let services = collections::BTreeMap::from([(
        "all".to_owned(),
        service::FakeService::new(SERVICE_LATENCY),
    )]);
    let log = log::FakeLog::new(LOG_APPENDS_PER_S, LOG_RETENTION);
    http::FakeSystems::new(log, LIST_LAG, engines.collect(), services)
}

impl Cluster {
    /// Starts the fakes and the daemons, publishes the configuration, and returns once every daemon
    /// runs it.
    ///
    /// # Errors
    ///
    /// Returns an error if a program can't be run, an address can't be bound, or the configuration
    /// is rejected.
    pub async fn start(
        deployment: deployment::Deployment,
        entries: usize,
        folder: &path::Path,
    ) -> io::Result<Self> {
        Cluster::start_with_environment(deployment, entries, folder, &[]).await
    }

    /// Starts a cluster whose daemons have additional environment variables.
    ///
    /// # Errors
    ///
    /// Returns the errors of `start`.
    pub async fn start_with_environment(
        deployment: deployment::Deployment,
        entries: usize,
        folder: &path::Path,
        environment: &[(&str, &str)],
    ) -> io::Result<Self> {
        let fakes = sync::Arc::new(build_fakes(&deployment));
        let fakes_address = processes::free_address()?;
        actix_rt::spawn(http::server::serve(fakes.clone(), fakes_address)?);
        let binary_dir = binary_dir()?;
        let daemons = processes::Daemons::new(
            &deployment,
            entries,
            &binary_dir,
            folder,
            fakes.clone(),
            fakes_address,
        )?;
        let daemons = daemons.with_environment(environment);
        let cut_links = relay::CutLinks::new();
        let folder = folder.to_owned();
        let mut cluster = Cluster { deployment, fakes, fakes_address, daemons, cut_links, folder };
        let config_toml = cluster.deployment.config_toml();
        let (accepted, text) = cluster.publish(&config_toml, "objects.toml", &[]).await?;
        if !accepted {
            return Err(io::Error::other(text));
        }
        let cut_links = cluster.cut_links.clone();
        cluster.daemons.start_all(&cut_links).await?;
        cluster.wait_for_version(1).await?;
        Ok(cluster)
    }

    /// Publishes a configuration with the operators' client and returns whether it was
    /// accepted, and the client's output.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration can't be written to `file` or the client can't be run.
    pub async fn publish(
        &self,
        config_toml: &str,
        file: &str,
        flags: &[&str],
    ) -> io::Result<(bool, String)> {
        std::fs::create_dir_all(&self.folder)?;
        let path = self.folder.join(file);
        std::fs::write(&path, config_toml)?;
        let path = path.to_string_lossy().into_owned();
        let mut args = vec!["publish", &path];
        args.extend(flags);
        self.daemons.run_client(&args).await
    }

    /// Waits until every daemon runs a configuration version.
    ///
    /// # Errors
    ///
    /// Returns an error if a daemon still runs another version after the last poll.
    pub async fn wait_for_version(&self, version: u64) -> io::Result<()> {
        const MAX_POLLS: u32 = 150;
        const POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);
        let mut last_status = String::new();
        for _ in 0..MAX_POLLS {
            let (_, text) = self.daemons.run_client(&["status", "--output", "json"]).await?;
            if self.all_run_version(&text, version) {
                return Ok(());
            }
            last_status = text;
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        Err(io::Error::other(format!(
            "not every daemon runs configuration version {version}; last status: {last_status}"
        )))
    }

    fn all_run_version(&self, status: &str, version: u64) -> bool {
        let parsed: serde_json::Value = serde_json::from_str(status).unwrap_or_default();
        let table = &parsed["tables"][0];
        let columns = table["columns"].as_array().cloned().unwrap_or_default();
        let Some(column) = columns.iter().position(|name| name == "config_version") else {
            return false;
        };
        let rows = table["rows"].as_array().cloned().unwrap_or_default();
        let expected = version.to_string();
        let matching = rows.iter().filter(|row| row[column] == expected.as_str()).count();
        matching >= self.daemons.rows.len()
    }

    /// Sums a metric over all daemons, skipping those that don't respond.
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
