mod headers;
mod route;

pub(super) use route::route;
