//! A runner as the users' pages describe it. A work unit works for the number of milliseconds that its spec names.

use crate::{
    http::{Reply, Request, Service, serve},
    json::Json,
    record::Record,
    store::Store,
};
use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// How often a runner writes its entry in the store.
pub const HEARTBEAT: Duration = Duration::from_millis(1500);
/// The longest lease.
pub const HOLD_MAX: Duration = Duration::from_millis(6000);
/// A work unit with more work than this is one that lasts.
const LONGEST_BATCH_WORK: Duration = Duration::from_secs(300);
/// When a run fails on a runner that fails all.
const FAILING_TIME: Duration = Duration::from_millis(100);
const STARTUP: Duration = Duration::from_millis(300);
const TICK: Duration = Duration::from_millis(10);
const MAX_LISTED_ENDS: usize = 500;
/// A silent runner's entry is removed after three check-in intervals.
const ENTRY_TTL: Duration = Duration::from_millis(4500);

/// What a runner has, or a work unit needs.
#[derive(Clone, Copy, Default)]
pub struct Room {
    pub cpu: u64,
    pub memory_mb: u64,
    pub gpu: u64,
}

/// A work unit of a job as the case submitted it.
pub struct RunnerConfig {
    pub id: String,
    pub ip: String,
    pub service: String,
    pub zone: String,
    pub rack: String,
    pub room: Room,
}

/// A start of a work unit, for the checks of a case.
#[derive(Clone)]
pub struct Start {
    pub at_ms: u64,
    pub task: String,
    pub run: u64,
    pub runner: String,
}

/// The end of a run, for the checks of a case.
#[derive(Clone)]
pub struct End {
    pub at_ms: u64,
    pub task: String,
    pub run: u64,
    pub how: &'static str,
    /// When a report acknowledged it.
    pub noted_at_ms: Option<u64>,
}

/// What all runners of a case have begun and ended, and what the work units of its jobs need.
#[derive(Default)]
pub struct Log {
    pub starts: Vec<Start>,
    pub ends: Vec<End>,
    /// By job: what each of its work units needs.
    pub demands: BTreeMap<String, Room>,
}

struct Run {
    number: u64,
    begun_at: Instant,
    work: Duration,
    room: Room,
}

impl Run {
    /// A work unit that lasts is at work, with 100 percent, after a short startup.
    fn percent(&self) -> u128 {
        let elapsed = self.begun_at.elapsed();
        if self.work > LONGEST_BATCH_WORK {
            return if elapsed > STARTUP { 100 } else { 0 };
        }
        (elapsed.as_millis() * 100 / self.work.as_millis().max(1)).min(99)
    }
}

struct ListedEnd {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    /// The position in the log.
    logged: usize,
}

struct State {
    /// Counts the lifetimes; a connection belongs to one.
    life: u64,
    is_down: bool,
    /// Whether all runs fail shortly after they have begun.
    fails_all: bool,
    /// When the runner leaves for good; until then it drains.
    leaves_at: Option<Instant>,
    cut_until: Option<Instant>,
    /// The next start order gets no answer, and is carried out after this.
    next_start_after: Option<Duration>,
    /// The next acknowledgement of ends gets no answer, and is carried out after this.
    next_acknowledgement_after: Option<Duration>,
    born_ms: u64,
    born_at: Instant,
    sequence: u64,
    fence: u64,
    lease_until_ms: u64,
    runs: BTreeMap<String, Run>,
    /// The highest run of each work unit that has ended or was stopped here.
    over: BTreeMap<String, u64>,
    ended: Vec<ListedEnd>,
    last_end: u64,
}

pub struct Runner {
    pub config: RunnerConfig,
    address: Mutex<Option<SocketAddr>>,
    state: Mutex<State>,
    changed: Condvar,
    pub log: Arc<Mutex<Log>>,
    record: Arc<Record>,
    store: Arc<Store>,
}

impl State {
    fn new(life: u64) -> Self {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            life,
            is_down: false,
            fails_all: false,
            leaves_at: None,
            cut_until: None,
            next_start_after: None,
            next_acknowledgement_after: None,
            born_ms: now.map_or(0, |now| u64::try_from(now.as_millis()).unwrap_or(0)),
            born_at: Instant::now(),
            sequence: 0,
            fence: 0,
            lease_until_ms: 0,
            runs: BTreeMap::new(),
            over: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        u64::try_from(self.born_at.elapsed().as_millis()).unwrap_or(0)
    }

