use lycheeyard_jobs::{RunNumber, TaskKey, WorkerKey};
use lycheeyard_protocol::Epoch;

/// What was done with the workers, one line for each call that a worker executed.
#[derive(Debug, Default)]
pub struct Trace(Vec<String>);

impl Trace {
    /// Adds a line about an event at a time on the common clock.
    pub fn note(&mut self, clock: u64, text: &str) {
        self.0.push(format!("{clock:>7} ms {text}"));
    }

    /// Adds a line about a call for a run that an incarnation of a worker has executed.
    pub fn note_call(
        &mut self,
        clock: u64,
        call: (&str, &TaskKey, RunNumber, Epoch),
        meant_for: &WorkerKey,
        by: u64,
        outcome: &str,
    ) {
        let (name, task, run, epoch) = call;
        let (id, incarnation) = (&meant_for.id, meant_for.incarnation);
        self.note(
            clock,
            &format!("{name} {task} run {run} of epoch {epoch} for {id}/{incarnation} by {id}/{by}: {outcome}"),
        );
    }

    /// Returns the lines that contain one of the words.
    pub fn lines_with(&self, words: &[&str]) -> Vec<String> {
        let lines = self.0.iter();
        let found = lines.filter(|line| words.iter().any(|word| line.contains(word)));
        found.cloned().collect()
    }
}
