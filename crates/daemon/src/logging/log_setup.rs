use std::io::stdout;

use slog::{Drain, Level, LevelFilter, Logger, o};

use crate::settings::{LogFormat, LogLevel};

/// Records that wait to be written; further ones are dropped and counted.
const CHANNEL_SIZE: usize = 4_096;

/// Creates the logger that all parts of the process derive theirs from.
pub(crate) fn root_logger(level: LogLevel, format: LogFormat) -> Logger {
    match format {
        LogFormat::Json => {
            let drain = slog_json::Json::new(stdout()).add_default_keys().build();
            filtered(drain.fuse(), level)
        }
        LogFormat::Text => {
            let decorator = slog_term::PlainDecorator::new(stdout());
            let drain = slog_term::FullFormat::new(decorator).build();
            filtered(drain.fuse(), level)
        }
    }
}

/// Writes from a thread of its own, so that a slow terminal does not delay requests.
fn filtered<D>(drain: D, level: LogLevel) -> Logger
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let drain = slog_async::Async::new(drain)
        .chan_size(CHANNEL_SIZE)
        .build()
        .fuse();
    let level = match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    Logger::root(LevelFilter::new(drain, level).fuse(), o!())
}