    /// Extends the lease of everything that runs; it never shortens, and lasts `HOLD_MAX` at most.
    fn extend(&mut self, deadline_ms: Option<u64>) {
        let longest = self.clock_ms() + u64::try_from(HOLD_MAX.as_millis()).unwrap_or(0);
        let until = deadline_ms.unwrap_or(0).min(longest);
        self.lease_until_ms = self.lease_until_ms.max(until);
    }

    fn free(&self, room: Room) -> Room {
        let runs = self.runs.values();
        runs.fold(room, |free, run| Room {
            cpu: free.cpu.saturating_sub(run.room.cpu),
            memory_mb: free.memory_mb.saturating_sub(run.room.memory_mb),
            gpu: free.gpu.saturating_sub(run.room.gpu),
        })
    }
}

impl Runner {
    pub fn start(
        config: RunnerConfig,
        log: Arc<Mutex<Log>>,
        record: Arc<Record>,
        store: Arc<Store>,
    ) -> std::io::Result<Arc<Self>> {
        let ip = config.ip.clone();
        let runner = Arc::new(Self {
            config,
            address: Mutex::new(None),
            state: Mutex::new(State::new(1)),
            changed: Condvar::new(),
            log,
            record,
            store,
        });
        let address = serve(&ip, Arc::clone(&runner))?;
        *runner
            .address
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(address);
        let ticking = Arc::clone(&runner);
        thread::spawn(move || ticking.tick());
        let beating = Arc::clone(&runner);
        thread::spawn(move || beating.beat());
        Ok(runner)
    }

    /// Crashes the process: everything that runs is gone, and the port has no listener.
    pub fn crash(&self) {
        let mut state = self.lock();
        for (task, run) in std::mem::take(&mut state.runs) {
            self.record.line(&format!(
                "{}: {task} run {} is gone with the crash",
                self.config.id, run.number
            ));
        }
        state.is_down = true;
        state.life += 1;
        self.record.line(&format!("{}: crashes", self.config.id));
        self.changed.notify_all();
    }

    /// Starts again under the same id, knowing nothing of before.
    pub fn restart(&self) {
        let mut state = self.lock();
        let cut_until = state.cut_until;
        *state = State {
            cut_until,
            ..State::new(state.life + 1)
        };
        self.record.line(&format!(
            "{}: starts again, born {}",
            self.config.id, state.born_ms
        ));
        drop(state);
        self.write_entry();
    }

    /// Cuts the runner off from all machines of the system. Bytes that are held up arrive afterwards, unless their sender has closed the
    /// connection. The runner still reaches the store.
    pub fn cut(&self, duration: Duration) {
        self.lock().cut_until = Some(Instant::now() + duration);
        self.record.line(&format!(
            "{}: cut off from all machines for {} ms",
            self.config.id,
            duration.as_millis()
        ));
    }

    /// Lets all runs fail shortly after they have begun, or no longer.
    pub fn set_failing(&self, fails_all: bool) {
        self.lock().fails_all = fails_all;
        let what = if fails_all {
            "fails all that it starts"
        } else {
            "is sound again"
        };
        self.record.line(&format!("{}: {what}", self.config.id));
    }

    /// Announces that the runner leaves for good after `time`. What runs then ends.
    pub fn drain(&self, time: Duration) {
        self.lock().leaves_at = Some(Instant::now() + time);
        self.record.line(&format!(
            "{}: drains and leaves in {} ms",
            self.config.id,
            time.as_millis()
        ));
        self.write_entry();
    }

    /// Leaves if the time has come.
    fn leave_in_time(&self) {
        let leaves_at = self.lock().leaves_at;
        if leaves_at.is_some_and(|at| at <= Instant::now()) && !self.lock().is_down {
            self.store.remove(&format!("servers/{}", self.config.id));
            self.record.line(&format!("{}: has left", self.config.id));
            self.crash();
        }
    }

    /// Whether one of the work units of a job is at work here.
    pub fn runs_any_of(&self, job: &str) -> bool {
        let state = self.lock();
        state
            .runs
            .keys()
            .any(|task| task.split('.').next() == Some(job))
    }

    /// Whether the process runs and does not drain.
    pub fn is_usable(&self) -> bool {
        let state = self.lock();
        !state.is_down && state.leaves_at.is_none()
    }

