//! Faults against real processes while programs run.

use std::time;

use crate::local::cluster;

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
pub async fn inject(
    fault: Fault,
    index: usize,
    cluster: &mut cluster::Cluster,
) -> std::io::Result<()> {
    let daemons = &mut cluster.daemons;
    match fault {
        Fault::Kill => {
            daemons.kill(index);
            actix_rt::time::sleep(LASTING).await;
            daemons.start_daemon(index)?;
        }
        Fault::Freeze => {
            daemons.send_signal(index, rustix::process::Signal::STOP);
            actix_rt::time::sleep(LASTING).await;
            daemons.send_signal(index, rustix::process::Signal::CONT);
        }
        Fault::Cut => {
            let link = daemons.rows[index].link;
            cluster.cut_links.set(link, true);
            actix_rt::time::sleep(LASTING).await;
            cluster.cut_links.set(link, false);
        }
        Fault::Outage => {
            cluster.fakes.set_log_unavailable(true);
            actix_rt::time::sleep(LASTING).await;
            cluster.fakes.set_log_unavailable(false);
        }
        Fault::Drain => {
            daemons.set_listed_state(index, "leaving");
            daemons.send_signal(index, rustix::process::Signal::TERM);
            daemons.wait_for_exit(index).await;
            daemons.start_daemon(index)?;
        }
    }
    Ok(())
}
