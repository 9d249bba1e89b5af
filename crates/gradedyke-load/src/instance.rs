//! Starts `gradedyke run` processes and reads their CPU time and memory from `/proc`.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};

use eyre::{OptionExt, WrapErr};
use serde_json::Value;

/// Clock ticks per second in `/proc/PID/stat`.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;
/// Bytes in a kilobyte in `/proc/PID/status`.
const BYTES_PER_KILOBYTE: u64 = 1_024;

/// An instance in a child process. Dropping it kills the process.
pub struct Instance {
    child: Child,
    /// The address for callers.
    pub caller_address: SocketAddr,
    // Kept open, so that the process can still write to its standard output.
    stdout: std::io::Lines<BufReader<std::process::ChildStdout>>,
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Instance {
    /// Starts an instance with the given settings, and writes its settings file to `folder`.
    pub fn start(settings: &Value, folder: &Path) -> eyre::Result<Self> {
        let id = settings["id"].as_str().unwrap_or("instance");
        let settings_file = folder.join(format!("{id}.jsonc"));
        std::fs::write(&settings_file, settings.to_string())?;
        let executable = std::env::current_exe()?.with_file_name("gradedyke");
        let mut child = Command::new(&executable)
            .arg("run")
            .arg("--settings")
            .arg(&settings_file)
            .env("GRADEDYKE_LOG", "error")
            .stdout(Stdio::piped())
            .spawn()
            .wrap_err_with(|| format!("cannot start {}; build it first", executable.display()))?;
        let stdout = child
            .stdout
            .take()
            .ok_or_eyre("the stdout of gradedyke is not piped")?;
        let mut lines = BufReader::new(stdout).lines();
        let line = lines
            .next()
            .ok_or_eyre("gradedyke exited before it printed its addresses")??;
        let mut addresses = line.split(' ').filter_map(|w| w.strip_prefix("caller="));
        let caller_address = addresses
            .next()
            .ok_or_eyre("gradedyke printed no address for callers")?
            .parse()?;
        Ok(Self {
            child,
            caller_address,
            stdout: lines,
        })
    }

    /// Waits until the instance accepts calls.
    pub fn wait_until_ready(&mut self) -> eyre::Result<()> {
        while self.stdout.next().ok_or_eyre("gradedyke exited early")?? != "ready=true" {}
        Ok(())
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) -> eyre::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Returns the CPU time of the process so far, in seconds.
    pub fn cpu_seconds(&self) -> eyre::Result<f64> {
        cpu_seconds(self.child.id())
    }

    /// Returns the resident memory of the process, in bytes.
    pub fn resident_bytes(&self) -> eyre::Result<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find(|l| l.starts_with("VmRSS:"));
        let kilobytes = line.and_then(|l| l.split_whitespace().nth(1));
        let kilobytes: u64 = kilobytes
            .ok_or_eyre("no VmRSS in /proc/PID/status")?
            .parse()?;
        Ok(kilobytes * BYTES_PER_KILOBYTE)
    }
}

/// Returns the CPU time of a process so far, in seconds.
pub fn cpu_seconds(pid: u32) -> eyre::Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let (_, rest) = stat
        .rsplit_once(')')
        .ok_or_eyre("malformed /proc/PID/stat")?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    // User and system time: fields 14 and 15 of the line, 11 and 12 after the command name,
    // counted from 0.
    let ticks = |index: usize| -> eyre::Result<f64> { Ok(fields[index].parse()?) };
    Ok((ticks(11)? + ticks(12)?) / CLOCK_TICKS_PER_SECOND)
}
