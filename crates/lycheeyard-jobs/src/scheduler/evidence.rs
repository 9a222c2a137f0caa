/// What shows that an incarnation of a worker is there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Evidence {
    /// The record of a run.
    Record,
    /// The list of workers.
    Listing,
    /// The list of workers, while an incarnation with a higher number was named there or in a record.
    LowerListing,
    /// A report.
    Report,
}
