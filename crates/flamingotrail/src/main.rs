//! `flamingotrail`: command-line client for operators.

mod client;
mod configs;
mod documents;
mod instances;
mod keys;
mod limits;
mod output;
mod sets;

use std::process;
use std::time;

use clap::CommandFactory as _;
use clap::Parser as _;

use crate::configs::client as settings;

fn main() -> process::ExitCode {
    let args = settings::ClientArgs::parse();
    let format = args.output;
    match actix_rt::System::new().block_on(run(args)) {
        Ok(report) => {
            print!("{}", report.render(format));
            process::ExitCode::from(report.exit_status())
        }
        Err(error) => {
            eprintln!("{error}");
            process::ExitCode::FAILURE
        }
    }
}

async fn run(args: settings::ClientArgs) -> Result<output::Report, client::ClientError> {
    let client = client::Client::new(&args.log_url, &args.list_url);
    match args.command {
        settings::Command::Check { limits: true, limit_args, .. } => Ok(limits::check(&limit_args)),
        settings::Command::Check { path, in_force, retention_s, .. } => {
            let path = path.unwrap_or_default();
            if in_force.is_some() || documents::is_document(&path) {
                let log_retention = time::Duration::from_secs(retention_s);
                return Ok(documents::check(&path, in_force.as_deref(), log_retention));
            }
            Ok(sets::check(&path).unwrap_or_else(|error| documents::unreadable(&path, &error)))
        }
        settings::Command::Diff { path } => sets::diff(&client, &path).await,
        settings::Command::Publish { path, base, author } => {
            sets::publish(&client, &path, base, &author).await
        }
        settings::Command::History => sets::history(&client).await,
        settings::Command::Status => instances::status(&client).await,
        settings::Command::Dump { admin, table } => instances::dump(&client, &admin, &table).await,
        settings::Command::Drain { admin } => instances::drain(&client, &admin).await,
        settings::Command::Explain { admin, about } => {
            instances::explain(&client, &admin, &about).await
        }
        settings::Command::Keys { out, names } => keys::generate(&out, &names),
        settings::Command::Digest { token } => Ok(keys::token_digest(&token)),
        settings::Command::Completions { shell } => {
            let mut text = Vec::new();
            let mut command = settings::ClientArgs::command();
            clap_complete::generate(shell, &mut command, "flamingotrail", &mut text);
            Ok(output::Report::text(String::from_utf8_lossy(&text).into_owned()))
        }
    }
}
