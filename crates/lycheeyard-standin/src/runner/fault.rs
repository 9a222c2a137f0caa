use std::time::Duration;

/// How a scripted runner treats a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RunnerFault {
    /// It answers.
    #[default]
    None,
    /// It closes the connection once it has read this many bytes of the request.
    CloseAfterReading(usize),
    /// It carries the request out and closes the connection after this many bytes of the answer.
    CutAnswerAfter(usize),
    /// It sends the answer twice, the second time after a delay.
    AnswerTwice(Duration),
    /// It sends the answer after a delay.
    Late(Duration),
    /// It sends the answer without any mark of its end and closes the connection.
    NoContentLength,
    /// It answers with the id of another request.
    WrongId,
    /// It reads the request and never answers on this connection.
    Silent,
}
