mod idempotent;
mod route;
mod settings;
mod shared;

pub use route::Router;
pub use settings::RouterSettings;
pub(crate) use shared::RouterShared;
