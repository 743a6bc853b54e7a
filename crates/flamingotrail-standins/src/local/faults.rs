//! Faults against real processes while programs run.

use std::time;

use crate::local::session;

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
    session: &mut session::Session,
) -> std::io::Result<()> {
    let daemons = &mut session.daemons;
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
            session.cuts.set(link, true);
            actix_rt::time::sleep(LASTING).await;
            session.cuts.set(link, false);
        }
        Fault::Outage => {
            session.outside.set_log_out(true);
            actix_rt::time::sleep(LASTING).await;
            session.outside.set_log_out(false);
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
