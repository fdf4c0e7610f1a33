/// What a backend server says about an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptStatus {
    /// The task is running.
    Running,
    /// The task has ended.
    Ended,
    /// The backend server does not know the attempt: it was not received, or not yet.
    Unknown,
    /// The backend server did not answer.
    NoAnswer,
}

impl AttemptStatus {
    pub(super) fn with_text(text: &[u8]) -> Self {
        match text.trim_ascii().trim_ascii_end() {
            b"running" | b"\"running\"" => Self::Running,
            b"ended" | b"\"ended\"" => Self::Ended,
            b"unknown" | b"\"unknown\"" => Self::Unknown,
            _ => Self::NoAnswer,
        }
    }
}
