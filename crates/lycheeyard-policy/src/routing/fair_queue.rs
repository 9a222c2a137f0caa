use super::organisation::{OrganisationTable, OrganisationUsage};
use lycheeyard_protocol::OrganisationId;
use std::{collections::BTreeMap, time::Duration};

/// Identifies a waiting request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaiterKey {
    /// The organisation whose request it is.
    pub organisation: OrganisationId,
    /// The request's deadline.
    pub deadline: Duration,
    /// The request's number in order of arrival.
    pub number: u64,
}

/// Requests that wait for slots of one service.
///
/// Within an organisation, the earliest deadline is served first. Between organisations, stride scheduling gives each
/// one slots in proportion to its weight.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    /// The waiting requests of each organisation, by deadline and then by arrival.
    lanes: BTreeMap<OrganisationId, BTreeMap<(Duration, u64), T>>,
    waiting: usize,
    arrivals: u64,
    pass: u64,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            lanes: BTreeMap::new(),
            waiting: 0,
            arrivals: 0,
            pass: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Adds a request.
    pub fn push(&mut self, organisation: OrganisationId, deadline: Duration, item: T) -> WaiterKey {
        self.arrivals += 1;
        self.waiting += 1;
        let key = WaiterKey {
            organisation,
            deadline,
            number: self.arrivals,
        };
        let lane = self.lanes.entry(key.organisation.clone()).or_default();
        lane.insert((deadline, key.number), item);
        key
    }

    /// Removes a request that no longer waits.
    pub fn remove(&mut self, key: &WaiterKey) -> Option<T> {
        let lane = self.lanes.get_mut(&key.organisation)?;
        let item = lane.remove(&(key.deadline, key.number))?;
        self.note_removal(&key.organisation);
        Some(item)
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Returns `true` if no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Returns the number of waiting requests of an organisation.
    #[must_use]
    pub fn len_of(&self, organisation: &OrganisationId) -> usize {
        self.lanes.get(organisation).map_or(0, BTreeMap::len)
    }

    /// The organisations that have waiting requests.
    pub(super) fn organisations(&self) -> impl Iterator<Item = &OrganisationId> {
        self.lanes.keys()
    }

    /// Removes a request whose deadline is not after `limit`.
    pub fn pop_due_by(&mut self, limit: Duration) -> Option<T> {
        let is_due = |lane: &BTreeMap<(Duration, u64), T>| {
            let first = lane.first_key_value();
            first.is_some_and(|((deadline, _), _)| *deadline <= limit)
        };
        let mut lanes = self.lanes.iter_mut();
        let (organisation, lane) = lanes.find(|(_, lane)| is_due(lane))?;
        let organisation = organisation.clone();
        let (_, item) = lane.pop_first()?;
        self.note_removal(&organisation);
        Some(item)
    }

    /// Removes the request with the latest deadline of the organisation that has the most waiting requests.
    pub fn pop_from_longest_lane(&mut self) -> Option<T> {
        let longest = self.lanes.iter_mut().max_by_key(|(_, lane)| lane.len());
        let (organisation, lane) = longest?;
        let organisation = organisation.clone();
        let (_, item) = lane.pop_last()?;
        self.note_removal(&organisation);
        Some(item)
    }

    /// Removes the next request of the organisation with the lowest pass among those that may run one more.
    pub(super) fn pop_next(&mut self, table: &OrganisationTable) -> Option<(OrganisationId, T)> {
        let ready = self.lanes.keys().filter_map(|organisation| {
            let usage = table.get(organisation);
            let pass = usage.map_or(self.pass, |usage| usage.pass);
            let may_run = usage.is_none_or(OrganisationUsage::may_run);
            may_run.then_some((pass, organisation))
        });
        let organisation = ready.min()?.1.clone();
        let (_, item) = self.lanes.get_mut(&organisation)?.pop_first()?;
        self.note_removal(&organisation);
        Some((organisation, item))
    }

    /// Advances the queue's virtual time to the pass of the organisation that is served.
    pub(super) fn advance(&mut self, pass: u64) -> u64 {
        self.pass = self.pass.max(pass);
        self.pass
    }

    /// The queue's virtual time, from which an organisation starts after it was idle.
    pub(super) fn pass(&self) -> u64 {
        self.pass
    }

    fn note_removal(&mut self, organisation: &OrganisationId) {
        self.waiting -= 1;
        if self.len_of(organisation) == 0 {
            self.lanes.remove(organisation);
        }
    }
}
