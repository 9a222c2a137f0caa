use crate::BootTime;

/// How long the scheduling instance before this term may still act on the workers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Predecessor {
    /// It sends no order after this.
    pub orders_until: BootTime,
    /// It extends no worker's lease after this.
    pub extensions_until: BootTime,
}

impl Predecessor {
    /// A predecessor that does nothing after `until`.
    #[must_use]
    pub fn inactive_after(until: BootTime) -> Self {
        Self {
            orders_until: until,
            extensions_until: until,
        }
    }
}
