mod audit;
mod body;
mod dispatch;
mod job_filter;
mod jobs;
mod reply;
mod server;
mod services;
mod tickets;

pub(crate) use server::serve_api;
