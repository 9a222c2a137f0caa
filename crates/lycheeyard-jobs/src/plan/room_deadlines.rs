use super::step_room::AMPLE_TIMES;
use crate::BootTime;
use std::{collections::BTreeMap, time::Duration};
use strum::EnumIter;

/// Where there is room for a step that waits.
#[derive(Clone, Copy, Debug, EnumIter, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum RoomPlace {
    /// On workers that accept runs, near the data of the step and, with `same_rack`, on one rack.
    Preferred,
    /// On any rack, and on workers in quarantine but those on which the step has failed.
    Anywhere,
    /// On any rack and any worker.
    Everywhere,
}

/// Whether there is room of a size for a step that waits, and where.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FoundRoom {
    Nowhere,
    /// On workers about which the advisor has not been asked yet.
    NotAllowedYet,
    /// The best place.
    In(RoomPlace),
}

/// How much room there is for a step that waits.
#[derive(Clone, Copy, Debug, EnumIter, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum RoomSize {
    /// It would leave as much as it takes.
    Ample,
    /// It fits.
    Sufficient,
}

/// For how long preferences may keep a step from ample room while nothing of its job is at work. Callers are promised 3 s; a
/// planning round may come late twice, before the deadline is set and after it has passed.
const MAX_WAIT_BESIDE_AMPLE_ROOM: Duration = Duration::from_secs(2);
/// The same for room that it would fill. Callers are promised 14 s, which has to cover the end of its last run as well.
const MAX_WAIT_BESIDE_SUFFICIENT_ROOM: Duration = Duration::from_secs(6);
/// The same for room where tasks run worse, of either size, while half of the capacity of the service or more is in use.
const MAX_WAIT_BESIDE_ROOM_ANYWHERE: Duration = Duration::from_secs(12);

impl RoomSize {
    /// How many times over the least that can start together has to fit.
    pub fn times(self) -> usize {
        match self {
            Self::Ample => AMPLE_TIMES,
            Self::Sufficient => 1,
        }
    }

    fn max_wait(self) -> Duration {
        match self {
            Self::Ample => MAX_WAIT_BESIDE_AMPLE_ROOM,
            Self::Sufficient => MAX_WAIT_BESIDE_SUFFICIENT_ROOM,
        }
    }
}

/// Room that was there this recently counts as if it had stayed: between the start of one run and the end of another it is gone for a
/// moment.
const ROOM_LAPSE: Duration = Duration::from_millis(500);
/// Work that is stopped this soon after its start counts as if it had not started.
const START_LAPSE: Duration = Duration::from_secs(1);

/// Until when preferences may keep a step from the room that there is for it.
#[derive(Clone, Debug, Default)]
pub(crate) struct RoomDeadlines {
    sizes: BTreeMap<RoomSize, RoomDeadline>,
    /// When the step has been at work for so long that it waits no more; `None` while it waits, and while only what a deadline has let
    /// start is at work.
    ends_at: Option<BootTime>,
}

/// The deadlines begin when there first is room anywhere, and stay when there is room in a better place.
#[derive(Clone, Copy, Debug)]
struct RoomDeadline {
    /// Until when preferences may keep the step from preferred room, and from room anywhere while that counts soon: less than half of the
    /// capacity of the service is in use, or the step is long-running.
    start_by: BootTime,
    /// Until when they may keep it from room anywhere at all.
    start_anywhere_by: BootTime,
    /// When the room has been gone for too long; `None` while it is there.
    lapses_at: Option<BootTime>,
}

impl RoomDeadline {
    fn new(size: RoomSize, now: BootTime) -> Self {
        Self {
            start_by: now.after(size.max_wait()),
            start_anywhere_by: now.after(MAX_WAIT_BESIDE_ROOM_ANYWHERE),
            lapses_at: None,
        }
    }

    fn start_by(&self, place: RoomPlace, is_anywhere_soon: bool) -> BootTime {
        match place {
            RoomPlace::Anywhere | RoomPlace::Everywhere if !is_anywhere_soon => {
                self.start_anywhere_by
            }
            _ => self.start_by,
        }
    }
}

impl RoomDeadlines {
    /// Notes that work of the step runs which no preference kept from starting.
    pub fn note_work(&mut self, now: BootTime) {
        self.ends_at.get_or_insert_with(|| now.after(START_LAPSE));
    }

    /// Notes the room of a size that there is now for a step that waits. Returns whether the deadline for its place has passed.
    pub fn note(
        &mut self,
        size: RoomSize,
        room: FoundRoom,
        is_anywhere_soon: bool,
        now: BootTime,
    ) -> bool {
        if self.ends_at.take().is_some_and(|at| at.is_past(now)) {
            self.sizes.clear();
        }
        if room == FoundRoom::Nowhere {
            self.note_no_room(size, now);
            return false;
        }
        let deadline = self
            .sizes
            .entry(size)
            .or_insert_with(|| RoomDeadline::new(size, now));
        deadline.lapses_at = None;
        match room {
            FoundRoom::In(place) => deadline.start_by(place, is_anywhere_soon).is_past(now),
            FoundRoom::Nowhere | FoundRoom::NotAllowedYet => false,
        }
    }

    /// The first deadline for room in a place that is there now; `None` if there is no room.
    pub fn first(&self, place: RoomPlace, is_anywhere_soon: bool) -> Option<BootTime> {
        let sizes = self.sizes.values();
        let present = sizes.filter(|deadline| deadline.lapses_at.is_none());
        present
            .map(|deadline| deadline.start_by(place, is_anywhere_soon))
            .min()
    }

    fn note_no_room(&mut self, size: RoomSize, now: BootTime) {
        let Some(deadline) = self.sizes.get_mut(&size) else {
            return;
        };
        let lapses_at = *deadline
            .lapses_at
            .get_or_insert_with(|| now.after(ROOM_LAPSE));
        if lapses_at.is_past(now) {
            self.sizes.remove(&size);
        }
    }
}
