//! One run: the control thread that starts gateways, causes faults and heals them.

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
use crate::fleet::platform;
use crate::fleet::runner;
use crate::fleet::store;
use crate::soak::callers;
use crate::soak::directory;
use crate::soak::observations;
use crate::soak::plan;
use crate::soak::proxy;

/// Time between two ticks of the control thread.
const TICK: time::Duration = time::Duration::from_millis(20);
/// Time after which a gateway that was told to stop gets no new connection: the balancer asks once a second
/// and takes a process out after two misses.
const WITHDRAWAL: time::Duration = time::Duration::from_millis(2_200);
/// Time that a graceful stop may take.
const GRACE: time::Duration = time::Duration::from_secs(8);
/// Pause before an answer, or before each part of a model runner's.
const ANSWER_PAUSE: time::Duration = time::Duration::from_millis(15);
/// Time after the last answer in which a request that was refused could still run.
const SETTLING: time::Duration = time::Duration::from_millis(1_500);

/// What a run found.
#[derive(Debug)]
pub struct Report {
    /// Faults that were caused.
    pub faults: usize,
    /// Turns that were answered whole.
    pub turns: usize,
    /// Calls of tools.
    pub calls: usize,
    /// Promises that were violations, a line each.
    pub violations: Vec<String>,
}

/// A gateway's row.
struct Gateway {
    process: Option<gateways::Gateway>,
    link: proxy::Proxy,
    boots: u32,
    /// When it was told to stop; none where it was not.
    stopping: Option<time::Instant>,
    /// Whether its stop is disturbed by another fault.
    is_disturbed: bool,
}

/// What is due at a time.
#[derive(Clone, Copy, Debug)]
enum Step {
    Cause(plan::ScheduledFault),
    Heal(plan::Fault),
    Withdraw(usize),
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
    agenda: collections::BTreeMap<(time::Duration, usize), Step>,
    steps: usize,
    routes: u64,
    observations: observations::Observations,
}

/// Runs `plan` with the daemon at `program`; settings and logs go to `folder`.
///
/// # Errors
///
/// A program that can't be run, or a port that can't be used.
pub fn run(plan: &plan::Plan, program: &path::Path, folder: &path::Path) -> io::Result<Report> {
    let mut world = World::new(plan, program, folder)?;
    for gateway in 0..plan.gateways {
        world.start(gateway)?;
    }
    for gateway in &world.gateways {
        if !gateway.process.as_ref().is_some_and(gateways::Gateway::wait_until_ready) {
            return Err(io::Error::other("a gateway does not get ready; read its log"));
        }
    }
    let (tx, rx) = mpsc::channel();
    let stop = sync::Arc::new(atomic::AtomicBool::new(false));
    let threads: Vec<_> = (0..plan.callers)
        .map(|number| {
            let caller =
                callers::Caller::new(plan.seed, number, world.directory.clone(), tx.clone());
            let stop = stop.clone();
            thread::spawn(move || caller.run(&stop))
        })
        .collect();
    drop(tx);
    let begin = time::Instant::now();
    while begin.elapsed() < plan.load_duration || !world.agenda.is_empty() {
        world.tick(begin.elapsed())?;
        rx.try_iter().for_each(|observation| world.observations.record(observation));
        if begin.elapsed() >= plan.load_duration {
            stop.store(true, atomic::Ordering::Relaxed);
        }
        thread::sleep(TICK);
    }
    stop.store(true, atomic::Ordering::Relaxed);
    while threads.iter().any(|thread| !thread.is_finished()) {
        world.watch_stops()?;
        rx.try_iter().for_each(|observation| world.observations.record(observation));
        thread::sleep(TICK);
    }
    rx.try_iter().for_each(|observation| world.observations.record(observation));
    thread::sleep(SETTLING);
    Ok(world.report(plan))
}

impl World {
    fn new(plan: &plan::Plan, program: &path::Path, folder: &path::Path) -> io::Result<Self> {
        let store = store::Store::new();
        let store_at = store.serve()?;
        let (mut runners, mut runner_links) = (Vec::new(), Vec::new());
        for number in 0..plan::RUNNERS {
            let runner = runner::Runner::new();
            runner.set_delay(ANSWER_PAUSE);
            let (service, address) = match number < plan::MODEL_RUNNERS {
                true => ("model", runner.serve_model(callers::EVENTS_PER_RESPONSE)?),
                false => ("plain", runner.serve_plain()?),
            };
            let link = proxy::Proxy::start(address)?;
            let entry = platform::runner_entry(service, link.address);
            store.set("keyed.servers", &format!("runner-{number}"), &entry);
            runners.push(runner);
            runner_links.push(link);
        }
        store.set("keyed.op", "config", &platform::configuration(1, 0));
        let gateways = (0..plan.gateways).map(|_| gateway(store_at)).collect::<io::Result<_>>()?;
        let mut world = World {
            program: program.to_owned(),
            folder: folder.to_owned(),
            store,
            gateways,
            runners,
            runner_links,
            directory: directory::Directory::default(),
            agenda: collections::BTreeMap::new(),
            steps: 0,
            routes: 0,
            observations: observations::Observations::default(),
        };
        for entry in &plan.faults {
            world.schedule(entry.at, Step::Cause(*entry));
        }
        Ok(world)
    }

    fn schedule(&mut self, at: time::Duration, step: Step) {
        self.steps += 1;
        self.agenda.insert((at, self.steps), step);
    }

