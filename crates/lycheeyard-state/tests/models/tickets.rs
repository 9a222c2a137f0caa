use crate::{
    broken::{Correct, Guessing, TestStore, Unconditional},
    fake_store::FakeStore,
    fate::Fate,
    run::{cases, find_failure, runtime, settle},
    ticket_steps::{INSTANCES, Model, Step, make_ticket},
};
use lycheeyard_protocol::{Digest, Ticket, TicketError, TicketNumber};
use lycheeyard_state::{
    AcceptedTicket, ConfigHead, ConfigUpdate, Configuration, StateError, TicketOutcome, TicketStore,
};
use proptest_state_machine::StateMachineTest;
use std::{
    collections::{BTreeMap, BTreeSet},
    marker::PhantomData,
    time::Duration,
};
use tokio::{runtime::Runtime, task::JoinHandle, time::Instant};

const PAGE_LENGTH: usize = 2;
const STEP: Duration = Duration::from_millis(250);
const CALL: Duration = Duration::from_secs(6);

type Submission = JoinHandle<Result<TicketOutcome, StateError>>;

/// All that the callers of one ticket were told.
#[derive(Default)]
struct Told {
    may_be_accepted: bool,
    accepted: Option<TicketOutcome>,
}

struct System<S> {
    runtime: Runtime,
    fake: FakeStore,
    stores: Vec<TicketStore<S>>,
    known: Vec<Configuration>,
    submissions: Vec<Vec<(Ticket, Submission)>>,
    pulls: Vec<Option<JoinHandle<Result<ConfigUpdate, StateError>>>>,
    compactions: Vec<JoinHandle<Result<(), StateError>>>,
    told: BTreeMap<(TicketNumber, Digest), Told>,
    tickets: BTreeMap<Digest, Ticket>,
    committed: Vec<AcceptedTicket>,
    naive: Vec<Configuration>,
}

impl<S: TestStore> System<S> {
    fn new() -> Self {
        let fake = FakeStore::new();
        let store =
            |index| TicketStore::with_page_length(S::wrap(fake.for_instance(index)), PAGE_LENGTH);
        Self {
            runtime: runtime(),
            stores: (0..INSTANCES).map(store).collect(),
            fake,
            known: vec![Configuration::default(); INSTANCES],
            submissions: (0..INSTANCES).map(|_| Vec::new()).collect(),
            pulls: (0..INSTANCES).map(|_| None).collect(),
            compactions: Vec::new(),
            told: BTreeMap::new(),
            tickets: BTreeMap::new(),
            committed: Vec::new(),
            naive: vec![Configuration::default()],
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Submit {
                instance,
                number,
                variant,
            } => self.submit(instance, number, variant),
            Step::Pull { instance } => self.pull(instance),
            Step::Compact { instance } => self.compact(instance),
            Step::Crash { instance } => self.crash(instance),
            Step::Deliver { pick, fate } => self.fake.deliver(pick, fate),
            Step::LandLate { pick } => self.fake.land_late(pick),
        }
        settle(&self.runtime, STEP);
        self.collect();
        self.check();
    }

    fn submit(&mut self, instance: usize, number: u64, variant: u32) {
        if !self.submissions[instance].is_empty() {
            return;
        }
        let ticket = make_ticket(number, variant);
        self.tickets.insert(ticket.digest(), ticket.clone());
        let store = self.stores[instance].clone();
        let known = self.known[instance].clone();
        let sent = ticket.clone();
        let task = self.runtime.spawn(async move {
            let deadline = Instant::now() + CALL;
            store.submit(&sent, &known, |_| Ok(()), deadline).await
        });
        self.submissions[instance].push((ticket, task));
    }

    fn pull(&mut self, instance: usize) {
        if self.pulls[instance].is_some() {
            return;
        }
        let store = self.stores[instance].clone();
        let known = self.known[instance].clone();
        let task = async move { store.pull(known, Instant::now() + CALL).await };
        self.pulls[instance] = Some(self.runtime.spawn(task));
    }

    fn compact(&mut self, instance: usize) {
        let store = self.stores[instance].clone();
        let known = self.known[instance].clone();
        let task = async move { store.compact(&known, Instant::now() + CALL).await };
        self.compactions.push(self.runtime.spawn(task));
    }

    /// Ends an instance; its waiting calls may still reach the store.
    fn crash(&mut self, instance: usize) {
        for (ticket, task) in self.submissions[instance].drain(..) {
            task.abort();
            let told = self.told.entry((ticket.number, ticket.digest()));
            told.or_default().may_be_accepted = true;
        }
        if let Some(task) = self.pulls[instance].take() {
            task.abort();
        }
        self.known[instance] = Configuration::default();
    }

    fn collect(&mut self) {
        for instance in 0..INSTANCES {
            self.collect_submissions(instance);
            self.collect_pull(instance);
        }
    }

