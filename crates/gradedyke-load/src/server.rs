//! A `gradedyke run` process beside the tool, and what the system says it uses.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};

use eyre::{OptionExt, WrapErr};
use serde_json::Value;

/// Clock ticks in a second, as Linux counts them in /proc.
const TICKS: f64 = 100.0;
/// Bytes in a kilobyte, as Linux counts memory in /proc.
const KILOBYTE: u64 = 1_024;

/// A process that is killed when it is dropped.
pub struct Server {
    child: Child,
    /// Where it listens for callers.
    pub caller: SocketAddr,
    // Kept open, so that the process can go on printing.
    lines: std::io::Lines<BufReader<std::process::ChildStdout>>,
}

impl Drop for Server {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Server {
    /// Starts a process with these settings.
    pub fn start(settings: &Value, folder: &Path) -> eyre::Result<Self> {
        let id = settings["id"].as_str().unwrap_or("instance");
        let file = folder.join(format!("{id}.jsonc"));
        std::fs::write(&file, settings.to_string())?;
        let program = std::env::current_exe()?.with_file_name("gradedyke");
        let mut child = Command::new(&program)
            .arg("run")
            .arg("--settings")
            .arg(&file)
            .env("GRADEDYKE_LOG", "error")
            .stdout(Stdio::piped())
            .spawn()
            .wrap_err_with(|| format!("{} cannot be started; build it", program.display()))?;
        let output = child.stdout.take().ok_or_eyre("no output")?;
        let mut lines = BufReader::new(output).lines();
        let line = lines.next().ok_or_eyre("it ended at once")??;
        let mut words = line.split(' ').filter_map(|w| w.strip_prefix("caller="));
        let caller = words.next().ok_or_eyre("it named no address")?.parse()?;
        Ok(Self {
            child,
            caller,
            lines,
        })
    }

    /// Waits until callers may come.
    pub fn ready(&mut self) -> eyre::Result<()> {
        while self.lines.next().ok_or_eyre("it ended")?? != "ready=true" {}
        Ok(())
    }

    /// Kills the process.
    pub fn kill(&mut self) -> eyre::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Processor time used so far, in seconds.
    pub fn cpu(&self) -> eyre::Result<f64> {
        cpu(self.child.id())
    }

    /// Memory in use, in bytes.
    pub fn memory(&self) -> eyre::Result<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find(|l| l.starts_with("VmRSS:"));
        let kilobytes = line.and_then(|l| l.split_whitespace().nth(1));
        let kilobytes: u64 = kilobytes.ok_or_eyre("no VmRSS")?.parse()?;
        Ok(kilobytes * KILOBYTE)
    }
}

/// Processor time of a process so far, in seconds.
pub fn cpu(pid: u32) -> eyre::Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let (_, rest) = stat.rsplit_once(')').ok_or_eyre("no stat")?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    // Fields 14 and 15 of the whole line: user and system time.
    let ticks = |i: usize| -> eyre::Result<f64> { Ok(fields[i].parse()?) };
    Ok((ticks(11)? + ticks(12)?) / TICKS)
}
