use super::{
    Arrival, Arrivals, LoadDocument, LoadError, LoadMode, LoadReport, Target,
    client::LoadClient,
    faults::{inject_faults, resolve_faults},
    recorder::{Recorder, Sample},
};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{
    sync::mpsc,
    task::{JoinError, JoinSet},
    time::Instant,
};

/// Counters of a load run that can be read while it is in progress.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    sent: Arc<AtomicU64>,
    finished: Arc<AtomicU64>,
}

impl Progress {
    /// The number of requests sent so far.
    #[must_use]
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// The number of requests finished so far.
    #[must_use]
    pub fn finished(&self) -> u64 {
        self.finished.load(Ordering::Relaxed)
    }
}

struct Run {
    document: LoadDocument,
    client: LoadClient,
    progress: Progress,
    start: Instant,
    end: Instant,
    samples: mpsc::UnboundedSender<Sample>,
}

/// Sends the load of a document to the targets and reports the results.
///
/// `names` maps the names of stand-ins that fault events may use to their addresses.
///
/// # Errors
/// Fails when the document is invalid, there is no target, a fault cannot be applied or a task panics.
pub async fn run_load(
    document: LoadDocument,
    targets: Vec<Target>,
    names: &BTreeMap<String, SocketAddr>,
    progress: Progress,
) -> Result<LoadReport, LoadError> {
    document.check()?;
    if targets.is_empty() {
        return Err(LoadError::NoTarget);
    }
    let faults = resolve_faults(&document.faults, names)?;
    let mut recorder = Recorder::new(&document)?;
    let (samples, mut received) = mpsc::unbounded_channel();
    let start = Instant::now();
    let run = Arc::new(Run {
        client: LoadClient::new(document.clone(), targets),
        end: start + Duration::from_millis(document.duration_ms),
        document: document.clone(),
        progress,
        start,
        samples,
    });
    let injecting = tokio::spawn(inject_faults(faults, start));
    let sending = tokio::spawn(send_all(run));
    while let Some(sample) = received.recv().await {
        recorder.record(sample);
    }
    sending.await??;
    if injecting.is_finished() {
        injecting.await??;
    } else {
        injecting.abort();
    }
    Ok(recorder.report(&document))
}

async fn send_all(run: Arc<Run>) -> Result<(), JoinError> {
    match run.document.mode {
        LoadMode::Open { rate } => send_open(run, rate.0).await,
        LoadMode::Closed { callers } => send_closed(run, callers).await,
    }
}

async fn send_open(run: Arc<Run>, rate: u32) -> Result<(), JoinError> {
    let (due, mut arrivals) = mpsc::unbounded_channel();
    let emitter_run = run.clone();
    let emitter = tokio::task::spawn_blocking(move || emit_arrivals(&emitter_run, rate, &due));
    let mut tasks = JoinSet::new();
    while let Some(arrival) = arrivals.recv().await {
        let run = run.clone();
        tasks.spawn(async move {
            run.send_one(arrival.organisation, run.start + arrival.due)
                .await;
        });
        while let Some(ended) = tasks.try_join_next() {
            ended?;
        }
    }
    join_all(tasks).await?;
    emitter.await
}

/// Emits each arrival at its scheduled time. Runs on a dedicated thread, since the timers of the runtime are too coarse.
fn emit_arrivals(run: &Run, rate: u32, due: &mpsc::UnboundedSender<Arrival>) {
    for arrival in Arrivals::new(&run.document, rate) {
        let at = run.start + arrival.due;
        if at >= run.end {
            return;
        }
        wait_until(at);
        if due.send(arrival).is_err() {
            return;
        }
    }
}

fn wait_until(at: Instant) {
    const SPIN_WINDOW: Duration = Duration::from_micros(100);
    loop {
        let remaining = at.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return;
        }
        match remaining.checked_sub(SPIN_WINDOW) {
            Some(sleep_time) => std::thread::sleep(sleep_time),
            None => std::hint::spin_loop(),
        }
    }
}

async fn send_closed(run: Arc<Run>, callers: u32) -> Result<(), JoinError> {
    let mut tasks = JoinSet::new();
    for caller in 0..callers {
        let run = run.clone();
        let mut document = run.document.clone();
        document.seed = document.seed.wrapping_add(u64::from(caller));
        let mut arrivals = Arrivals::new(&document, 1);
        tasks.spawn(async move {
            while Instant::now() < run.end {
                let organisation = arrivals.choose_organisation();
                run.send_one(organisation, Instant::now()).await;
            }
        });
    }
    join_all(tasks).await
}

/// Waits until all tasks have ended. Fails at once if one panics.
async fn join_all(mut tasks: JoinSet<()>) -> Result<(), JoinError> {
    while let Some(ended) = tasks.join_next().await {
        ended?;
    }
    Ok(())
}

impl Run {
    async fn send_one(&self, organisation: usize, due: Instant) {
        self.progress.sent.fetch_add(1, Ordering::Relaxed);
        let deadline = due + Duration::from_millis(self.document.deadline_ms);
        let result = self.client.send(organisation, deadline).await;
        self.progress.finished.fetch_add(1, Ordering::Relaxed);
        // Sending fails only when the run has been aborted and the receiver dropped.
        let _ = self.samples.send(Sample {
            organisation,
            due: due - self.start,
            latency: due.elapsed(),
            result,
        });
    }
}
