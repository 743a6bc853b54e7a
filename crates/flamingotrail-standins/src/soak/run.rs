//! One run of the soak test. The control thread starts the gateways, and injects and clears faults.

use std::collections;
use std::io;
use std::net;
use std::path;
use std::sync;
use std::sync::atomic;
use std::sync::mpsc;
use std::thread;
use std::time;

use crate::fleet::gateways;
use crate::fleet::runner;
use crate::fleet::store;
use crate::soak::announcements;
use crate::soak::callers;
use crate::soak::directory;
use crate::soak::endpoints;
use crate::soak::identity;
use crate::soak::observations;
use crate::soak::plan;
use crate::soak::probe;
use crate::soak::proxy;
use crate::soak::publication;

/// Time between two ticks of the control thread.
const TICK: time::Duration = time::Duration::from_millis(20);
/// Time from the start of a graceful shutdown until the gateway gets no new connections: the load
/// balancer checks readiness once a second and removes a process after two failed checks.
const BALANCER_REMOVAL_DELAY: time::Duration = time::Duration::from_millis(2_200);
/// Maximum duration of a graceful shutdown.
const SHUTDOWN_TIMEOUT: time::Duration = time::Duration::from_secs(8);
/// Time after the last response in which a runner could still execute a rejected request.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(1_500);

/// The result of a run.
#[derive(Debug)]
pub struct Report {
    /// Number of faults in the plan.
    pub faults: usize,
    /// Number of turns with a complete successful response.
    pub turns: usize,
    /// Number of tool calls.
    pub calls: usize,
    /// One message for each violated guarantee.
    pub violations: Vec<String>,
}

/// A gateway and its proxy to the store.
struct Gateway {
    process: Option<gateways::Gateway>,
    store_link: proxy::Proxy,
    /// Number of starts so far.
    start_count: u32,
    /// When a graceful shutdown was requested, if it was.
    stop_requested_at: Option<time::Instant>,
    /// Whether a fault since the start may prevent a graceful shutdown.
    is_disturbed: bool,
}

/// A scheduled action of the control thread.
#[derive(Clone, Copy, Debug)]
enum Action {
    Inject(plan::ScheduledFault),
    Clear(plan::Fault),
    RemoveFromDirectory(usize),
}

/// The tables of a run.
struct World {
    program: path::PathBuf,
    folder: path::PathBuf,
    store: store::Store,
    gateways: Vec<Gateway>,
    runners: Vec<runner::Runner>,
    runner_links: Vec<proxy::Proxy>,
    directory: directory::Directory,
    /// Scheduled actions, by time and order of scheduling.
    schedule: collections::BTreeMap<(time::Duration, usize), Action>,
    scheduled_count: usize,
    publication: publication::Publication,
    observations: observations::Observations,
    announcements: announcements::Announcements,
    /// Number of starts of runners under the same id.
    runner_restarts: u64,
}

/// Executes `plan` with the daemon at `program`. Settings and logs go to `folder`.
///
/// # Errors
///
/// Returns an error if the program can't be started, a gateway doesn't become ready, or no port is
/// free.
pub fn run(plan: &plan::Plan, program: &path::Path, folder: &path::Path) -> io::Result<Report> {
    let mut world = World::new(plan, program, folder)?;
    for gateway in 0..plan.gateways {
        world.start(gateway)?;
    }
    for gateway in &world.gateways {
        if !gateway.process.as_ref().is_some_and(gateways::Gateway::wait_until_ready) {
            return Err(io::Error::other("a gateway did not become ready; see its log"));
        }
    }
    let (observation_tx, observation_rx) = mpsc::channel();
    let stop = sync::Arc::new(atomic::AtomicBool::new(false));
    let threads: Vec<_> = (0..plan.callers)
        .map(|number| {
            let caller = callers::Caller::new(
                plan.seed,
                number,
                world.publication.keys.clone(),
                world.directory.clone(),
                observation_tx.clone(),
            );
            let stop = stop.clone();
            thread::spawn(move || caller.run(&stop))
        })
        .collect();
    drop(observation_tx);
    let started_at = time::Instant::now();
    while started_at.elapsed() < plan.load_duration || !world.schedule.is_empty() {
        world.tick(started_at.elapsed())?;
        observation_rx.try_iter().for_each(|observation| world.observations.record(observation));
        if started_at.elapsed() >= plan.load_duration {
            stop.store(true, atomic::Ordering::Relaxed);
        }
        thread::sleep(TICK);
    }
    stop.store(true, atomic::Ordering::Relaxed);
    while threads.iter().any(|thread| !thread.is_finished()) || world.has_shutdowns() {
        world.restart_exited()?;
        observation_rx.try_iter().for_each(|observation| world.observations.record(observation));
        thread::sleep(TICK);
    }
    observation_rx.try_iter().for_each(|observation| world.observations.record(observation));
    world.observations.failed_shutdowns.extend(world.probe());
    thread::sleep(SETTLE_TIME);
    Ok(world.report(plan))
}

