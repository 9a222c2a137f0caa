use super::Term;
use crate::{
    dated::{RevisionAge, RevisionTimes},
    ports::{Item, StoreRevision},
};
use lycheeyard_jobs::BootTime;
use lycheeyard_protocol::Epoch;
use serde::{Deserialize, Serialize};
use tracing::error;

/// The stored record of the last term that may have extended leases of workers or started runs.
///
/// A term writes its epoch here before it does so, and each term writes in the transaction that begins it by when the recorded one had
/// ended. So a term that ended before it reached any worker moves no deadline of its successors.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ExtendingTerm {
    epoch: Epoch,
    state: State,
    /// How long the revisions that deadlines of former terms count from had been reached before `ages_before`.
    #[serde(default)]
    ages: Vec<RevisionAge>,
    /// The revision of the term that wrote `ages`; if it is missing, that of the record. Every instance sees at once when a term begins.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    ages_before: Option<StoreRevision>,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
enum State {
    /// The term may extend leases and start runs.
    Acting,
    /// The term had ended when the store reached this revision; if it is missing, that of the record.
    Ended { after: Option<StoreRevision> },
}

impl ExtendingTerm {
    /// The record of a term that is about to extend leases, with the ages of revisions before it began.
    pub fn acting(term: &Term, ages: Vec<RevisionAge>) -> Self {
        Self {
            epoch: term.epoch,
            state: State::Acting,
            ages,
            ages_before: Some(term.revision),
        }
    }

    /// The record that the next term writes in place of `present`, if it saw the scheduler's key missing at `absent_at`.
    ///
    /// A term whose epoch is the revision of that key had ended by then, if its key was written before. `times` are completed by what the
    /// record says of earlier revisions.
    pub fn ended(
        present: Option<&Item>,
        absent_at: StoreRevision,
        times: &RevisionTimes,
        now: BootTime,
    ) -> Self {
        let Some((item, record)) = present.and_then(|item| Some((item, read(item)?))) else {
            return Self {
                epoch: Epoch(0),
                state: State::Ended { after: None },
                ages: Vec::new(),
                ages_before: None,
            };
        };
        let ages_before = record.ages_before.unwrap_or(item.revision);
        times.note_ages(&record.ages, ages_before);
        let after = match record.state {
            State::Acting => Some(absent_at).filter(|at| record.epoch.0 < at.0),
            State::Ended { after } => after.or(Some(item.revision)),
        };
        let dated = record.ages.iter().map(|age| age.revision);
        let dated = dated.chain(after).collect();
        Self {
            epoch: record.epoch,
            state: State::Ended { after },
            ages: times.ages(&dated, now),
            ages_before: None,
        }
    }

    /// Returns the revision at which the recorded term had ended, if the record has `revision` itself; `None` while it may act.
    pub fn ended_by(&self, revision: StoreRevision) -> Option<StoreRevision> {
        match self.state {
            State::Acting => None,
            State::Ended { after } => Some(after.unwrap_or(revision)),
        }
    }

    /// Encodes the record.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_else(|err| {
            error!(%err, "term: the record of the extending term cannot be encoded");
            Vec::new()
        })
    }
}

/// Decodes the record. One that cannot be decoded names any term.
fn read(item: &Item) -> Option<ExtendingTerm> {
    let record = serde_json::from_slice(&item.value);
    record
        .inspect_err(
            |err| error!(%err, "term: the record of the extending term cannot be read; replacing it"),
        )
        .ok()
}
