use lycheeyard_jobs::{IncarnationChange, IncarnationDecision};
use tracing::{info, warn};

/// Logs what was decided about other incarnations of workers than the present ones.
pub(super) fn log_incarnations(changes: &[IncarnationChange]) {
    for change in changes {
        let IncarnationChange {
            worker,
            former,
            incarnation,
            decision,
        } = change;
        match decision {
            IncarnationDecision::Reported => {
                warn!(%worker, %former, %incarnation, "worker: started again under its id");
            }
            IncarnationDecision::ReportIgnored => {
                warn!(%worker, present = %former, %incarnation, "worker: report of an incarnation that has ended was ignored");
            }
            IncarnationDecision::Listed => {
                warn!(%worker, %former, %incarnation, "worker: listed as another incarnation");
            }
            IncarnationDecision::ListingUnclear => {
                info!(%worker, present = %former, %incarnation, "worker: the list names another incarnation; reports decide");
            }
            IncarnationDecision::ListingIgnored => {
                info!(%worker, present = %former, %incarnation, "worker: listing of an incarnation that has ended was ignored");
            }
        }
    }
}
