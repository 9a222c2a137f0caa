mod body;
mod route_answer;
mod stream;

pub use body::AnswerBody;
pub use route_answer::{AnswerSource, RouteAnswer};
pub(crate) use stream::StreamBody;
pub use stream::StreamError;
