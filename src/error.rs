use lycheeyard_protocol::{Outcome, Problem, ProblemKind, Revision, TicketNumber};
use serde_json::{Value, json};
use thiserror::Error;

/// Why a command did not do what it was asked.
#[derive(Debug, Error)]
pub enum CliError {
    /// The command line could not be read.
    #[error("{0}")]
    Usage(String),
    /// A document could not be read.
    #[error("{path}: {reason}")]
    Document {
        /// The file.
        path: String,
        /// What was wrong, with the path of the field.
        reason: String,
    },
    /// The system refused the call or could not tell what became of it.
    #[error("{outcome}: {title}: {detail}", outcome = .0.outcome, title = .0.title, detail = .0.detail)]
    Problem(Problem),
    /// No entry instance could be reached.
    #[error("cannot reach {address}: {reason}")]
    OutOfReach {
        /// The address.
        address: String,
        /// What went wrong.
        reason: String,
    },
    /// The answer could not be read.
    #[error("{address} answered in an unexpected form: {reason}")]
    Malformed {
        /// The address.
        address: String,
        /// What was wrong.
        reason: String,
    },
    /// A ticket is not in force at every known instance yet.
    #[error("ticket {number} (revision {revision}) is not in force at {behind} yet")]
    NotInForce {
        /// The ticket.
        number: TicketNumber,
        /// The revision that it made.
        revision: Revision,
        /// The instances that are behind, separated by commas.
        behind: String,
    },
    /// A step of the local tour was not as it should be.
    #[error("the tour failed: {0}")]
    Tour(String),
}

impl CliError {
    /// The kind of problem, where an entry instance answered with one.
    pub fn kind(&self) -> Option<ProblemKind> {
        match self {
            Self::Problem(problem) => Some(problem.title),
            _ => None,
        }
    }

    /// The failure for programs: the whole problem where there is one.
    pub fn to_json(&self) -> Value {
        let problem = match self {
            Self::Problem(problem) => serde_json::to_value(problem).ok(),
            _ => None,
        };
        json!({
            "exit_code": self.exit_code(),
            "detail": self.to_string(),
            "problem": problem,
        })
    }

    /// The exit code that tells scripts the kind of failure.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Tour(_) => 1,
            Self::Usage(_) | Self::Document { .. } => 2,
            Self::Problem(problem) => match problem.outcome {
                Outcome::Unknown => 4,
                Outcome::NotRun | Outcome::Done => 3,
            },
            Self::NotInForce { .. } => 6,
            Self::OutOfReach { .. } | Self::Malformed { .. } => 5,
        }
    }
}
