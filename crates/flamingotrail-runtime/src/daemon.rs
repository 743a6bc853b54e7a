//! Sets up the components of the daemon and runs them until shutdown.

use std::io;

use flamingotrail_config::TomlConfigParser;
use flamingotrail_core::input;
use flamingotrail_core::world;
use flamingotrail_platform::endpoint;
use flamingotrail_platform::engine;
use flamingotrail_platform::instance_list;
use flamingotrail_platform::log_service;
use flamingotrail_platform::service;

use crate::address;
use crate::admin;
use crate::callers;
use crate::clock;
use crate::configs::daemon;
use crate::connections;
use crate::control;
use crate::executor;
use crate::links;
use crate::metrics;
use crate::relay;
use crate::signals;
use crate::tls;

/// Reason why the daemon can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Certificates or keys can't be loaded.
    #[error(transparent)]
    Tls(#[from] tls::TlsError),
    /// The link endpoint can't be opened.
    #[error(transparent)]
    Links(#[from] links::LinkError),
    /// An HTTP address can't be bound.
    #[error("can't bind an HTTP address: {0}; set it to a free address of this instance")]
    Address(#[from] io::Error),
    /// A metric can't be registered.
    #[error("can't register metrics: {0}; this is a bug, please report it")]
    Metrics(#[from] prometheus::Error),
}

/// Runs the daemon until a requested drain is complete.
///
/// # Errors
///
/// Returns an error if certificates or keys can't be loaded, an address can't be bound, or the
/// metrics can't be registered.
pub async fn run(
    config: daemon::DaemonConfig,
    early: &signals::EarlySignals,
) -> Result<(), StartError> {
    let connections = connections::Connections::new(config.limits.connection_limits());
    connections.admit_requests_of(config.max_body_bytes.saturating_mul(callers::BODY_COPIES));
    let metrics = metrics::Metrics::new(connections.clone())?;
    let clock = clock::Clock::new();
    let identity = config.identity.clone();
    let parser = Box::new(TomlConfigParser::new());
    let world = world::World::new(identity.clone(), config.settings.clone(), parser, config.seed);
    let (commands, outputs, _control_thread) =
        control::start(world, config.inbox_capacity, clock, metrics.clone());

    let relay = relay::TextRelay::new();
    let addresses = address::AddressBook::new();
    let links = links::Links::new(
        &identity.peer.instance,
        (config.link, config.link_advertised),
        tls::load_configs(&config.tls)?,
        links::Context {
            addresses: addresses.clone(),
            commands: commands.clone(),
            relay: relay.clone(),
            metrics: metrics.clone(),
            connections: connections.clone(),
        },
    )?;
    actix_rt::spawn(
        admin::AdminServer::new(commands.clone(), metrics.clone(), connections.clone())
            .listen(config.admin)?,
    );
    if let Some(address) = config.listen {
        let callers = callers::CallerServer::new(
            commands.clone(),
            relay.clone(),
            metrics.clone(),
            identity.peer.incarnation,
            config.max_body_bytes,
            connections,
        );
        actix_rt::spawn(callers.listen(address, config.threads)?);
    }
    actix_rt::spawn(drain_on_signal(early.terminate(), commands.clone()));
    log::info!(
        "event=started role={:?} link={} admin={}",
        identity.role,
        config.link,
        config.admin
    );

    let external = create_external_systems(&config);
    let executor = executor::Executor::new(external, links, relay, addresses, commands, metrics);
    executor.run(outputs).await;
    log::info!("event=stopped");
    Ok(())
}

/// Creates the clients of the log, the instance list and the local endpoint.
fn create_external_systems(config: &daemon::DaemonConfig) -> executor::ExternalSystems {
    let endpoint = config.endpoint.as_ref().map(|(url, kind)| {
        let endpoint: Box<dyn endpoint::Endpoint> = match kind {
            daemon::EndpointKind::Engine => Box::new(engine::HttpEngine::new(url)),
            daemon::EndpointKind::Service => Box::new(service::HttpService::new(url)),
        };
        endpoint
    });
    executor::ExternalSystems {
        log: Box::new(log_service::HttpLogService::new(&config.log_url)),
        list: Box::new(instance_list::HttpInstanceList::new(&config.list_url)),
        endpoint,
    }
}

/// Starts a drain on SIGTERM or SIGINT.
async fn drain_on_signal(
    terminate: io::Result<signals::Terminate>,
    commands: control::CommandSender,
) {
    let mut terminate = match terminate {
        Ok(terminate) => terminate,
        Err(error) => {
            log::error!("event=signal_failed error={error:?}");
            return;
        }
    };
    tokio::select! {
        _ = terminate.wait() => {}
        _ = actix_rt::signal::ctrl_c() => {}
    }
    log::info!("event=signal action=drain");
    commands.send_input(input::Input::Drain);
}
