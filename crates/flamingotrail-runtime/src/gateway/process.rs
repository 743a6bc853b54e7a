//! The gateway as a process: starts its parts and ends them.

use std::cell;
use std::io;
use std::net;
use std::rc;
use std::time;

use actix_http::StatusCode;
use bytes::Bytes;
use flamingotrail_adapter::configuration;
use flamingotrail_adapter::protocol;
use flamingotrail_adapter::settings as deployment;
use flamingotrail_adapter::store;
use flamingotrail_gateway::input;
use flamingotrail_gateway::settings;
use flamingotrail_gateway::tables::peers as peers_table;
use flamingotrail_gateway::world;
use tokio::signal;
use tokio::sync::watch as tokio_watch;

use crate::clock;
use crate::configs::daemon;
use crate::gateway::attempts;
use crate::gateway::callers;
use crate::gateway::control;
use crate::gateway::executor;
use crate::gateway::metrics;
use crate::gateway::monitoring;
use crate::gateway::peers;
use crate::gateway::pending_calls;
use crate::gateway::pool;
use crate::gateway::watch;

/// Pause between two looks at idle connections.
const REAP_PAUSE: time::Duration = time::Duration::from_secs(1);
/// Part of the time for which a process lingers after the order to stop before it closes idle
/// connections: the balancer needs two misses, one a second.
const LINGER: time::Duration = time::Duration::from_millis(2_900);

/// A gateway that can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address.
    #[error("an address or thread can't be used: {0}; give free addresses of this instance")]
    Io(#[from] io::Error),
    /// Metrics.
    #[error("the metrics can't be registered: {0}; report this as a defect")]
    Metrics(#[from] prometheus::Error),
}

/// Runs the gateway until it was told to stop and has finished what ran.
///
/// # Errors
///
/// An address that can't be used.
pub async fn run(
    deployment: deployment::ProcessSettings,
    config: daemon::GatewayConfig,
) -> Result<(), StartError> {
    let clock = clock::Clock::new();
    let metrics = rc::Rc::new(metrics::Metrics::new()?);
    let settings = settings::Settings {
        partitions: deployment.store.partitions_per_topic * deployment::PROGRAM_TOPIC_COUNT,
        max_appends_per_s: deployment.store.writes_per_s,
        max_record_bytes: deployment.store.max_record_bytes,
        max_append_bytes: deployment.store.max_append_bytes,
        grace_period: deployment.shutdown_grace,
    };
    let world = world::World::new(deployment.identity.clone(), settings);
    let (inputs, outputs) = control::start(world, clock)?;
    let store = rc::Rc::new(store::StoreClient::new(&deployment.store));
    let limits = rc::Rc::new(cell::Cell::new(configuration::RequestLimits::default()));
    let calls = pending_calls::PendingCalls::default();
    let pool = pool::Pool::default();
    let (ready_tx, ready_rx) = tokio_watch::channel(false);
    let (stage_tx, stage_rx) = tokio_watch::channel(callers::ShutdownStage::Serving);

    monitoring::listen(deployment.readiness_address, Readiness { ready: ready_rx }).await?;
    let callers = callers::CallerServer::new(
        inputs.clone(),
        calls.clone(),
        clock,
        limits.clone(),
        stage_rx,
        metrics.clone(),
    );
    callers.listen(deployment.listen_address).await?;
    actix_rt::spawn(watch::configuration(store.clone(), inputs.clone(), limits));
    actix_rt::spawn(watch::endpoints(store.clone(), inputs.clone()));
    let metrics_address = net::SocketAddr::new(deployment.ip, config.metrics_port);
    monitoring::listen(metrics_address, metrics.clone()).await?;
    let link = net::SocketAddr::new(deployment.ip, deployment.peer_ports.0);
    let peers = peers::PeerLinks::new(inputs.clone(), pool.clone());
    peers.clone().listen(link).await?;
    let own = peers_table::Peer {
        address: link.to_string(),
        domain: deployment.identity.domain.clone(),
        region: deployment.identity.region.clone(),
    };
    let name = deployment.identity.instance.clone();
    actix_rt::spawn(peers::register_and_watch(store.clone(), inputs.clone(), name, own));
    actix_rt::spawn(reap(pool.clone()));
    actix_rt::spawn(drain_on_signal(inputs.clone(), stage_tx.clone()));
    actix_rt::spawn(reload_on_signal());
    log::info!(
        "event=started domain={} region={} callers={} store={}",
        deployment.identity.domain,
        deployment.identity.region,
        deployment.listen_address,
        store.address()
    );
    let executor = executor::Executor {
        attempts: attempts::AttemptRunner { pool, calls },
        peers,
        store,
        metrics,
        inputs,
        ready: ready_tx,
        stage: stage_tx,
    };
    executor.run(outputs).await;
    log::info!("event=stopped");
    Ok(())
}

/// Answers the balancer.
#[derive(Clone)]
struct Readiness {
    ready: tokio_watch::Receiver<bool>,
}

impl monitoring::Handler for Readiness {
    fn handle(&self, path: &str) -> (StatusCode, Bytes) {
        if path != protocol::READY_PATH {
            return (StatusCode::NOT_FOUND, Bytes::new());
        }
        let ready = *self.ready.borrow();
        (if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, Bytes::new())
    }
}

async fn reap(pool: pool::Pool) {
    loop {
        actix_rt::time::sleep(REAP_PAUSE).await;
        pool.remove_expired();
    }
}

/// Starts a graceful shutdown on SIGTERM.
async fn drain_on_signal(
    inputs: control::InputSender,
    stage: tokio_watch::Sender<callers::ShutdownStage>,
) {
    let mut terminate = match signal::unix::signal(signal::unix::SignalKind::terminate()) {
        Ok(terminate) => terminate,
        Err(error) => {
            log::error!("event=signal_failed error={:?}", error.to_string());
            return;
        }
    };
    if terminate.recv().await.is_none() {
        return;
    }
    log::info!("event=signal action=drain");
    inputs.send(input::Input::Drain);
    stage.send_replace(callers::ShutdownStage::Closing);
    actix_rt::time::sleep(LINGER).await;
    stage.send_replace(callers::ShutdownStage::Closed);
}

/// Takes SIGHUP, which would end the process otherwise: the settings file has changed.
async fn reload_on_signal() {
    let mut hangup = match signal::unix::signal(signal::unix::SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            log::error!("event=signal_failed error={:?}", error.to_string());
            return;
        }
    };
    while hangup.recv().await.is_some() {
        match deployment::load() {
            Ok(_) => log::info!("event=settings_reloaded"),
            Err(error) => {
                log::error!("event=settings_refused error={:?}", error.to_string());
            }
        }
    }
}