impl World {
    fn new(plan: &plan::Plan, program: &path::Path, folder: &path::Path) -> io::Result<Self> {
        let store = store::Store::new();
        let store_address = store.serve()?;
        let (runners, runner_links) = endpoints::start(&store)?;
        let publication = publication::Publication::new(store.clone());
        let gateways =
            (0..plan.gateways).map(|_| new_gateway(store_address)).collect::<io::Result<_>>()?;
        let mut world = World {
            program: program.to_owned(),
            folder: folder.to_owned(),
            store,
            gateways,
            runners,
            runner_links,
            directory: directory::Directory::default(),
            schedule: collections::BTreeMap::new(),
            scheduled_count: 0,
            publication,
            observations: observations::Observations::default(),
            announcements: announcements::Announcements::default(),
            runner_restarts: 0,
        };
        for fault in &plan.faults {
            world.schedule(fault.at, Action::Inject(*fault));
        }
        Ok(world)
    }

    fn schedule(&mut self, at: time::Duration, action: Action) {
        self.scheduled_count += 1;
        self.schedule.insert((at, self.scheduled_count), action);
    }

    /// Starts a gateway unless it is running.
    fn start(&mut self, index: usize) -> io::Result<()> {
        let row = &mut self.gateways[index];
        if row.process.is_some() {
            return Ok(());
        }
        let name = format!("gateway-{index}");
        let process = gateways::start(&self.program, &self.folder, &name, row.store_link.address)?;
        row.start_count += 1;
        self.announcements.record_disturbance();
        let incarnation = directory::Incarnation {
            gateway: index,
            number: row.start_count,
            address: process.caller_address,
        };
        row.process = Some(process);
        row.stop_requested_at = None;
        row.is_disturbed = false;
        self.directory.add(incarnation);
        Ok(())
    }

    /// Executes the actions that are due at `now` and restarts gateways that have exited.
    fn tick(&mut self, now: time::Duration) -> io::Result<()> {
        while let Some((key, action)) =
            self.schedule.first_key_value().map(|(key, action)| (*key, *action))
        {
            if key.0 > now {
                break;
            }
            self.schedule.remove(&key);
            match action {
                Action::Inject(fault) => self.inject(now, fault),
                Action::Clear(fault) => self.clear(fault)?,
                Action::RemoveFromDirectory(gateway) => self.directory.remove(gateway),
            }
        }
        self.restart_exited()
    }

    fn inject(&mut self, now: time::Duration, scheduled: plan::ScheduledFault) {
        match scheduled.fault {
            plan::Fault::Kill(index) => self.kill(index),
            plan::Fault::KillAll => (0..self.gateways.len()).for_each(|index| self.kill(index)),
            plan::Fault::Shutdown(index) => {
                let row = &mut self.gateways[index];
                if let Some(process) =
                    row.process.as_ref().filter(|_| row.stop_requested_at.is_none())
                {
                    process.signal(rustix::process::Signal::TERM);
                    row.stop_requested_at = Some(time::Instant::now());
                    self.schedule(now + BALANCER_REMOVAL_DELAY, Action::RemoveFromDirectory(index));
                }
            }
            plan::Fault::Pause(index) => self.signal(index, rustix::process::Signal::STOP),
            plan::Fault::Reload(index) => self.signal(index, rustix::process::Signal::HUP),
            plan::Fault::StoreUnavailable => self.store.set_unavailable(true),
            plan::Fault::StoreDropsResponses => self.store.set_drop_responses(true),
            plan::Fault::StoreLink(index, link_fault) => {
                self.gateways[index].store_link.set_fault(link_fault)
            }
            plan::Fault::RunnerLink(index, link_fault) => {
                self.announcements.record_cut(index);
                self.runner_links[index].set_fault(link_fault)
            }
            plan::Fault::Silence => {
                self.gateways.iter().for_each(|row| row.store_link.silence());
                for (index, link) in self.runner_links.iter().enumerate() {
                    self.announcements.record_cut(index);
                    link.silence();
                }
            }
            plan::Fault::RunnerDropsResponses(index) => {
                self.runners[index].set_drop_responses(true)
            }
            plan::Fault::RunnerLimit(index) => {
                self.runners[index].set_limit(Some(plan::RUNNER_LIMIT_PER_S));
                self.announcements.begin(announcements::Kind::Limit, index);
            }
            plan::Fault::RunnerLeaves(index) => {
                self.runners[index].set_leaving(true);
                self.announcements.begin(announcements::Kind::Leaving, index);
            }
            plan::Fault::Publish => {
                let routes = self.publication.add_route();
                self.directory.set_published_routes(routes);
            }
            plan::Fault::RotateKey(workspace) => self.publication.rotate_key(workspace),
        }
        if scheduled.fault.delays_news() {
            self.publication.keys.begin_fault();
        }
        if !scheduled.fault.is_maintenance() {
            if !scheduled.fault.is_announcement() {
                self.gateways.iter_mut().for_each(|row| row.is_disturbed = true);
            }
            self.schedule(now + scheduled.duration, Action::Clear(scheduled.fault));
        }
    }

