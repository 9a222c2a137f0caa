use super::LogLine;
use std::time::{Duration, SystemTime};
use strum::{Display, VariantArray};

/// A part of a job's time between its submission and its end.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd, VariantArray)]
#[strum(serialize_all = "kebab-case")]
pub enum Stage {
    /// Until the instance that started the job had learned of it; after a takeover that is a later one.
    Known,
    /// From then until its first tasks are placed, which includes the wait for room.
    Placed,
    /// From then until the record of the placement is durable; the orders follow at once.
    Durable,
    /// From the first order to the last run end, further runs included.
    Running,
    /// From then until the end of the job is durable.
    Recorded,
}

/// The course of one job as its log lines tell it.
#[derive(Clone, Debug, Default)]
pub struct JobCourse {
    /// The priority of its queue, 0 for urgent work.
    pub priority: Option<u64>,
    /// The final state, if the job has ended.
    pub state: Option<String>,
    /// How many times tasks were ordered to start, a run of a step at a time.
    pub start_orders: usize,
    /// Planning rounds in which it waited for other runs to stop.
    pub rounds_reserved: u64,
    submitted_at: Option<SystemTime>,
    known: Option<Duration>,
    placed: Option<Duration>,
    durable: Option<Duration>,
    first_order_at: Option<SystemTime>,
    last_end_at: Option<SystemTime>,
    ended_at: Option<SystemTime>,
}

impl JobCourse {
    /// Adds the next line about the job.
    pub fn add(&mut self, line: &LogLine) {
        match line.message.as_str() {
            "submit" => {
                self.priority = self.priority.or(line.number("priority"));
                if line
                    .text("outcome")
                    .is_some_and(|outcome| outcome == "Accepted")
                {
                    self.submitted_at.get_or_insert(line.at);
                }
            }
            "job: first start" => {
                self.priority = self.priority.or(line.number("priority"));
                // A later term may log the job again; the first line tells how it came to start.
                self.known = self.known.or(line.millis("added_ms"));
                self.placed = self.placed.or(line.millis("placed_ms"));
                self.durable = self.durable.or(line.millis("durable_ms"));
                self.rounds_reserved += line.number("rounds_reserved").unwrap_or_default();
            }
            "order: start" => {
                self.first_order_at.get_or_insert(line.at);
                self.start_orders += 1;
            }
            "run: ended" => self.last_end_at = Some(line.at),
            "job: ended" => {
                self.ended_at = Some(line.at);
                self.state = line.text("state");
            }
            _ => {}
        }
    }

    /// Whether a line says that the job was accepted.
    pub fn is_accepted(&self) -> bool {
        self.submitted_at.is_some()
    }

    /// Returns how long a stage took; `None` if a line that tells it is missing.
    pub fn time_in(&self, stage: Stage) -> Option<Duration> {
        match stage {
            Stage::Known => self.known,
            Stage::Placed => Some(self.placed?.saturating_sub(self.known?)),
            Stage::Durable => Some(self.durable?.saturating_sub(self.placed?)),
            Stage::Running => Some(between(self.first_order_at?, self.last_end_at?)),
            Stage::Recorded => Some(between(self.last_end_at?, self.ended_at?)),
        }
    }

    /// Returns the time from the submission to the first start orders.
    pub fn wait(&self) -> Option<Duration> {
        self.durable
    }

    /// Returns the time from the submission to the end.
    pub fn total(&self) -> Option<Duration> {
        Some(between(self.submitted_at?, self.ended_at?))
    }
}

/// Returns the time between two lines, zero if the clocks of their instances differ by more.
fn between(from: SystemTime, to: SystemTime) -> Duration {
    to.duration_since(from).unwrap_or_default()
}
