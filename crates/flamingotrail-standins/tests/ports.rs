//! Ports that tests hand out while other threads start processes.

use std::net;
use std::process;
use std::sync;
use std::sync::atomic;
use std::thread;

use flamingotrail_standins::local::processes;

/// Threads that start processes beside the one that takes ports.
const STARTERS: usize = 4;
/// Ports taken.
const PORTS: usize = 2_000;

/// Starts processes until `stop` is set.
fn start_processes(stop: &atomic::AtomicBool) {
    while !stop.load(atomic::Ordering::Relaxed) {
        let mut command = process::Command::new("true");
        let child = processes::spawn(&mut command);
        let ended = child.and_then(|mut child| child.wait());
        assert!(ended.is_ok(), "the process could not be run: {ended:?}");
    }
}

#[test]
fn a_port_that_was_handed_out_can_be_bound_while_processes_start() {
    let stop = sync::Arc::new(atomic::AtomicBool::new(false));
    let starters: Vec<_> = (0..STARTERS)
        .map(|_| {
            let stop = stop.clone();
            thread::spawn(move || start_processes(&stop))
        })
        .collect();

    let refused: Vec<_> = (0..PORTS)
        .filter_map(|_| {
            let address = processes::free_address().expect("a free port");
            net::TcpListener::bind(address).err()
        })
        .collect();

    stop.store(true, atomic::Ordering::Relaxed);
    starters.into_iter().for_each(|starter| starter.join().expect("a starter failed"));
    assert!(refused.is_empty(), "{} of {PORTS} ports were taken: {refused:?}", refused.len());
}
