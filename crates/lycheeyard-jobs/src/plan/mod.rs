mod advice;
mod drain;
mod guarantees;
mod headroom;
mod host;
mod hosts;
mod pending_step;
mod permits;
mod place;
mod placement_failures;
mod preempt;
mod rank;
mod reservation;
mod reservations;
mod round;
mod starts;
mod stop_cost;

pub(crate) use reservation::Reservation;
