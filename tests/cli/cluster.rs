use crate::{lycheeyard, transcript};
use std::{
    io::{BufRead, BufReader},
    process::{Child, Output, Stdio},
    time::{Duration, Instant},
};

const OPERATOR_KEY: &str = "operator-key-of-the-tests";
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A running `lycheeyard local --no-tour` on free ports; the process is killed on drop.
pub struct Cluster {
    child: Child,
    /// The addresses of the entry instances, in the order of their data centres.
    pub entries: Vec<String>,
}

impl Cluster {
    /// Starts a cluster of the named deployment.
    pub fn start(deployment: &str) -> Self {
        let args = [
            "local",
            "--no-tour",
            "--free-ports",
            "--deployment",
            deployment,
        ];
        let mut child = lycheeyard(&args)
            .env("LYCHEEYARD_KEY", OPERATOR_KEY)
            .stdout(Stdio::piped())
            .spawn()
            .expect("lycheeyard starts");
        let stdout = child.stdout.take().expect("standard output is piped");
        let mut entries = Vec::new();
        for line in BufReader::new(stdout).lines() {
            let line = line.expect("standard output is UTF-8");
            if line.starts_with("Press") {
                break;
            }
            if let Some(("entry instance", rest)) = line.split_once(" of ")
                && let Some((_, address)) = rest.split_once(": ")
            {
                entries.push(address.to_owned());
            }
        }
        assert!(!entries.is_empty(), "the cluster printed no entry address");
        Self { child, entries }
    }

    /// Runs a command against the first entry instance, as an operator.
    pub fn run(&self, args: &[&str]) -> Output {
        self.run_as(Some(OPERATOR_KEY), args)
    }

    /// Runs a command against the first entry instance, with the given key or without one.
    pub fn run_as(&self, key: Option<&str>, args: &[&str]) -> Output {
        let mut command = lycheeyard(args);
        command.env("LYCHEEYARD_ENTRY", &self.entries[0]);
        if let Some(key) = key {
            command.env("LYCHEEYARD_KEY", key);
        }
        command.output().expect("lycheeyard runs")
    }

    /// Runs a command as an operator and returns its transcript.
    pub fn transcript(&self, args: &[&str]) -> String {
        transcript(args, &self.run(args))
    }

    /// Repeats a command until its output contains the expected text; fails after 60 seconds.
    pub fn wait_for(&self, args: &[&str], expected: &str) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let output = self.run(args);
            let text = String::from_utf8_lossy(&output.stdout).into_owned();
            if text.contains(expected) {
                return;
            }
            let errors = String::from_utf8_lossy(&output.stderr).into_owned();
            assert!(
                Instant::now() < deadline,
                "{args:?} did not print `{expected}` in time; last output: {text}{errors}"
            );
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
