use lycheeyard_protocol::{Digest, JobRecord, ParseError, TaskId, WorkerId};

const ORGANISATION_CHARS: usize = 24;
const JOB_CHARS: usize = 40;
const DIGEST_CHARS: usize = 32;

/// Returns the id of the task that a job's current attempt runs on a worker.
///
/// The id starts with the organisation and the job, truncated so that the id always fits, and ends with a digest of
/// the full names.
///
/// # Errors
/// Never fails in practice, since the parts of valid identifiers make a valid identifier.
pub fn task_id(record: &JobRecord, worker: &WorkerId) -> Result<TaskId, ParseError> {
    let organisation = record.spec.organisation.as_str();
    let job = record.spec.job.as_str();
    let attempt = record.attempts;
    let full_name = format!("{organisation}/{job}/{attempt}/{worker}");
    let digest = Digest::of(full_name.as_bytes());
    format!(
        "{}.{}.{attempt}.{}",
        truncate(organisation, ORGANISATION_CHARS),
        truncate(job, JOB_CHARS),
        truncate(digest.as_str(), DIGEST_CHARS)
    )
    .parse()
}

/// Truncates an identifier to `max` bytes. Each character of an identifier is one byte.
fn truncate(text: &str, max: usize) -> &str {
    text.get(..max).unwrap_or(text)
}
