use crate::output::Table;
use std::io::IsTerminal;
use tokio::time::Instant;

/// Records the result and duration of each step of a tour. If standard error is a terminal, also
/// prints each step while it runs.
pub struct TourProgress {
    table: Table,
    step: &'static str,
    started_at: Instant,
}

impl TourProgress {
    /// Creates a record without steps.
    pub fn new() -> Self {
        Self {
            table: Table::new(&["STEP", "RESULT", "MS"]),
            step: "",
            started_at: Instant::now(),
        }
    }

    /// Starts a step and its timer.
    pub fn start_step(&mut self, step: &'static str) {
        self.step = step;
        self.started_at = Instant::now();
        if std::io::stderr().is_terminal() {
            eprint!("{step} ... ");
        }
    }

    /// Finishes the current step with its result.
    pub fn finish_step(&mut self, result: String) {
        let millis = self.started_at.elapsed().as_millis().to_string();
        if std::io::stderr().is_terminal() {
            eprintln!("{result} ({millis} ms)");
        }
        self.table.push(vec![self.step.to_owned(), result, millis]);
    }

    /// Returns the table of all finished steps.
    pub fn into_table(self) -> Table {
        self.table
    }
}
