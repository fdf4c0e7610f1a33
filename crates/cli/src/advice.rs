use sesamedeal_core::code::ResultCode;

/// What the caller or operator can do about a result code.
pub(crate) const fn advice(code: ResultCode) -> &'static str {
    match code {
        ResultCode::Ok => "nothing needs to be done",
        ResultCode::BadRequest => "check the request against docs/api.md",
        ResultCode::UnknownQueue => "check the name of the queue; the sheet lists the queues",
        ResultCode::MissingKey => "give the team's key with --key-file",
        ResultCode::InvalidKey => "check that the key file holds the whole key",
        ResultCode::WithdrawnKey => "ask the operators for a new key (`sesamedeal key grant`)",
        ResultCode::TooLarge => "send less; docs/api.md gives the bounds",
        ResultCode::SlowCaller => "send the request without pauses",
        ResultCode::NeverFits => "declare fewer cores or less memory, or ask for larger instances",
        ResultCode::QueueFull | ResultCode::WaitTooLong | ResultCode::DeadlinePassed => {
            "nothing was run; submit the job again later or with a longer deadline"
        }
        ResultCode::StaleState | ResultCode::NotReady | ResultCode::ShuttingDown => {
            "nothing was run; submit the job again, if possible at another entry instance"
        }
        ResultCode::ClaimUnavailable => {
            "nothing was run; submit the job again with the same idempotency key"
        }
        ResultCode::CallerGone | ResultCode::NoWorker => "nothing was run; submit the job again",
        ResultCode::OutcomeUnknown | ResultCode::BadAnswer | ResultCode::Stopped => {
            "the job may have run; check its effect before you submit it again"
        }
        ResultCode::InProgress => "wait, then ask again with the same idempotency key",
        ResultCode::KeyReused => "use a new idempotency key for a different request",
        ResultCode::CannotRun => "the job fails on every instance; correct the job",
        ResultCode::VersionMismatch => "update the older of the two processes",
        ResultCode::ChangeConflict => "look at `sesamedeal config history`, then plan again",
        ResultCode::InvalidChange => "correct the change; nothing was changed",
        ResultCode::StoreUnavailable => {
            "look at `sesamedeal status` and try again when the store is reachable"
        }
        ResultCode::NotYetInForce => "the change is accepted; look at `sesamedeal status`",
        ResultCode::BudgetExceeded => {
            "wait until instances are back in service (`sesamedeal pool list`)"
        }
    }
}
