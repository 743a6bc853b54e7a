//! Puts one process together and runs it until it has stopped.

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
use crate::control;
use crate::executor;
use crate::links;
use crate::metrics;
use crate::relay;
use crate::tls;

/// A process that can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Keys.
    #[error(transparent)]
    Tls(#[from] tls::TlsError),
    /// Links.
    #[error(transparent)]
    Links(#[from] links::LinkError),
    /// An address for HTTP.
    #[error("an address can't be used: {0}; give a free address of this instance")]
    Address(#[from] io::Error),
    /// Metrics.
    #[error("the metrics can't be registered: {0}; report this as a defect")]
    Metrics(#[from] prometheus::Error),
}

/// Runs the process until it was told to stop and has finished what ran.
///
/// # Errors
///
/// Keys or addresses that can't be used.
pub async fn run(config: daemon::DaemonConfig) -> Result<(), StartError> {
    let metrics = metrics::Metrics::new()?;
    let clock = clock::Clock::new();
    let identity = config.identity.clone();
    let reader = Box::new(TomlConfigParser::new());
    let world = world::World::new(identity.clone(), config.settings.clone(), reader, config.seed);
    let (commands, outputs, _control) = control::start(world, config.inbox, clock, metrics.clone());

    let relay = relay::TextRelay::new();
    let book = address::AddressBook::new();
    let links = links::Links::new(
        &identity.peer.instance,
        (config.link, config.link_advertised),
        tls::load_configs(&config.tls)?,
        book.clone(),
        commands.clone(),
        relay.clone(),
        metrics.clone(),
    )?;
    actix_rt::spawn(
        admin::AdminServer::new(commands.clone(), metrics.clone()).listen(config.admin)?,
    );
    if let Some(address) = config.listen {
        let callers = callers::CallerServer::new(
            commands.clone(),
            relay.clone(),
            metrics.clone(),
            identity.peer.incarnation,
            config.max_body_bytes,
        );
        actix_rt::spawn(callers.listen(address, config.threads)?);
    }
    actix_rt::spawn(drain_on_signal(commands.clone()));
    log::info!(
        "event=started role={:?} link={} admin={}",
        identity.role,
        config.link,
        config.admin
    );

    let external = external(&config);
    let executor = executor::Executor::new(external, links, relay, book, commands, metrics);
    executor.run(outputs).await;
    log::info!("event=stopped");
    Ok(())
}

fn external(config: &daemon::DaemonConfig) -> executor::ExternalSystems {
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

/// Starts a graceful shutdown on SIGTERM or SIGINT.
async fn drain_on_signal(commands: control::CommandSender) {
    let terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate());
    let mut terminate = match terminate {
        Ok(terminate) => terminate,
        Err(error) => {
            log::error!("event=signal_failed error={error:?}");
            return;
        }
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = actix_rt::signal::ctrl_c() => {}
    }
    log::info!("event=signal action=drain");
    commands.send_input(input::Input::Drain);
}
