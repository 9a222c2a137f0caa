use std::{
    fs,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep},
};

/// A process is idle if it uses at most this many clock ticks in [`IDLE_TIME`].
const IDLE_TICKS: u64 = 8;
const IDLE_TIME: Duration = Duration::from_millis(300);
const MAX_WORKING_TIME: Duration = Duration::from_secs(30);
/// The position of the user time among the fields of `/proc/PID/stat` that follow the name; the system time comes next.
const USER_TIME_FIELD: usize = 11;
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
const KB_PER_MB: usize = 1024;

/// What a process uses, as the kernel shows it under `/proc`.
#[derive(Clone, Copy, Debug)]
pub struct ProcessUsage {
    process: u32,
}

impl ProcessUsage {
    /// Looks at the process with this id.
    #[must_use]
    pub fn of(process: u32) -> Self {
        Self { process }
    }

    /// The most memory that was resident since the start of the process, in MiB, rounded up; `None` once the process has ended.
    #[must_use]
    pub fn peak_memory_mb(self) -> Option<usize> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.process)).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))?;
        let kb: usize = line.split_whitespace().next()?.parse().ok()?;
        Some(kb.div_ceil(KB_PER_MB))
    }

    /// The number of open descriptors; `None` once the process has ended.
    #[must_use]
    pub fn open_descriptors(self) -> Option<usize> {
        let folder = fs::read_dir(format!("/proc/{}/fd", self.process)).ok()?;
        Some(folder.count())
    }

    /// Waits until the process has nothing left to do, for 30 seconds at most.
    pub async fn await_idle(self) {
        let until = Instant::now() + MAX_WORKING_TIME;
        while Instant::now() < until {
            let before = self.processor_ticks();
            sleep(IDLE_TIME).await;
            let used = self.processor_ticks().zip(before);
            if used.is_none_or(|(after, before)| after - before <= IDLE_TICKS) {
                return;
            }
        }
    }

    fn processor_ticks(self) -> Option<u64> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.process)).ok()?;
        let (_, fields) = stat.rsplit_once(')')?;
        let times = fields.split_whitespace().skip(USER_TIME_FIELD).take(2);
        times.map(|ticks| ticks.parse::<u64>().ok()).sum()
    }

    /// Samples the open descriptors until the returned value is dropped.
    #[must_use]
    pub fn watch(self) -> UsageWatch {
        let most = Arc::new(AtomicUsize::new(0));
        let recorded = most.clone();
        let sampling = tokio::spawn(async move {
            while let Some(open) = self.open_descriptors() {
                recorded.fetch_max(open, Ordering::Relaxed);
                sleep(SAMPLE_INTERVAL).await;
            }
        });
        UsageWatch { most, sampling }
    }
}

/// The samples of a process's open descriptors.
#[derive(Debug)]
pub struct UsageWatch {
    most: Arc<AtomicUsize>,
    sampling: JoinHandle<()>,
}

impl UsageWatch {
    /// The most descriptors in one sample.
    #[must_use]
    pub fn most_descriptors(&self) -> usize {
        self.most.load(Ordering::Relaxed)
    }
}

impl Drop for UsageWatch {
    fn drop(&mut self) {
        self.sampling.abort();
    }
}