    /// Returns the work units that run here.
    pub fn running(&self) -> Vec<String> {
        self.lock().runs.keys().cloned().collect()
    }

    /// Leaves the next start order unanswered, and carries it out after `delay`.
    pub fn delay_next_start(&self, delay: Duration) {
        self.lock().next_start_after = Some(delay);
    }

    /// Leaves the next acknowledgement of ends unanswered, and carries it out after `delay`.
    pub fn delay_next_acknowledgement(&self, delay: Duration) {
        self.lock().next_acknowledgement_after = Some(delay);
    }

    /// Whether a start order has been left unanswered since the last call of `delay_next_start`.
    pub fn has_delayed_start(&self) -> bool {
        self.lock().next_start_after.is_none()
    }

    /// Whether nothing runs here.
    pub fn is_empty(&self) -> bool {
        self.lock().runs.is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn log(&self) -> MutexGuard<'_, Log> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn beat(&self) {
        let mut silent_since = None;
        let mut is_removed = false;
        loop {
            if self.lock().is_down {
                let since = *silent_since.get_or_insert_with(Instant::now);
                if !is_removed && since.elapsed() > ENTRY_TTL {
                    self.store.remove(&format!("servers/{}", self.config.id));
                    is_removed = true;
                }
                thread::sleep(TICK);
                continue;
            }
            silent_since = None;
            is_removed = false;
            self.write_entry();
            thread::sleep(HEARTBEAT);
        }
    }

    fn write_entry(&self) {
        let mut state = self.lock();
        let address = *self.address.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(address) = address.filter(|_| !state.is_down) else {
            return;
        };
        state.sequence += 1;
        let config = &self.config;
        let left = state
            .leaves_at
            .map(|at| at.saturating_duration_since(Instant::now()));
        let left_ms = left.map_or(0, |left| u64::try_from(left.as_millis()).unwrap_or(0));
        let labels = vec!["a".into(), config.rack.as_str().into()];
        let entry = Json::object([
            ("service", config.service.as_str().into()),
            ("address", address.to_string().into()),
            ("zone", config.zone.as_str().into()),
            ("version", "1".into()),
            ("slots", 8.into()),
            (
                "state",
                if left.is_some() { "draining" } else { "ready" }.into(),
            ),
            ("remainingMs", left_ms.into()),
            ("coldRemainingMs", 0.into()),
            ("sequence", state.sequence.into()),
            ("born", state.born_ms.into()),
            (
                "capacity",
                Json::object([
                    ("cpu", config.room.cpu.into()),
                    ("memMb", config.room.memory_mb.into()),
                    ("gpu", config.room.gpu.into()),
                ]),
            ),
            ("labels", labels.into()),
            ("machine", format!("m-{}", config.id).into()),
        ]);
        self.store
            .put(&format!("servers/{}", config.id), &entry.to_string());
    }

