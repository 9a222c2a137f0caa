use super::step_room::AMPLE_TIMES;
use crate::BootTime;
use std::{collections::BTreeMap, time::Duration};
use strum::{EnumIter, IntoEnumIterator};

/// Where there is room for a step that waits.
#[derive(Clone, Copy, Debug, EnumIter, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum RoomPlace {
    /// On workers that accept runs, near the data of the step and, with `same_rack`, on one rack.
    Preferred,
    /// On any rack, and on workers in quarantine.
    Anywhere,
}

/// How much room there is for a step that waits.
#[derive(Clone, Copy, Debug, EnumIter, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum RoomSize {
    /// It would leave as much as it takes.
    Ample,
    /// It fits.
    Sufficient,
}

/// Room for a step that waits.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Room {
    pub place: RoomPlace,
    pub size: RoomSize,
}

/// For how long preferences may keep a step from ample room while nothing of its job is at work. Callers are promised 3 s; a
/// planning round may come late twice, before the deadline is set and after it has passed.
const MAX_WAIT_BESIDE_AMPLE_ROOM: Duration = Duration::from_secs(2);
/// The same for room that it would fill. Callers are promised 14 s, which has to cover the end of its last run as well.
const MAX_WAIT_BESIDE_SUFFICIENT_ROOM: Duration = Duration::from_secs(6);
/// The same for room where tasks run worse, while half of the capacity of the service or more is in use.
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

impl Room {
    /// All places and sizes, the preferred first.
    pub fn all() -> impl Iterator<Item = Self> {
        RoomPlace::iter().flat_map(|place| RoomSize::iter().map(move |size| Self { place, size }))
    }

    fn deadline(self, now: BootTime) -> RoomDeadline {
        let start_by = now.after(self.size.max_wait());
        let start_by_in_use = match self.place {
            RoomPlace::Preferred => start_by,
            RoomPlace::Anywhere => now.after(MAX_WAIT_BESIDE_ROOM_ANYWHERE),
        };
        RoomDeadline {
            start_by,
            start_by_in_use,
            lapses_at: None,
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
    rooms: BTreeMap<Room, RoomDeadline>,
    /// When the step has been at work for so long that it waits no more; `None` while it waits, and while only what a deadline has let
    /// start is at work.
    ends_at: Option<BootTime>,
}

#[derive(Clone, Copy, Debug)]
struct RoomDeadline {
    /// Until when preferences may keep the step from the room while less than half of the capacity of the service is in use.
    start_by: BootTime,
    /// The same while half or more is in use.
    start_by_in_use: BootTime,
    /// When the room has been gone for too long; `None` while it is there.
    lapses_at: Option<BootTime>,
}

impl RoomDeadlines {
    /// Notes that work of the step runs which no preference kept from starting.
    pub fn note_work(&mut self, now: BootTime) {
        self.ends_at.get_or_insert_with(|| now.after(START_LAPSE));
    }

    /// Notes whether there is such room now for a step that waits. Returns whether there is, and its deadline has passed.
    pub fn note(
        &mut self,
        room: Room,
        has_room: bool,
        is_mostly_free: bool,
        now: BootTime,
    ) -> bool {
        if self.ends_at.take().is_some_and(|at| at.is_past(now)) {
            self.rooms.clear();
        }
        if has_room {
            self.note_room(room, now).has_passed(is_mostly_free, now)
        } else {
            self.note_no_room(room, now);
            false
        }
    }

    fn note_room(&mut self, room: Room, now: BootTime) -> RoomDeadline {
        let deadline = self.rooms.entry(room).or_insert_with(|| room.deadline(now));
        deadline.lapses_at = None;
        *deadline
    }

    fn note_no_room(&mut self, room: Room, now: BootTime) {
        let Some(deadline) = self.rooms.get_mut(&room) else {
            return;
        };
        let lapses_at = *deadline
            .lapses_at
            .get_or_insert_with(|| now.after(ROOM_LAPSE));
        if lapses_at.is_past(now) {
            self.rooms.remove(&room);
        }
    }
}

impl RoomDeadline {
    fn has_passed(self, is_mostly_free: bool, now: BootTime) -> bool {
        let start_by = if is_mostly_free {
            self.start_by
        } else {
            self.start_by_in_use
        };
        start_by.is_past(now)
    }
}