    fn collect_submissions(&mut self, instance: usize) {
        let waiting = std::mem::take(&mut self.submissions[instance]);
        for (ticket, task) in waiting {
            if !task.is_finished() {
                self.submissions[instance].push((ticket, task));
                continue;
            }
            let result = self
                .runtime
                .block_on(task)
                .expect("no panic in a submission");
            let told = self
                .told
                .entry((ticket.number, ticket.digest()))
                .or_default();
            match result {
                Ok(outcome) => told.accepted = Some(outcome),
                Err(StateError::Unknown) => told.may_be_accepted = true,
                Err(StateError::Ticket(TicketError::NumberTaken { winner, .. })) => {
                    assert_ne!(winner, ticket.digest(), "a ticket lost against itself");
                }
                Err(err) => assert!(
                    !matches!(err, StateError::Corrupt { .. }),
                    "an unexpected failure: {err}"
                ),
            }
        }
    }

    fn collect_pull(&mut self, instance: usize) {
        let Some(task) = self.pulls[instance].take_if(|task| task.is_finished()) else {
            return;
        };
        let result = self.runtime.block_on(task).expect("no panic in a pull");
        if let Ok(ConfigUpdate { config, .. }) = result {
            assert!(
                config.revision >= self.known[instance].revision,
                "an instance went back"
            );
            self.known[instance] = config;
        }
    }

    /// Extends the naive copy by what was committed, and compares everything with it.
    fn check(&mut self) {
        self.follow_head();
        for config in &self.known {
            let index = usize::try_from(config.revision.0).expect("a small revision");
            assert_eq!(Some(config), self.naive.get(index), "an instance differs");
        }
        for ((number, digest), told) in &self.told {
            let found = self
                .committed
                .iter()
                .find(|ticket| ticket.number == *number);
            if let Some(outcome) = &told.accepted {
                let found = found.expect("an accepted ticket was lost");
                assert_eq!(found.digest, *digest, "an accepted ticket was replaced");
                assert_eq!(found.revision, outcome.revision, "an accepted ticket moved");
            }
        }
    }

    fn follow_head(&mut self) {
        let Some(entry) = self.fake.peek("config/head") else {
            return;
        };
        let head: ConfigHead = serde_json::from_str(&entry.value).expect("a readable head");
        assert!(
            head.tail.len() <= 8 * PAGE_LENGTH,
            "the head grew without bound"
        );
        for ticket in head.tail {
            let index = usize::try_from(ticket.revision.0 - 1).expect("a small revision");
            if let Some(committed) = self.committed.get(index) {
                assert_eq!(*committed, ticket, "the history changed");
                continue;
            }
            assert_eq!(index, self.committed.len(), "the history has a gap");
            let body = self
                .tickets
                .get(&ticket.digest)
                .expect("a submitted ticket");
            let last = self.naive.last().expect("the first copy");
            let next = last.apply(body, ticket.revision).expect("a valid ticket");
            self.naive.push(next);
            self.committed.push(ticket);
        }
        assert_eq!(
            head.revision.0,
            self.committed.len() as u64,
            "the head went back"
        );
    }

    /// Ends all faults, lets everything finish and checks what holds at the end.
    fn finish(mut self) {
        while self.fake.has_late() {
            self.fake.land_late(0);
        }
        self.drain();
        for instance in 0..INSTANCES {
            self.pull(instance);
        }
        self.drain();
        let last = self.naive.last().expect("the first copy");
        for config in &self.known {
            assert_eq!(config, last, "an instance did not catch up");
        }
        let numbers: BTreeSet<_> = self.committed.iter().map(|ticket| ticket.number).collect();
        assert_eq!(
            numbers.len(),
            self.committed.len(),
            "a number was accepted twice"
        );
        for ((number, digest), told) in &self.told {
            if told.accepted.is_none() && !told.may_be_accepted {
                let found =
                    |ticket: &AcceptedTicket| ticket.number == *number && ticket.digest == *digest;
                assert!(
                    !self.committed.iter().any(found),
                    "a refused ticket was accepted"
                );
            }
        }
    }

    fn drain(&mut self) {
        for _ in 0..2_000 {
            self.fake.deliver(0, Fate::Answer);
            settle(&self.runtime, STEP / 50);
            self.collect();
            self.check();
            let busy = self.submissions.iter().any(|tasks| !tasks.is_empty())
                || self.pulls.iter().any(Option::is_some)
                || self.fake.has_waiting();
            if !busy {
                return;
            }
        }
        panic!("the system does not come to rest");
    }
}

struct Run<S>(PhantomData<S>);

impl<S: TestStore> StateMachineTest for Run<S> {
    type SystemUnderTest = System<S>;
    type Reference = Model;

    fn init_test((): &()) -> System<S> {
        System::new()
    }

    fn apply(mut system: System<S>, (): &(), step: Step) -> System<S> {
        system.step(&step);
        system
    }

    fn teardown(system: System<S>, (): ()) {
        system.finish();
    }
}

#[test]
fn accepted_tickets_are_kept_in_one_order() {
    assert_eq!(find_failure::<Run<Correct>>(cases(200)), None);
}

#[test]
fn model_finds_a_read_back_that_guesses() {
    let failure = find_failure::<Run<Guessing>>(2_000);
    let failure = failure.expect("the model finds the fault");
    assert!(
        failure.contains("a refused ticket was accepted"),
        "{failure}"
    );
}

#[test]
fn model_finds_unconditional_swaps() {
    let failure = find_failure::<Run<Unconditional>>(2_000);
    let failure = failure.expect("the model finds the fault");
    assert!(failure.contains("the history changed"), "{failure}");
}
