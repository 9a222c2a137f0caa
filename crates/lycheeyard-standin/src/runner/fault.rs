use std::time::Duration;

/// A failure that a scripted runner injects into each request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RunnerFault {
    /// The runner answers normally.
    #[default]
    None,
    /// The runner closes the connection after it has read this many bytes of the request.
    CloseAfterReading(usize),
    /// The runner executes the request and closes the connection after this many bytes of the response.
    CutAnswerAfter(usize),
    /// The runner sends the response twice, the second time after a delay.
    AnswerTwice(Duration),
    /// The runner sends the response after a delay.
    Late(Duration),
    /// The runner sends the response without a `content-length` header and closes the connection.
    NoContentLength,
    /// The runner answers with a try id that differs from the one in the request.
    WrongId,
    /// The runner reads the request and never answers on this connection.
    Silent,
}