    /// Starts a gateway that does not run.
    fn start(&mut self, at: usize) -> io::Result<()> {
        let row = &mut self.gateways[at];
        if row.process.is_some() {
            return Ok(());
        }
        let name = format!("gateway-{at}");
        let process = gateways::start(&self.program, &self.folder, &name, row.link.address)?;
        row.boots += 1;
        let incarnation = directory::Incarnation {
            gateway: at,
            number: row.boots,
            address: process.caller_address,
        };
        row.process = Some(process);
        row.stopping = None;
        row.is_disturbed = false;
        self.directory.add(incarnation);
        Ok(())
    }

    /// Does what is due at `now`.
    fn tick(&mut self, now: time::Duration) -> io::Result<()> {
        while let Some((key, step)) = self.agenda.first_key_value().map(|(key, step)| (*key, *step))
        {
            if key.0 > now {
                break;
            }
            self.agenda.remove(&key);
            match step {
                Step::Cause(entry) => self.cause(now, entry),
                Step::Heal(fault) => self.heal(fault)?,
                Step::Withdraw(gateway) => self.directory.remove(gateway),
            }
        }
        self.watch_stops()
    }

    fn cause(&mut self, now: time::Duration, entry: plan::ScheduledFault) {
        match entry.fault {
            plan::Fault::Kill(at) => self.kill(at),
            plan::Fault::KillAll => (0..self.gateways.len()).for_each(|at| self.kill(at)),
            plan::Fault::Shutdown(at) => {
                let row = &mut self.gateways[at];
                if let Some(process) = row.process.as_ref().filter(|_| row.stopping.is_none()) {
                    process.signal(rustix::process::Signal::TERM);
                    row.stopping = Some(time::Instant::now());
                    self.schedule(now + WITHDRAWAL, Step::Withdraw(at));
                }
            }
            plan::Fault::Pause(at) => self.signal(at, rustix::process::Signal::STOP),
            plan::Fault::Reload(at) => self.signal(at, rustix::process::Signal::HUP),
            plan::Fault::StoreUnavailable => self.store.set_unavailable(true),
            plan::Fault::StoreDropsResponses => self.store.set_drop_responses(true),
            plan::Fault::StoreLink(at, harm) => self.gateways[at].link.set_fault(harm),
            plan::Fault::RunnerLink(at, harm) => self.runner_links[at].set_fault(harm),
            plan::Fault::RunnerDropsResponses(at) => self.runners[at].set_drop_responses(true),
            plan::Fault::Publish => {
                self.routes += 1;
                let text = platform::configuration(self.routes + 1, self.routes);
                self.store.set("keyed.op", "config", &text);
                self.directory.set_published_routes(self.routes);
            }
        }
        if !entry.fault.is_maintenance() {
            self.gateways.iter_mut().for_each(|row| row.is_disturbed = true);
            self.schedule(now + entry.duration, Step::Heal(entry.fault));
        }
    }

    fn heal(&mut self, fault: plan::Fault) -> io::Result<()> {
        match fault {
            plan::Fault::Kill(at) => self.start(at)?,
            plan::Fault::KillAll => {
                for at in 0..self.gateways.len() {
                    self.start(at)?;
                }
            }
            plan::Fault::Pause(at) => self.signal(at, rustix::process::Signal::CONT),
            plan::Fault::StoreUnavailable => self.store.set_unavailable(false),
            plan::Fault::StoreDropsResponses => self.store.set_drop_responses(false),
            plan::Fault::StoreLink(at, _) => {
                self.gateways[at].link.set_fault(proxy::LinkFault::None)
            }
            plan::Fault::RunnerLink(at, _) => {
                self.runner_links[at].set_fault(proxy::LinkFault::None)
            }
            plan::Fault::RunnerDropsResponses(at) => self.runners[at].set_drop_responses(false),
            plan::Fault::Shutdown(_) | plan::Fault::Reload(_) | plan::Fault::Publish => {}
        }
        Ok(())
    }

    fn kill(&mut self, at: usize) {
        self.directory.remove(at);
        // Ends the process when it is dropped.
        self.gateways[at].process = None;
    }

    fn signal(&mut self, at: usize, signal: rustix::process::Signal) {
        let Some(process) = self.gateways[at].process.as_mut() else { return };
        // One that has stopped by itself is seen by the next look.
        if process.is_running() {
            process.signal(signal);
        }
    }

    /// Starts the gateways again that have stopped, and takes down how they did.
    fn watch_stops(&mut self) -> io::Result<()> {
        for at in 0..self.gateways.len() {
            let row = &mut self.gateways[at];
            let Some(process) = row.process.as_mut() else { continue };
            let stopping = row.stopping;
            let overdue = stopping.is_some_and(|since| since.elapsed() > GRACE);
            if process.is_running() && !overdue {
                continue;
            }
            let code = if overdue { None } else { process.wait_for_exit() };
            let is_clean = stopping.is_some() && code == Some(0);
            let told = stopping.is_some();
            let is_excused = told && row.is_disturbed;
            if !is_clean && !is_excused {
                let line = format!("stop: gateway-{at} ended with {code:?}, told to stop: {told}");
                self.observations.failed_shutdowns.push(line);
            }
            self.kill(at);
            self.start(at)?;
        }
        Ok(())
    }

    fn report(self, plan: &plan::Plan) -> Report {
        let requests: Vec<_> = self.runners.iter().flat_map(runner::Runner::requests).collect();
        Report {
            faults: plan.faults.len(),
            turns: self.observations.completed_turns(),
            calls: self.observations.calls.len(),
            violations: self.observations.violations(&requests, plan.maintenance_only),
        }
    }
}

fn gateway(store: net::SocketAddr) -> io::Result<Gateway> {
    let link = proxy::Proxy::start(store)?;
    Ok(Gateway { process: None, link, boots: 0, stopping: None, is_disturbed: false })
}
