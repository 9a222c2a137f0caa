mod checks;

use crate::{
    delivery::Delivery,
    fake_store::FakeStore,
    run::{cases, find_failure, runtime, settle},
    store_variants::{Correct, SingleReadBack, TestStore, Unconditional},
    ticket_steps::{INSTANCES, Model, Step, make_ticket},
};
use lycheeyard_protocol::{Digest, Ticket, TicketError, TicketNumber};
use lycheeyard_state::{
    AcceptedTicket, ConfigUpdate, Configuration, StateError, TicketOutcome, TicketStore,
};
use proptest_state_machine::StateMachineTest;
use std::{collections::BTreeMap, marker::PhantomData, time::Duration};
use tokio::{runtime::Runtime, task::JoinHandle, time::Instant};

const PAGE_LENGTH: usize = 2;
const STEP_DURATION: Duration = Duration::from_millis(250);
const CALL_TIMEOUT: Duration = Duration::from_secs(6);

type Submission = JoinHandle<Result<TicketOutcome, StateError>>;

/// The results that the callers of one ticket received.
#[derive(Default)]
struct CallerResults {
    may_be_accepted: bool,
    accepted: Option<TicketOutcome>,
}

struct System<S> {
    runtime: Runtime,
    store: FakeStore,
    stores: Vec<TicketStore<S>>,
    known: Vec<Configuration>,
    submissions: Vec<Vec<(Ticket, Submission)>>,
    pulls: Vec<Option<JoinHandle<Result<ConfigUpdate, StateError>>>>,
    compactions: Vec<JoinHandle<Result<(), StateError>>>,
    results: BTreeMap<(TicketNumber, Digest), CallerResults>,
    tickets: BTreeMap<Digest, Ticket>,
    committed: Vec<AcceptedTicket>,
    reference: Vec<Configuration>,
}

impl<S: TestStore> System<S> {
    fn new() -> Self {
        let store = FakeStore::new();
        let ticket_store =
            |index| TicketStore::with_page_length(S::wrap(store.for_instance(index)), PAGE_LENGTH);
        Self {
            runtime: runtime(),
            stores: (0..INSTANCES).map(ticket_store).collect(),
            store,
            known: vec![Configuration::default(); INSTANCES],
            submissions: (0..INSTANCES).map(|_| Vec::new()).collect(),
            pulls: (0..INSTANCES).map(|_| None).collect(),
            compactions: Vec::new(),
            results: BTreeMap::new(),
            tickets: BTreeMap::new(),
            committed: Vec::new(),
            reference: vec![Configuration::default()],
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
            Step::Deliver { pick, delivery } => self.store.deliver(pick, delivery),
            Step::ApplyDelayed { pick } => self.store.apply_delayed(pick),
        }
        settle(&self.runtime, STEP_DURATION);
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
            let deadline = Instant::now() + CALL_TIMEOUT;
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
        let task = async move { store.pull(known, Instant::now() + CALL_TIMEOUT).await };
        self.pulls[instance] = Some(self.runtime.spawn(task));
    }

    fn compact(&mut self, instance: usize) {
        let store = self.stores[instance].clone();
        let known = self.known[instance].clone();
        let task = async move { store.compact(&known, Instant::now() + CALL_TIMEOUT).await };
        self.compactions.push(self.runtime.spawn(task));
    }

    /// Ends an instance; its pending calls may still reach the store.
    fn crash(&mut self, instance: usize) {
        for (ticket, task) in self.submissions[instance].drain(..) {
            task.abort();
            let results = self.results.entry((ticket.number, ticket.digest()));
            results.or_default().may_be_accepted = true;
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
        let pending = std::mem::take(&mut self.submissions[instance]);
        for (ticket, task) in pending {
            if !task.is_finished() {
                self.submissions[instance].push((ticket, task));
                continue;
            }
            let result = self
                .runtime
                .block_on(task)
                .expect("submission does not panic");
            let results = self
                .results
                .entry((ticket.number, ticket.digest()))
                .or_default();
            match result {
                Ok(outcome) => results.accepted = Some(outcome),
                Err(StateError::Unknown) => results.may_be_accepted = true,
                Err(StateError::Ticket(TicketError::NumberTaken { winner, .. })) => {
                    assert_ne!(
                        winner,
                        ticket.digest(),
                        "a ticket was rejected in favour of itself"
                    );
                }
                Err(err) => assert!(
                    !matches!(err, StateError::Corrupt { .. }),
                    "unexpected failure: {err}"
                ),
            }
        }
    }

    fn collect_pull(&mut self, instance: usize) {
        let Some(task) = self.pulls[instance].take_if(|task| task.is_finished()) else {
            return;
        };
        let result = self.runtime.block_on(task).expect("pull does not panic");
        if let Ok(ConfigUpdate { config, .. }) = result {
            assert!(
                config.revision >= self.known[instance].revision,
                "an instance returned to an earlier revision"
            );
            self.known[instance] = config;
        }
    }

    /// Stops injecting faults, waits until all calls have finished and checks the final state.
    fn finish(mut self) {
        while self.store.has_delayed() {
            self.store.apply_delayed(0);
        }
        self.drain();
        for instance in 0..INSTANCES {
            self.pull(instance);
        }
        self.drain();
        self.check_final_state();
    }

    fn drain(&mut self) {
        for _ in 0..2_000 {
            self.store.deliver(0, Delivery::Answer);
            settle(&self.runtime, STEP_DURATION / 50);
            self.collect();
            self.check();
            let is_busy = self.submissions.iter().any(|tasks| !tasks.is_empty())
                || self.pulls.iter().any(Option::is_some)
                || self.store.has_pending();
            if !is_busy {
                return;
            }
        }
        panic!("calls are still pending after the last round");
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
fn accepted_tickets_keep_one_order() {
    assert_eq!(find_failure::<Run<Correct>>(cases(200)), None);
}

#[test]
fn model_detects_single_read_after_a_lost_answer() {
    let failure = find_failure::<Run<SingleReadBack>>(2_000);
    let failure = failure.expect("model detects the fault");
    assert!(
        failure.contains("a rejected ticket was accepted"),
        "{failure}"
    );
}

#[test]
fn model_detects_unconditional_swap() {
    let failure = find_failure::<Run<Unconditional>>(2_000);
    let failure = failure.expect("model detects the fault");
    assert!(failure.contains("the history changed"), "{failure}");
}