    fn clear(&mut self, fault: plan::Fault) -> io::Result<()> {
        if fault.delays_news() {
            self.publication.keys.end_fault();
        }
        match fault {
            plan::Fault::Kill(index) => self.start(index)?,
            plan::Fault::KillAll => {
                for index in 0..self.gateways.len() {
                    self.start(index)?;
                }
            }
            plan::Fault::Pause(index) => {
                self.announcements.record_disturbance();
                self.signal(index, rustix::process::Signal::CONT);
            }
            plan::Fault::StoreUnavailable => self.store.set_unavailable(false),
            plan::Fault::StoreDropsResponses => self.store.set_drop_responses(false),
            plan::Fault::StoreLink(index, _) => {
                self.gateways[index].store_link.set_fault(proxy::LinkFault::None)
            }
            plan::Fault::RunnerLink(index, _) => {
                self.announcements.record_cut_end(index);
                self.runner_links[index].set_fault(proxy::LinkFault::None)
            }
            plan::Fault::Silence => {
                (0..self.runner_links.len())
                    .for_each(|index| self.announcements.record_cut_end(index));
            }
            plan::Fault::RunnerDropsResponses(index) => {
                self.runners[index].set_drop_responses(false)
            }
            plan::Fault::RunnerLimit(index) => {
                self.announcements.end(announcements::Kind::Limit, index);
                self.runners[index].set_limit(None);
            }
            plan::Fault::RunnerLeaves(index) => self.restart_runner(index),
            plan::Fault::Shutdown(_)
            | plan::Fault::Reload(_)
            | plan::Fault::Publish
            | plan::Fault::RotateKey(_) => {}
        }
        Ok(())
    }

    /// Ends the announcement of a runner that leaves, as if it had started again under the same id.
    fn restart_runner(&mut self, index: usize) {
        self.announcements.restart(index);
        self.runners[index].set_leaving(false);
        self.runner_restarts += 1;
        let address = self.runner_links[index].address;
        endpoints::list_again(&self.store, index, address, self.runner_restarts);
    }

    fn kill(&mut self, index: usize) {
        self.directory.remove(index);
        // Dropping the handle kills the process.
        self.gateways[index].process = None;
    }

    fn signal(&mut self, index: usize, signal: rustix::process::Signal) {
        let Some(process) = self.gateways[index].process.as_mut() else { return };
        // `restart_exited` handles a process that has exited by itself.
        if process.is_running() {
            process.signal(signal);
        }
    }

    /// Restarts gateways that have exited or exceeded the time for a graceful shutdown, and records
    /// unexpected exits.
    fn restart_exited(&mut self) -> io::Result<()> {
        for index in 0..self.gateways.len() {
            let row = &mut self.gateways[index];
            let Some(process) = row.process.as_mut() else { continue };
            let stop_requested_at = row.stop_requested_at;
            let is_overdue = stop_requested_at
                .is_some_and(|requested_at| requested_at.elapsed() > SHUTDOWN_TIMEOUT);
            if process.is_running() && !is_overdue {
                continue;
            }
            let code = if is_overdue { None } else { process.wait_for_exit() };
            let is_graceful_exit = stop_requested_at.is_some() && code == Some(0);
            let was_requested = stop_requested_at.is_some();
            let is_excused = was_requested && row.is_disturbed;
            if !is_graceful_exit && !is_excused {
                let message = format!(
                    "stop: gateway-{index} exited with {code:?}, shutdown requested: {was_requested}"
                );
                self.observations.failed_shutdowns.push(message);
            }
            self.kill(index);
            self.start(index)?;
        }
        Ok(())
    }

    /// Whether a gateway shuts down and is to be restarted after that.
    fn has_shutdowns(&self) -> bool {
        self.gateways.iter().any(|row| row.stop_requested_at.is_some())
    }

    /// Sends the last requests of the run; returns one message for each violated guarantee.
    fn probe(&self) -> Vec<String> {
        let processes = self.gateways.iter().filter_map(|row| row.process.as_ref());
        let addresses: Vec<_> = processes.map(|process| process.caller_address).collect();
        probe::violations(&addresses, &self.publication.keys)
    }

    /// Checks the guarantees and sums up the run.
    fn report(self, plan: &plan::Plan) -> Report {
        let by_runner: Vec<_> = self.runners.iter().map(runner::Runner::requests).collect();
        let mut violations = self.announcements.violations(&by_runner, plan.callers);
        let requests = by_runner.concat();
        violations.extend(self.observations.violations(&requests, plan.maintenance_only));
        violations.extend(probe::logged_keys(&self.folder, self.gateways.len()));
        let keys = &self.publication.keys;
        violations.extend(identity::violations(keys, &self.observations.trials, &requests));
        Report {
            faults: plan.faults.len(),
            turns: self.observations.completed_turns(),
            calls: self.observations.calls.len(),
            violations,
        }
    }
}

fn new_gateway(store: net::SocketAddr) -> io::Result<Gateway> {
    let store_link = proxy::Proxy::start(store)?;
    Ok(Gateway {
        process: None,
        store_link,
        start_count: 0,
        stop_requested_at: None,
        is_disturbed: false,
    })
}
