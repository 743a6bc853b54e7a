//! Fault injection into real processes while programs run.

use std::time;

use crate::local::cluster;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Fault {
    /// Kill a process and start it again.
    Kill,
    /// Suspend a process for a while and resume it.
    Freeze,
    /// Drop all datagrams of a process's links for a while.
    Cut,
    /// Make the platform's log unavailable for a while.
    Outage,
    /// Stop a process gracefully and start it again.
    Drain,
}

/// Duration of a fault, except for a drain, which lasts until the process has exited.
const FAULT_DURATION: time::Duration = time::Duration::from_secs(3);

/// Injects a fault into the daemon `index` and returns once it is over.
///
/// # Errors
///
/// Returns an error if the process can't be started again.
pub async fn inject(
    fault: Fault,
    index: usize,
    cluster: &mut cluster::Cluster,
) -> std::io::Result<()> {
    let daemons = &mut cluster.daemons;
    match fault {
        Fault::Kill => {
            daemons.kill(index);
            actix_rt::time::sleep(FAULT_DURATION).await;
            daemons.start_daemon(index)?;
        }
        Fault::Freeze => {
            daemons.send_signal(index, rustix::process::Signal::STOP);
            actix_rt::time::sleep(FAULT_DURATION).await;
            daemons.send_signal(index, rustix::process::Signal::CONT);
        }
        Fault::Cut => {
            let link = daemons.rows[index].link;
            cluster.cut_links.set(link, true);
            actix_rt::time::sleep(FAULT_DURATION).await;
            cluster.cut_links.set(link, false);
        }
        Fault::Outage => {
            cluster.fakes.set_log_unavailable(true);
            actix_rt::time::sleep(FAULT_DURATION).await;
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
