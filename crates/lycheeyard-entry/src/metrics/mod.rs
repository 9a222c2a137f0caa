mod provider;
mod requests;
mod scrape;

pub(crate) use provider::start_metrics;
pub(crate) use requests::RequestMetrics;
pub(crate) use scrape::scrape;
