//! The system's own processes, started with the commands of the deploy file.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http;
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

/// The zones of the deployment; keepers and entries are in them by turns.
const ZONES: [&str; 3] = ["north-a", "north-b", "north-c"];

/// Size of a page of memory.
const PAGE_BYTES: u64 = 4_096;
/// How often the platform looks how much memory a process uses.
const MEMORY_CHECK: Duration = Duration::from_millis(2);
/// The short delay after which the platform starts a process again that has ended.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// `memory_mb` of the machines with a disk and of the others, as in a small deployment.
const KEEPER_MEMORY_MB: u64 = 120;
const ENTRY_MEMORY_MB: u64 = 110;
/// Time after which a case is given up.
const CASE_LIMIT: Duration = Duration::from_secs(112);

/// The IDs of all processes that run; `None` once the case is over.
static RUNNING: Mutex<Option<Vec<u32>>> = Mutex::new(Some(Vec::new()));

/// Ends all processes. None is started any more.
pub fn end_all() {
    for pid in RUNNING.lock().unwrap().take().unwrap_or_default() {
        // Fails only if the process has exited.
        let _ = Command::new("kill")
            .arg("-KILL")
            .arg(pid.to_string())
            .status();
    }
}

/// Ends all processes and gives the case up when it takes too long, or when the script that
/// started it has ended.
pub fn start_watchdog() {
    let (started, parent) = (Instant::now(), std::os::unix::process::parent_id());
    std::thread::spawn(move || {
        while started.elapsed() < CASE_LIMIT && std::os::unix::process::parent_id() == parent {
            std::thread::sleep(Duration::from_millis(100));
        }
        end_all();
        eprintln!("the case took over {CASE_LIMIT:?} or was stopped");
        std::process::exit(2);
    });
}

/// A process of the system on a machine of its own.
pub struct Process {
    pub name: String,
    role: &'static str,
    memory_mb: u64,
    /// How often it was ended because it used more memory than its machine has.
    pub over_memory: u32,
    /// The most memory that it used, in bytes.
    pub peak: u64,
    settings: PathBuf,
    pub data: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// A process that the platform watches as well.
#[derive(Clone)]
pub struct Shared(Arc<Mutex<Process>>);

impl Shared {
    pub fn lock(&self) -> MutexGuard<'_, Process> {
        self.0.lock().unwrap()
    }

    pub fn name(&self) -> String {
        self.lock().name.clone()
    }

    /// Does what the platform does with a process that goes over `memory_mb`: ends it, and starts
    /// it again after a short delay.
    pub fn watch_memory(&self, record: &Arc<Record>) {
        let (process, record) = (self.clone(), record.clone());
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(MEMORY_CHECK);
                let mut locked = process.lock();
                let memory = locked.memory();
                locked.peak = locked.peak.max(memory);
                if memory <= locked.memory_mb * 1_000_000 {
                    continue;
                }
                locked.kill();
                locked.over_memory += 1;
                record.line(&format!(
                    "{} uses {} MB of {} MB and is killed, for the {}. time",
                    locked.name,
                    memory / 1_000_000,
                    locked.memory_mb,
                    locked.over_memory
                ));
                drop(locked);
                std::thread::sleep(RESTART_DELAY);
                if let Err(error) = process.lock().start() {
                    record.line(&format!("cannot be started again: {error}"));
                }
            }
        });
    }
}

/// A deployment of keepers and entries.
pub struct System {
    pub keepers: Vec<Shared>,
    pub entries: Vec<Shared>,
    pub callers: Vec<SocketAddr>,
    ready: Vec<SocketAddr>,
    record: Arc<Record>,
}

/// Waits for the end of a process.
fn forget(child: &mut Child) {
    let _ = child.wait();
    if let Some(running) = RUNNING.lock().unwrap().as_mut() {
        running.retain(|pid| *pid != child.id());
    }
}

/// Free ports on a loopback address of this run, so that runs side by side and outgoing
/// connections, which come from 127.0.0.1, take none of them.
fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let own = Ipv4Addr::new(127, 1 + (high & 0x7f), low, 1);
    let listeners: io::Result<Vec<_>> = (0..count).map(|_| TcpListener::bind((own, 0))).collect();
    listeners?.iter().map(TcpListener::local_addr).collect()
}

impl Process {
    fn new(folder: &Path, role: &'static str, name: &str) -> Self {
        Self {
            name: name.to_owned(),
            role,
            memory_mb: if role == "keeper" {
                KEEPER_MEMORY_MB
            } else {
                ENTRY_MEMORY_MB
            },
            over_memory: 0,
            peak: 0,
            settings: folder.join(format!("{name}.jsonc")),
            data: folder.join(format!("{name}-data")),
            log: folder.join(format!("{name}.log")),
            child: None,
        }
    }

    /// Starts it, as `run` of its role in the deploy file says.
    pub fn start(&mut self) -> io::Result<()> {
        let mut running = RUNNING.lock().unwrap();
        let Some(running) = running.as_mut() else {
            return Ok(());
        };
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new("target/release/gradedyke")
            .args(["serve", self.role])
            .env("GRADEDYKE_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        running.push(child.id());
        self.child = Some(child);
        Ok(())
    }

    /// Ends it at once, as a loss of power does.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Fails only if the process has exited.
            let _ = child.kill();
            forget(&mut child);
        }
    }

    /// Stops it as planned and waits for its end.
    pub fn terminate(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Fails only if the process has exited.
            let _ = Command::new("kill")
                .arg("-TERM")
                .arg(child.id().to_string())
                .status();
            forget(&mut child);
        }
    }

    /// Memory that it uses for itself, in bytes: resident pages that do not belong to files.
    /// Unread bytes in sockets, which the platform counts as well, are left out.
    fn memory(&self) -> u64 {
        let pid = self.child.as_ref().map_or(0, Child::id);
        let text = std::fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
        let pages: Vec<u64> = text
            .split(' ')
            .filter_map(|n| n.trim().parse().ok())
            .collect();
        match pages[..] {
            [_, resident, shared, ..] => resident.saturating_sub(shared) * PAGE_BYTES,
            _ => 0,
        }
    }

    /// Whether it has ended by itself.
    fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

