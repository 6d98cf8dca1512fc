//! Logs as JSON lines on standard error.
//!
//! Every record has a stable event name as its message. No key and no caller's text is logged.
//! Records that libraries write through `tracing` have no subscriber and are dropped.

use std::io;

use slog::{Drain, Level, Logger, o};

use crate::ids::VmId;
use crate::schema::settings::LogSettingsLevel;

const QUEUE_RECORDS: usize = 4096;

/// Opens the log of a VM.
pub fn open(vm: &VmId, level: Option<LogSettingsLevel>) -> Logger {
    let json = slog_json::Json::default(io::stderr()).fuse();
    let queue = slog_async::Async::new(json)
        .chan_size(QUEUE_RECORDS)
        .build();
    let drain = queue.filter_level(least(level)).fuse();
    Logger::root(drain, o!("vm" => vm.to_string()))
}

/// Opens the log of a VM on standard output, where the platform collects it.
///
/// What does not fit into the queue is dropped and counted, so that a reader that does not read
/// never holds up a request.
pub fn open_stdout(vm: &VmId) -> Logger {
    let json = slog_json::Json::default(io::stdout()).fuse();
    let queue = slog_async::Async::new(json)
        .chan_size(QUEUE_RECORDS)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build();
    let drain = queue.filter_level(Level::Info).fuse();
    Logger::root(drain, o!("vm" => vm.to_string()))
}

fn least(level: Option<LogSettingsLevel>) -> Level {
    match level {
        Some(LogSettingsLevel::Error) => Level::Error,
        Some(LogSettingsLevel::Warning) => Level::Warning,
        Some(LogSettingsLevel::Info) | None => Level::Info,
        Some(LogSettingsLevel::Debug) => Level::Debug,
    }
}
