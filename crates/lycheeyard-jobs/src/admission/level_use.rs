use crate::Resources;

/// What the work of one priority has of a service at present.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LevelUse {
    /// The resources that its runs use.
    pub used: Resources,
    /// Whether tasks wait that are still of use.
    pub has_waiting_tasks: bool,
}
