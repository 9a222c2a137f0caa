mod requests;
mod scrape;

pub(crate) use requests::RequestMetrics;
pub(crate) use scrape::scrape;
