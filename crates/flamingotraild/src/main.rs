//! `flamingotraild`: runs one instance of a flamingotrail deployment.

use std::process;

use clap::Parser as _;
use flamingotrail_adapter::settings as platform_settings;
use flamingotrail_runtime::configs::daemon as settings;
use flamingotrail_runtime::daemon;
use flamingotrail_runtime::gateway::process as gateway;
use flamingotrail_runtime::logging;
use flamingotrail_runtime::signals;

/// Exit status for invalid settings.
const INVALID_SETTINGS: u8 = 2;

fn main() -> process::ExitCode {
    // A planned stop may come right after a start.
    let early = match signals::EarlySignals::catch() {
        Ok(early) => early,
        Err(error) => {
            eprintln!("can't handle signals: {error}; please report this as a bug");
            return process::ExitCode::FAILURE;
        }
    };
    let args = settings::DaemonArgs::parse();
    if args.role == settings::GATEWAY_ROLE {
        return run_gateway(&args, &early);
    }
    let config = match settings::DaemonConfig::try_from(&args) {
        Ok(config) => config,
        Err(error) => {
            eprintln!("{error}");
            return process::ExitCode::from(INVALID_SETTINGS);
        }
    };
    if let Err(error) = logging::init(config.log_level, &config.identity.peer.instance) {
        eprintln!("can't set up logging: {error}; please report this as a bug");
        return process::ExitCode::FAILURE;
    }
    match actix_rt::System::new().block_on(daemon::run(config, &early)) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            log::error!("event=start_failed error={:?}", error.to_string());
            eprintln!("{error}");
            process::ExitCode::FAILURE
        }
    }
}

/// Runs a gateway. The platform writes its settings file.
fn run_gateway(args: &settings::DaemonArgs, early: &signals::EarlySignals) -> process::ExitCode {
    let config = match settings::GatewayConfig::try_from(args) {
        Ok(config) => config,
        Err(error) => {
            eprintln!("{error}");
            return process::ExitCode::from(INVALID_SETTINGS);
        }
    };
    let process_settings = match platform_settings::load() {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return process::ExitCode::from(INVALID_SETTINGS);
        }
    };
    if let Err(error) =
        logging::init_queued(config.log_level, process_settings.identity.instance.as_str())
    {
        eprintln!("can't set up logging: {error}; please report this as a bug");
        return process::ExitCode::FAILURE;
    }
    match actix_rt::System::new().block_on(gateway::run(process_settings, config, early)) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            log::error!("event=start_failed error={:?}", error.to_string());
            process::ExitCode::FAILURE
        }
    }
}
