use lycheeyard_protocol::{Outcome, Problem, ProblemKind, Revision, TicketNumber};
use serde_json::{Value, json};
use thiserror::Error;

/// The reason why a command failed.
#[derive(Debug, Error)]
pub enum CliError {
    /// The command line is invalid.
    #[error("{0}")]
    Usage(String),
    /// A document could not be read or is invalid.
    #[error("{path}: {reason}")]
    Document {
        /// The path of the file.
        path: String,
        /// The reason, with the path of the invalid field.
        reason: String,
    },
    /// The entry instance rejected the call, or the outcome of the call is unknown.
    #[error("{outcome}: {title}: {detail}", outcome = .0.outcome, title = .0.title, detail = .0.detail)]
    Problem(Problem),
    /// The entry instance could not be reached.
    #[error("cannot reach {address}: {reason}")]
    Unreachable {
        /// The address of the entry instance.
        address: String,
        /// The network error, or that the response timed out.
        reason: String,
    },
    /// A request or response could not be encoded or decoded.
    #[error("{address} sent an unexpected response: {reason}")]
    Malformed {
        /// The address of the entry instance, or the path of the request.
        address: String,
        /// The encoding or decoding error, or the unexpected status.
        reason: String,
    },
    /// A result could not be encoded for output.
    #[error("cannot encode the result: {0}")]
    Encode(String),
    /// A ticket is not yet in force at every known instance.
    #[error("ticket {number} (revision {revision}) is not yet in force at {behind}")]
    NotInForce {
        /// The number of the ticket.
        number: TicketNumber,
        /// The revision that the ticket created.
        revision: Revision,
        /// The instances with an older revision and the number of missing instances, separated by
        /// commas.
        behind: String,
    },
    /// A local cluster failed to start, or a check against it failed.
    #[error("local cluster: {0}")]
    LocalCluster(String),
}

impl CliError {
    /// Returns the kind of problem that the entry instance reported, if any.
    pub fn kind(&self) -> Option<ProblemKind> {
        match self {
            Self::Problem(problem) => Some(problem.title),
            _ => None,
        }
    }

    /// Formats the failure for `--json`, with the full problem document if there is one.
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

    /// Returns the exit code for this kind of failure; scripts rely on the values.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::LocalCluster(_) => 1,
            Self::Usage(_) | Self::Document { .. } => 2,
            Self::Problem(problem) => match problem.outcome {
                Outcome::Unknown => 4,
                Outcome::NotRun | Outcome::Done => 3,
            },
            Self::NotInForce { .. } => 6,
            Self::Unreachable { .. } | Self::Malformed { .. } | Self::Encode(_) => 5,
        }
    }
}
