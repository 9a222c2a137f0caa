mod accelerator_ref;
mod data_centre;
mod rack;
mod worker;

pub use accelerator_ref::AcceleratorRef;
pub use data_centre::DataCentre;
pub use rack::Rack;
pub use worker::Worker;