impl System {
    /// Starts keepers and entries in `folder` at a first start of the whole system.
    pub fn start(
        folder: &Path,
        keeper_count: usize,
        entry_count: usize,
        store: &Store,
        record: &Arc<Record>,
    ) -> io::Result<Self> {
        let addresses = free_addresses(keeper_count * 2 + entry_count * 4)?;
        let mut addresses = addresses.into_iter();
        let mut next = || addresses.next().expect("enough addresses");
        let peers: Vec<SocketAddr> = (0..keeper_count).map(|_| next()).collect();
        let seeds: Vec<String> = peers.iter().take(3).map(|a| format!("\"{a}\"")).collect();
        let zones: Vec<String> = ZONES.iter().map(|z| format!("\"{z}\"")).collect();
        let regions: Vec<String> = ZONES
            .iter()
            .map(|z| format!("\"{z}\": \"north\""))
            .collect();
        // As deploy/settings.jsonc is filled in for a small deployment.
        let settings = |name: &str, zone: &str, listen: &str, rest: &str| {
            format!(
                r#"{{"name": "{name}", "data_centre": "{zone}", "data_centres": [{}], "regions": {{{}}},
                "listen": {{{listen}}}, "platform": "{}", "seeds": [{}], {rest}
                "tolerate": 1, "grace_s": 8, "drain_ms": 2000, "in_force_ms": 2000,
                "decisions": {{"off": ["program_plan"]}}}}"#,
                zones.join(", "),
                regions.join(", "),
                store.address,
                seeds.join(", "),
            )
        };
        let mut system = Self {
            keepers: Vec::new(),
            entries: Vec::new(),
            callers: Vec::new(),
            ready: Vec::new(),
            record: record.clone(),
        };
        for (number, peer) in peers.iter().enumerate() {
            let zone = ZONES[number % ZONES.len()];
            let mut keeper = Process::new(folder, "keeper", &format!("store-{zone}-{number}"));
            let listen = format!(r#""peer": "{peer}", "metrics": "{}""#, next());
            let data = keeper.data.display().to_string();
            let rest = |first_start| {
                format!(
                    r#""data_folder": "{data}", "first_start": {first_start}, "memory_mb": 120,"#
                )
            };
            let text = settings(&keeper.name, zone, &listen, &rest(true));
            std::fs::write(&keeper.settings, text)?;
            keeper.start()?;
            // `bootstrap` is true only at the first start; the process has read it by then.
            let (path, later) = (
                keeper.settings.clone(),
                settings(&keeper.name, zone, &listen, &rest(false)),
            );
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(1_000));
                std::fs::write(path, later)
            });
            system.keepers.push(Shared(Arc::new(Mutex::new(keeper))));
        }
        for number in 0..entry_count {
            let zone = ZONES[number % ZONES.len()];
            let mut entry = Process::new(folder, "entry", &format!("front-{zone}-{number}"));
            let (caller, ready) = (next(), next());
            let listen = format!(
                r#""caller": "{caller}", "ready": "{ready}", "peer": "{}", "metrics": "{}""#,
                next(),
                next(),
            );
            let rest = r#""memory_mb": 110,"#;
            std::fs::write(&entry.settings, settings(&entry.name, zone, &listen, rest))?;
            entry.start()?;
            system.entries.push(Shared(Arc::new(Mutex::new(entry))));
            system.callers.push(caller);
            system.ready.push(ready);
        }
        Ok(system)
    }

    /// Waits until all entries are ready and the view has three active members.
    pub fn wait_until_ready(&self, store: &Store, limit: Duration) -> Result<(), String> {
        let until = Instant::now() + limit;
        loop {
            let is_ready =
                |address: &SocketAddr| http::status_of(*address, "/gradedyke/ready") == Some(200);
            let view = store.get("gradedyke/view");
            let active = members(&view).filter(|(_, active)| *active).count();
            if active >= 3 && self.ready.iter().all(is_ready) {
                self.record
                    .line(&format!("the system is ready, view {}", describe(&view)));
                return Ok(());
            }
            let mut processes = self.keepers.iter().chain(&self.entries);
            if let Some(ended) = processes.find(|process| process.lock().has_ended()) {
                return Err(format!("{} has ended", ended.name()));
            }
            if Instant::now() > until {
                return Err(format!("not ready, view {}", describe(&view)));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// The numbers of the keepers that are members of the view, and of those that are not.
    pub fn split_by_membership(&self, store: &Store) -> (Vec<usize>, Vec<usize>) {
        let view = store.get("gradedyke/view");
        let names: Vec<String> = members(&view).map(|(name, _)| name).collect();
        (0..self.keepers.len()).partition(|n| names.contains(&self.keepers[*n].name()))
    }
}

/// The members of a view with whether they are active.
pub fn members(view: &Json) -> impl Iterator<Item = (String, bool)> + '_ {
    let members = view.get("members").list().iter();
    members.map(|m| (m.get("name").text().to_owned(), m.get("active").is_true()))
}

/// A view in one line.
pub fn describe(view: &Json) -> String {
    let member = |(name, active): (String, bool)| {
        format!("{name}{}", if active { "" } else { " (inactive)" })
    };
    let members: Vec<String> = members(view).map(member).collect();
    format!("{} of {}", view.get("version").number(), members.join(", "))
}
