use crate::output::Table;
use std::io::IsTerminal;
use tokio::time::Instant;

/// Collects the steps of a tour; on a terminal each step is shown while it runs.
pub struct Progress {
    table: Table,
    step: &'static str,
    started: Instant,
}

impl Progress {
    /// Makes a record without steps.
    pub fn new() -> Self {
        Self {
            table: Table::new(&["STEP", "RESULT", "MS"]),
            step: "",
            started: Instant::now(),
        }
    }

    /// Begins a step.
    pub fn begin(&mut self, step: &'static str) {
        self.step = step;
        self.started = Instant::now();
        if std::io::stderr().is_terminal() {
            eprint!("{step} ... ");
        }
    }

    /// Ends the step that was begun last.
    pub fn end(&mut self, result: String) {
        let millis = self.started.elapsed().as_millis().to_string();
        if std::io::stderr().is_terminal() {
            eprintln!("{result} ({millis} ms)");
        }
        self.table.push(vec![self.step.to_owned(), result, millis]);
    }

    /// The table of all steps.
    pub fn into_table(self) -> Table {
        self.table
    }
}
