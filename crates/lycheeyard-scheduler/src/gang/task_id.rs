use lycheeyard_protocol::{Digest, JobRecord, ParseError, TaskId, WorkerId};

const ORGANISATION_CHARS: usize = 24;
const JOB_CHARS: usize = 40;
const DIGEST_CHARS: usize = 32;

/// Names the task of a job's present attempt on a worker.
///
/// The name begins with readable parts, cut so that it always fits, and ends with a digest of the whole names.
///
/// # Errors
/// Never fails in practice, since the parts of valid identifiers make a valid identifier.
pub fn task_id(record: &JobRecord, worker: &WorkerId) -> Result<TaskId, ParseError> {
    let organisation = record.spec.organisation.as_str();
    let job = record.spec.job.as_str();
    let attempt = record.attempts;
    let whole = format!("{organisation}/{job}/{attempt}/{worker}");
    let digest = Digest::of(whole.as_bytes());
    format!(
        "{}.{}.{attempt}.{}",
        cut(organisation, ORGANISATION_CHARS),
        cut(job, JOB_CHARS),
        cut(digest.as_str(), DIGEST_CHARS)
    )
    .parse()
}

/// The first bytes of a text, which are whole characters in an identifier.
fn cut(text: &str, max: usize) -> &str {
    text.get(..max).unwrap_or(text)
}
