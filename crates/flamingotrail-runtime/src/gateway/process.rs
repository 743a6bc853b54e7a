//! The gateway as a process: starts its parts and shuts them down.

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
use flamingotrail_wire::gateway as wire;
use tokio::signal;
use tokio::sync::watch as tokio_watch;

use crate::clock;
use crate::configs::daemon;
use crate::configs::limit_check;
use crate::connections;
use crate::connections::limits as connection_limits;
use crate::gateway::attempts;
use crate::gateway::callers;
use crate::gateway::control;
use crate::gateway::event_lines;
use crate::gateway::executor;
use crate::gateway::metrics;
use crate::gateway::monitoring;
use crate::gateway::peers;
use crate::gateway::peers::registration;
use crate::gateway::pending_calls;
use crate::gateway::pool;
use crate::gateway::saved_crashes;
use crate::gateway::watch;
use crate::signals;

/// Size up to which a response is held in any case, in bytes, so that large ones do not take the memory of
/// others.
const MIN_RESPONSE_BYTES: usize = 64 << 10;
/// Delay between two removals of expired idle connections.
const EXPIRY_CHECK_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Time between the signal to stop and the closing of idle connections, within the grace
/// period: the load balancer checks the readiness once per second and removes a gateway after two
/// failed checks.
const IDLE_CLOSE_DELAY: time::Duration = time::Duration::from_millis(2_900);

