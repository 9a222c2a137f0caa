use crate::ports::StoreRevision;

/// After this many failed checks in a row the value is read.
const MAX_FAILED_CHECKS: u32 = 2;

/// What a follower of the configuration asks the store next. `item` is the revision of the key as it was last seen.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum NextCall {
    /// Read the value.
    #[default]
    Read,
    /// Ask whether the key still has this revision.
    Check(StoreRevision),
    /// Wait a short time for changes after a revision.
    FirstWatch {
        item: StoreRevision,
        after: StoreRevision,
    },
    /// Wait for changes after a revision.
    Watch {
        item: StoreRevision,
        after: StoreRevision,
    },
}

impl NextCall {
    /// Returns the revision of the key as it was last seen.
    fn item(self) -> Option<StoreRevision> {
        match self {
            Self::Read => None,
            Self::Check(item) | Self::FirstWatch { item, .. } | Self::Watch { item, .. } => {
                Some(item)
            }
        }
    }
}

/// How far a follower of the configuration is.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Progress {
    next: NextCall,
    /// The revision of the key as it was last seen.
    item: Option<StoreRevision>,
    failed_checks: u32,
}

impl Progress {
    /// Returns the next call.
    pub fn next(&self) -> NextCall {
        self.next
    }

    /// Records a call that succeeded and the one that follows from it.
    pub fn record_success(&mut self, next: NextCall) {
        self.next = next;
        self.item = next.item();
        self.failed_checks = 0;
    }

    /// Records a call that failed. A watch may have missed changes then, so the revision is checked, or the value is read if the
    /// checks fail.
    pub fn record_failure(&mut self) {
        if matches!(self.next, NextCall::Check(_)) {
            self.failed_checks += 1;
        } else {
            self.failed_checks = 0;
        }
        self.next = match self.item {
            Some(item) if self.failed_checks < MAX_FAILED_CHECKS => NextCall::Check(item),
            _ => NextCall::Read,
        };
    }
}
