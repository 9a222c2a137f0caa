mod permit;
mod table;
mod waiter;

pub(crate) use permit::SlotPermit;
pub(crate) use table::SlotTable;
