//! Port allocation while other threads start processes. A child process holds copies of its
//! parent's sockets until it executes its own program, so a port that was probed during that time
//! can't be bound.

use std::net;
use std::process;
use std::sync;
use std::sync::atomic;
use std::thread;

use flamingotrail_standins::local::processes;

/// Threads that start processes while ports are allocated.
const STARTER_THREADS: usize = 4;
/// Ports to allocate.
const PORT_COUNT: usize = 2_000;

/// Starts processes until `stop` is set.
fn start_processes(stop: &atomic::AtomicBool) {
    while !stop.load(atomic::Ordering::Relaxed) {
        let mut command = process::Command::new("true");
        let child = processes::spawn(&mut command);
        let exit_status = child.and_then(|mut child| child.wait());
        assert!(exit_status.is_ok(), "the process did not run: {exit_status:?}");
    }
}

#[test]
fn an_allocated_port_can_be_bound_while_processes_start() {
    let stop = sync::Arc::new(atomic::AtomicBool::new(false));
    let starters: Vec<_> = (0..STARTER_THREADS)
        .map(|_| {
            let stop = stop.clone();
            thread::spawn(move || start_processes(&stop))
        })
        .collect();

    let bind_errors: Vec<_> = (0..PORT_COUNT)
        .filter_map(|_| {
            let address = processes::free_address().expect("no free port");
            net::TcpListener::bind(address).err()
        })
        .collect();

    stop.store(true, atomic::Ordering::Relaxed);
    starters.into_iter().for_each(|starter| starter.join().expect("a starter thread panicked"));
    assert!(
        bind_errors.is_empty(),
        "{} of {PORT_COUNT} ports could not be bound: {bind_errors:?}",
        bind_errors.len()
    );
}
