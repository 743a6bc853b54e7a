//! `flamingotraild`: one process of flamingotrail.

use std::process;

use clap::Parser as _;
use flamingotrail_adapter::settings as deployment;
use flamingotrail_runtime::configs::daemon as settings;
use flamingotrail_runtime::daemon;
use flamingotrail_runtime::gateway::process as gateway;
use flamingotrail_runtime::logging;

/// Exit status for wrong settings.
const WRONG_SETTINGS: u8 = 2;

fn main() -> process::ExitCode {
    let args = settings::DaemonArgs::parse();
    if args.role == settings::GATEWAY_ROLE {
        return run_gateway(&args);
    }
    let config = match settings::DaemonConfig::try_from(&args) {
        Ok(config) => config,
        Err(wrong) => {
            eprintln!("{wrong}");
            return process::ExitCode::from(WRONG_SETTINGS);
        }
    };
    if let Err(error) = logging::init(config.log_level, &config.identity.peer.instance) {
        eprintln!("logging can't be set up: {error}; report this as a defect");
        return process::ExitCode::FAILURE;
    }
    match actix_rt::System::new().block_on(daemon::run(config)) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            log::error!("event=start_failed error={:?}", error.to_string());
            eprintln!("{error}");
            process::ExitCode::FAILURE
        }
    }
}

/// Runs the role whose settings the platform writes.
fn run_gateway(args: &settings::DaemonArgs) -> process::ExitCode {
    let config = match settings::GatewayConfig::try_from(args) {
        Ok(config) => config,
        Err(wrong) => {
            eprintln!("{wrong}");
            return process::ExitCode::from(WRONG_SETTINGS);
        }
    };
    let deployment = match deployment::load() {
        Ok(deployment) => deployment,
        Err(error) => {
            eprintln!("{error}");
            return process::ExitCode::from(WRONG_SETTINGS);
        }
    };
    if let Err(error) =
        logging::init_queued(config.log_level, deployment.identity.instance.as_str())
    {
        eprintln!("logging can't be set up: {error}; report this as a defect");
        return process::ExitCode::FAILURE;
    }
    match actix_rt::System::new().block_on(gateway::run(deployment, config)) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            log::error!("event=start_failed error={:?}", error.to_string());
            process::ExitCode::FAILURE
        }
    }
}