    fn tick(&self) {
        loop {
            thread::sleep(TICK);
            self.leave_in_time();
            let mut state = self.lock();
            if state.is_down {
                continue;
            }
            let has_lapsed = state.lease_until_ms < state.clock_ms();
            let fails_all = state.fails_all;
            let runs = state.runs.iter();
            let due = runs.filter_map(|(task, run)| {
                let elapsed = run.begun_at.elapsed();
                let how = match () {
                    () if fails_all && elapsed >= FAILING_TIME => "failed",
                    () if elapsed >= run.work => "done",
                    () if has_lapsed => "lapsed",
                    () => return None,
                };
                Some((task.clone(), how))
            });
            let due: Vec<(String, &'static str)> = due.collect();
            for (task, how) in due {
                self.end(&mut state, &task, how);
            }
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.runs.remove(task) else {
            return;
        };
        state.over.insert(task.to_owned(), run.number);
        state.last_end += 1;
        self.record.line(&format!(
            "{}: {task} run {} ends {how}",
            self.config.id, run.number
        ));
        let mut log = self.log();
        let logged = log.ends.len();
        log.ends.push(End {
            at_ms: self.record.now_ms(),
            task: task.to_owned(),
            run: run.number,
            how,
            noted_at_ms: None,
        });
        let number = state.last_end;
        state.ended.push(ListedEnd {
            number,
            task: task.to_owned(),
            run: run.number,
            how,
            logged,
        });
        self.changed.notify_all();
    }

    /// Rejects a lower fence, and remembers a higher one.
    fn check_fence(state: &mut State, body: &Json) -> bool {
        let fence = body.get("fencingToken").number().unwrap_or(0);
        let is_valid = fence >= state.fence;
        state.fence = state.fence.max(fence);
        is_valid
    }

    fn begin(&self, body: &Json) -> Reply {
        let mut state = self.lock();
        if !Self::check_fence(&mut state, body) {
            return refusal(&state, "fence");
        }
        let task = body.get("task").text().unwrap_or("").to_owned();
        let number = body.get("run").number().unwrap_or(0);
        let deadline_ms = body.get("deadlineMs").number();
        if state
            .runs
            .get(&task)
            .is_some_and(|run| run.number == number)
        {
            state.extend(deadline_ms);
            return present(&state);
        }
        let is_old = state.over.get(&task).is_some_and(|over| number <= *over);
        if is_old || state.runs.contains_key(&task) {
            state.extend(deadline_ms);
            return refusal(&state, "old");
        }
        if deadline_ms.unwrap_or(0) < state.clock_ms() {
            return refusal(&state, "late");
        }
        let job = task.split('.').next().unwrap_or("");
        let room = self.log().demands.get(job).copied().unwrap_or_default();
        let free = state.free(self.config.room);
        state.extend(deadline_ms);
        if room.cpu > free.cpu || room.memory_mb > free.memory_mb || room.gpu > free.gpu {
            return refusal(&state, "room");
        }
        let work_ms = body.get("spec").text().and_then(|spec| spec.parse().ok());
        let work = Duration::from_millis(work_ms.unwrap_or(1000));
        self.record
            .line(&format!("{}: {task} run {number} begins", self.config.id));
        self.log().starts.push(Start {
            at_ms: self.record.now_ms(),
            task: task.clone(),
            run: number,
            runner: self.config.id.clone(),
        });
        state.runs.insert(
            task,
            Run {
                number,
                begun_at: Instant::now(),
                work,
                room,
            },
        );
        present(&state)
    }

    fn stop(&self, body: &Json) -> Reply {
        let mut state = self.lock();
        if !Self::check_fence(&mut state, body) {
            return refusal(&state, "fence");
        }
        let task = body.get("task").text().unwrap_or("").to_owned();
        let number = body.get("run").number().unwrap_or(0);
        if state
            .runs
            .get(&task)
            .is_some_and(|run| run.number <= number)
        {
            self.end(&mut state, &task, "stopped");
        }
        let over = state.over.entry(task).or_default();
        *over = number.max(*over);
        present(&state)
    }

    /// Carries out a start order late, in the lifetime that the process has by then. Its caller gets no answer.
    fn begin_late(&self, body: &Json, delay: Duration) -> Reply {
        let task = body.get("task").text().unwrap_or("");
        let ms = delay.as_millis();
        self.record.line(&format!(
            "{}: a start order for {task} gets no answer, and is carried out after {ms} ms",
            self.config.id
        ));
        thread::sleep(delay);
        if !self.lock().is_down {
            self.record.line(&format!(
                "{}: the late start order for {task} is carried out",
                self.config.id
            ));
            self.begin(body);
        }
        Reply::Close
    }

    fn take_acknowledgement_delay(&self, body: &Json) -> Option<Duration> {
        let last_seen = body.get("lastSeen").number().unwrap_or(0);
        let mut state = self.lock();
        let delay = &mut state.next_acknowledgement_after;
        delay.take_if(|_| last_seen > 0)
    }

    /// Carries out an acknowledgement late, in the lifetime that the process has by then. Its caller gets no answer.
    fn acknowledge_late(&self, body: &Json, delay: Duration) -> Reply {
        let (last_seen, ms) = (body.get("lastSeen"), delay.as_millis());
        self.record.line(&format!(
            "{}: a report request with lastSeen {last_seen} gets no answer, and is carried out after {ms} ms",
            self.config.id
        ));
        thread::sleep(delay);
        if !self.lock().is_down {
            self.record.line(&format!(
                "{}: the late report request with lastSeen {last_seen} is carried out",
                self.config.id
            ));
            self.hold(body);
        }
        Reply::Close
    }

    fn hold(&self, body: &Json) -> Reply {
        let mut state = self.lock();
        if !Self::check_fence(&mut state, body) {
            return refusal(&state, "fence");
        }
        let last_seen = body.get("lastSeen").number().unwrap_or(0);
        let now_ms = self.record.now_ms();
        for end in state.ended.iter().filter(|end| end.number <= last_seen) {
            self.record.line(&format!(
                "{}: lastSeen {last_seen} reaches the end of {} run {}",
                self.config.id, end.task, end.run
            ));
            self.log().ends[end.logged].noted_at_ms = Some(now_ms);
        }
        state.ended.retain(|end| end.number > last_seen);
        state.extend(body.get("deadlineMs").number());
        let wait = Duration::from_millis(body.get("waitMs").number().unwrap_or(0).min(2000));
        let until = Instant::now() + wait;
        let life = state.life;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if state.life != life {
                return Reply::Close;
            }
            if !state.ended.is_empty() || left.is_zero() {
                return Reply::Answer(200, lists(&state).to_string());
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Waits until the runner is not cut off. Returns whether there was a cut.
    fn wait_for_link(&self) -> bool {
        let mut was_cut = false;
        loop {
            let until = self.lock().cut_until;
            let left = until.map_or(Duration::ZERO, |until| {
                until.saturating_duration_since(Instant::now())
            });
            if left.is_zero() {
                return was_cut;
            }
            was_cut = true;
            thread::sleep(left);
        }
    }
}

impl Service for Runner {
    fn accepts(&self) -> bool {
        !self.lock().is_down
    }

    fn answer(&self, req: &Request, connection: &TcpStream) -> Reply {
        if self.wait_for_link() && is_closed(connection) {
            return Reply::Close;
        }
        let life = self.lock().life;
        if self.lock().is_down {
            return Reply::Close;
        }
        let expected = req.headers.get("x-expected-instance");
        if expected.is_some_and(|id| *id != self.config.id) {
            return Reply::Answer(421, "{}".to_owned());
        }
        let body = Json::parse(&req.body).unwrap_or(Json::Null);
        let reply = match req.path.as_str() {
            "/run-start" => {
                let delay = self.lock().next_start_after.take();
                match delay {
                    Some(delay) => return self.begin_late(&body, delay),
                    None => self.begin(&body),
                }
            }
            "/run-stop" => self.stop(&body),
            "/hold" => match self.take_acknowledgement_delay(&body) {
                Some(delay) => return self.acknowledge_late(&body, delay),
                None => self.hold(&body),
            },
            "/pace" => present(&self.lock()),
            _ => Reply::Answer(400, "{}".to_owned()),
        };
        let is_cut_since = self.wait_for_link() && is_closed(connection);
        if is_cut_since || self.lock().life != life {
            return Reply::Close;
        }
        reply
    }
}

/// Whether the other end has closed a connection.
fn is_closed(connection: &TcpStream) -> bool {
    let mut byte = [0];
    let _ = connection.set_nonblocking(true);
    let is_closed = match connection.peek(&mut byte) {
        Ok(count) => count == 0,
        Err(err) => err.kind() != std::io::ErrorKind::WouldBlock,
    };
    let _ = connection.set_nonblocking(false);
    is_closed
}

fn present(state: &State) -> Reply {
    let message = Json::object([
        ("clockMs", state.clock_ms().into()),
        ("born", state.born_ms.into()),
    ]);
    Reply::Answer(200, message.to_string())
}

fn refusal(state: &State, reason: &str) -> Reply {
    let message = Json::object([
        ("clockMs", state.clock_ms().into()),
        ("reason", reason.into()),
    ]);
    Reply::Answer(409, message.to_string())
}

fn lists(state: &State) -> Json {
    let running = state.runs.iter().map(|(task, run)| {
        let percent = u64::try_from(run.percent()).unwrap_or(0);
        let row = vec![
            task.as_str().into(),
            run.number.into(),
            "".into(),
            percent.into(),
            run.room.cpu.into(),
        ];
        Json::List(row)
    });
    let ended = state.ended.iter().take(MAX_LISTED_ENDS).map(|end| {
        let row = vec![
            end.number.into(),
            end.task.as_str().into(),
            end.run.into(),
            end.how.into(),
            "".into(),
        ];
        Json::List(row)
    });
    Json::object([
        ("clockMs", state.clock_ms().into()),
        ("born", state.born_ms.into()),
        ("running", running.collect::<Vec<_>>().into()),
        ("ended", ended.collect::<Vec<_>>().into()),
    ])
}
