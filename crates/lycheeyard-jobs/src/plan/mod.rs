mod advice;
mod drain;
mod guarantee;
mod headroom;
mod host;
mod hosts;
mod loss;
mod misfits;
mod order;
mod permits;
mod place;
mod preempt;
mod reservation;
mod reservations;
mod round;
mod starts;
mod unit;

pub(crate) use reservation::Reservation;
