use super::committer::Revisions;
use crate::ports::Transaction;
use lycheeyard_jobs::WaveNumber;
use lycheeyard_protocol::JobId;
use std::collections::BTreeSet;
use strum::IntoStaticStr;

/// A transaction with larger values is split, so that it does not hold up later ones for long.
const MAX_GROUP_BYTES: usize = 1 << 20;

/// What a part of a transaction writes.
#[derive(Clone, Debug, Eq, IntoStaticStr, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "kebab-case")]
pub(super) enum WrittenRecord {
    /// The progress of a job.
    Job(JobId),
    /// The record of an ended job.
    ArchivedJob(JobId),
    /// The progress of a wave.
    Wave(WaveNumber),
    /// The speeds of workers.
    Speeds,
    /// The removal of archived jobs.
    Removal,
}

/// Parts that share one transaction as long as the store takes them all. Each part alone is a transaction without the fence of the term.
pub(super) type WriteGroup = Vec<(WrittenRecord, Transaction)>;

/// What became of the parts of a request.
#[derive(Debug, Default)]
pub(super) struct Committed {
    /// The revisions of the written keys.
    pub revisions: Revisions,
    /// The parts that the store will never take.
    pub rejected: BTreeSet<WrittenRecord>,
}

/// Splits parts into groups whose values are not too large together.
pub(super) fn split_by_size(parts: WriteGroup) -> Vec<WriteGroup> {
    let mut groups: Vec<WriteGroup> = Vec::new();
    let mut free_bytes = 0;
    for part in parts {
        let bytes = part.1.value_bytes();
        match groups.last_mut() {
            Some(group) if bytes <= free_bytes => {
                free_bytes -= bytes;
                group.push(part);
            }
            _ => {
                free_bytes = MAX_GROUP_BYTES.saturating_sub(bytes);
                groups.push(vec![part]);
            }
        }
    }
    groups
}
