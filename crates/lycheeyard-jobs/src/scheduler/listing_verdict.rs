use super::{Evidence, JobScheduler};
use crate::{BootTime, WorkerKey};

/// What follows from the listing of an incarnation of a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ListingVerdict {
    /// It describes the present incarnation.
    Present,
    /// It shows another incarnation, which is taken as the present one.
    Another(Evidence),
    /// It names another incarnation than the one that reports show. The next reports confirm it or not.
    Unclear,
    /// It names an incarnation that has ended.
    Outdated,
}

impl JobScheduler {
    /// Judges the listing of an incarnation of a worker.
    ///
    /// A worker whose clock was set back starts again with a lower number, and an entry that is written or read late may have any. As
    /// long as the present incarnation reports, its runs must not end by the list, so that reports decide. Otherwise they are kept
    /// until a report shows whether they are there, or have ended by the end of their leases, and the newest listing is used: it has
    /// the address to which the next request is sent.
    pub(super) fn judge_listing(&self, listed: &WorkerKey, now: BootTime) -> ListingVerdict {
        if self.has_ended(listed) {
            return ListingVerdict::Outdated;
        }
        let Some(entry) = self.workers.get(&listed.id) else {
            return ListingVerdict::Another(Evidence::Listing);
        };
        if entry.key == *listed && entry.info.is_some() {
            return ListingVerdict::Present;
        }
        if entry.is_shown_by_reports(now) {
            return ListingVerdict::Unclear;
        }
        let is_lower = listed.incarnation < entry.key.incarnation;
        ListingVerdict::Another(if is_lower {
            Evidence::LowerListing
        } else {
            Evidence::Listing
        })
    }
}
