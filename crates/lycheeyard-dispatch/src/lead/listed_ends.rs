use lycheeyard_jobs::{EndNumber, EndReport};

/// A worker lists a limited number of ends. With this many that are not acknowledged, later ones may soon be missing from the list.
const MAX_UNACKNOWLEDGED_ENDS: usize = 300;

/// The ends that an incarnation of a worker has listed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ListedEnds {
    /// The last one that it has listed.
    listed: EndNumber,
    /// How many the last report has listed.
    count: usize,
    /// The last one that a request has acknowledged which the incarnation has answered.
    acknowledged: EndNumber,
}

impl ListedEnds {
    pub fn listed(self) -> EndNumber {
        self.listed
    }

    pub fn note_listed(&mut self, ended: &[EndReport]) {
        self.count = ended.len();
        if let Some(last) = ended.last() {
            self.listed = self.listed.max(last.number);
        }
    }

    pub fn note_acknowledged(&mut self, through: EndNumber) {
        self.acknowledged = self.acknowledged.max(through);
    }

    /// Returns the last end that the next request is to acknowledge if the ends through `durable` are; 0 if there is none.
    pub fn to_acknowledge(self, durable: EndNumber) -> EndNumber {
        let through = self.listed.min(durable);
        if through > self.acknowledged {
            through
        } else {
            EndNumber(0)
        }
    }

    /// Whether the incarnation lists ends after a request that acknowledges those through `acknowledge`.
    pub fn has_more_than(self, acknowledge: EndNumber) -> bool {
        self.listed > self.acknowledged.max(acknowledge)
    }

    /// Whether so many ends are listed that they are to be acknowledged at any rate.
    pub fn are_too_many(self) -> bool {
        self.count >= MAX_UNACKNOWLEDGED_ENDS
    }
}
