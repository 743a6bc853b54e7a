//! Faults against real processes while programs run.

use std::time;

use crate::http;
use crate::local::processes;
use crate::local::relay;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Fault {
    /// A process is killed and started again.
    Kill,
    /// A process is stopped for a while and goes on.
    Freeze,
    /// A process's links are cut for a while.
    Cut,
    /// The platform's log is out for a while.
    Outage,
    /// A process is stopped gracefully and started again.
    Drain,
}

/// How long a fault lasts.
const LASTING: time::Duration = time::Duration::from_secs(3);

/// Causes one fault at the process `index` and waits until it is over.
///
/// # Errors
///
/// A process that can't be started again.
pub async fn cause(
    fault: Fault,
    index: usize,
    daemons: &mut processes::Daemons,
    outside: &http::Outside,
    cuts: &relay::Cuts,
) -> std::io::Result<()> {
    match fault {
        Fault::Kill => {
            daemons.kill(index);
            actix_rt::time::sleep(LASTING).await;
            daemons.start_one(index)?;
        }
        Fault::Freeze => {
            daemons.signal(index, rustix::process::Signal::STOP);
            actix_rt::time::sleep(LASTING).await;
            daemons.signal(index, rustix::process::Signal::CONT);
        }
        Fault::Cut => {
            let link = daemons.rows[index].link;
            cuts.set(link, true);
            actix_rt::time::sleep(LASTING).await;
            cuts.set(link, false);
        }
        Fault::Outage => {
            outside.set_log_out(true);
            actix_rt::time::sleep(LASTING).await;
            outside.set_log_out(false);
        }
        Fault::Drain => {
            daemons.list(index, "leaving");
            daemons.signal(index, rustix::process::Signal::TERM);
            daemons.wait(index).await;
            daemons.start_one(index)?;
        }
    }
    Ok(())
}