/// Why a gateway can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address can't be bound or a thread can't be spawned.
    #[error(
        "can't bind an address or spawn a thread: {0}; configure free addresses of this instance"
    )]
    Io(#[from] io::Error),
    /// The control thread has failed.
    #[error(transparent)]
    ControlThread(#[from] executor::ControlThreadEnded),
    /// The metrics can't be registered.
    #[error("can't register the metrics: {0}; please report this as a bug")]
    Metrics(#[from] prometheus::Error),
}

/// Runs the gateway until it has received the signal to stop and all running calls have ended.
///
/// # Errors
///
/// Fails if an address can't be bound, the control thread can't be spawned, or the metrics can't be
/// registered.
pub async fn run(
    deployment: deployment::ProcessSettings,
    config: daemon::GatewayConfig,
    early: &signals::EarlySignals,
) -> Result<(), StartError> {
    let terminate = early.terminate()?;
    let hangup = signal::unix::signal(signal::unix::SignalKind::hangup())?;
    let clock = clock::Clock::new();
    let limit_settings =
        config.limits.with_platform(deployment.memory_bytes, deployment.max_descriptors);
    limit_check::log_findings(&limit_settings);
    let connections = connections::Connections::new(limit_settings.connection_limits());
    let metrics = rc::Rc::new(metrics::Metrics::new(connections.clone())?);
    let settings = settings::Settings {
        partitions: deployment.store.partitions_per_topic * deployment::PROGRAM_TOPIC_COUNT,
        max_appends_per_s: deployment.store.writes_per_s,
        max_record_bytes: deployment.store.max_record_bytes,
        max_append_bytes: deployment.store.max_append_bytes,
        log_retention: deployment.store.retention,
        grace_period: deployment.shutdown_grace,
        allowance_tolerance: deployment.allowance_tolerance,
        max_history_bytes: limit_settings.max_history_bytes(),
        max_unlogged_bytes: limit_settings.max_unlogged_bytes(),
        max_lookups: limit_settings.max_lookups(),
        call_limits: limit_settings.call_limits(),
    };
    let mut world = world::World::new(deployment.identity.clone(), settings);
    world.boot = boot_nonce();
    let (inputs, outputs) = control::start(world, clock)?;
    let store = rc::Rc::new(store::StoreClient::new(&deployment.store));
    let limits = rc::Rc::new(cell::Cell::new(configuration::RequestLimits::default()));
    let calls = pending_calls::PendingCalls::default();
    let pool = pool::Pool::default();
    let (ready_tx, ready_rx) = tokio_watch::channel(false);
    let (stage_tx, stage_rx) = tokio_watch::channel(callers::ShutdownStage::Serving);

    monitoring::listen(
        deployment.readiness_address,
        ReadinessHandler { ready: ready_rx },
        connections.clone(),
        connection_limits::Listener::Readiness,
    )
    .await?;
    let caller_server = callers::CallerServer::new(
        inputs.clone(),
        calls.clone(),
        clock,
        limits.clone(),
        stage_rx,
        metrics.clone(),
        connections.clone(),
    );
    caller_server.listen(deployment.listen_address).await?;
    actix_rt::spawn(watch::configuration(
        store.clone(),
        inputs.clone(),
        limits,
        connections.clone(),
        deployment.configuration_bound,
    ));
    actix_rt::spawn(watch::endpoints(store.clone(), inputs.clone(), deployment.leaving_bound));
    actix_rt::spawn(saved_crashes::load(store.clone(), inputs.clone()));
    let metrics_address = net::SocketAddr::new(deployment.ip, config.metrics_port);
    monitoring::listen(
        metrics_address,
        metrics.clone(),
        connections.clone(),
        connection_limits::Listener::Operators,
    )
    .await?;
    let link_address = net::SocketAddr::new(deployment.ip, deployment.peer_ports.0);
    let buffers = connections.buffers().clone().with_free_bytes(MIN_RESPONSE_BYTES);
    let caller_connections = connections.clone();
    let peers = peers::PeerLinks::new(inputs.clone(), pool.clone(), buffers.clone(), connections);
    peers.clone().listen(link_address).await?;
    let own_entry = peers_table::Peer {
        address: link_address.to_string(),
        domain: deployment.identity.domain.clone(),
        region: deployment.identity.region.clone(),
    };
    let name = deployment.identity.instance.clone();
    let peer_watch = actix_rt::spawn(registration::register_and_watch(
        store.clone(),
        inputs.clone(),
        name,
        own_entry,
    ));
    actix_rt::spawn(remove_expired(pool.clone(), store.clone()));
    actix_rt::spawn(drain_on_signal(terminate, inputs.clone(), stage_tx.clone()));
    actix_rt::spawn(reload_on_signal(hangup));
    log::info!(
        "event=started domain={} region={} callers={} store={}",
        deployment.identity.domain,
        deployment.identity.region,
        deployment.listen_address,
        store.address()
    );
    let executor = executor::Executor {
        attempts: attempts::AttemptRunner { pool, calls, inputs: inputs.clone(), buffers },
        peers,
        connections: caller_connections,
        instance: deployment.identity.instance.clone(),
        store: store.clone(),
        metrics,
        event_lines: event_lines::EventLines::default(),
        inputs,
        ready: ready_tx,
        stage: stage_tx,
    };
    let ended = executor.run(outputs).await;
    // It would restore the entry.
    peer_watch.abort();
    registration::unregister(&store, &deployment.identity.instance).await;
    ended?;
    log::info!("event=stopped");
    Ok(())
}

/// Returns a number that identifies this process among those that ran under its name.
fn boot_nonce() -> u64 {
    const PROCESS_ID_BITS: u32 = 22;
    (wire::UnixTime::now().0 << PROCESS_ID_BITS) | u64::from(std::process::id())
}

/// Responds to the load balancer's readiness checks.
#[derive(Clone)]
struct ReadinessHandler {
    ready: tokio_watch::Receiver<bool>,
}

impl monitoring::Handler for ReadinessHandler {
    fn handle(&self, path: &str) -> (StatusCode, Bytes) {
        if path != protocol::READY_PATH {
            return (StatusCode::NOT_FOUND, Bytes::new());
        }
        let ready = *self.ready.borrow();
        (if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, Bytes::new())
    }
}

async fn remove_expired(pool: pool::Pool, store: rc::Rc<store::StoreClient>) {
    loop {
        actix_rt::time::sleep(EXPIRY_CHECK_INTERVAL).await;
        pool.remove_expired();
        store.remove_expired();
    }
}

/// Starts a graceful shutdown on SIGTERM.
async fn drain_on_signal(
    mut terminate: signals::Terminate,
    inputs: control::InputSender,
    stage: tokio_watch::Sender<callers::ShutdownStage>,
) {
    if !terminate.wait().await {
        return;
    }
    log::info!("event=signal action=drain");
    inputs.send(input::Input::Drain);
    callers::advance_shutdown(&stage, callers::ShutdownStage::Closing);
    actix_rt::time::sleep(IDLE_CLOSE_DELAY).await;
    callers::advance_shutdown(&stage, callers::ShutdownStage::Closed);
}

/// Handles SIGHUP, which would otherwise end the process: reads the changed settings file again and
/// logs whether it is valid.
async fn reload_on_signal(mut hangup: signal::unix::Signal) {
    while hangup.recv().await.is_some() {
        match deployment::load() {
            Ok(_) => log::info!("event=settings_reloaded"),
            Err(error) => {
                log::error!("event=settings_invalid error={:?}", error.to_string());
            }
        }
    }
}
