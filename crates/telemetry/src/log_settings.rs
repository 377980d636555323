//! Starts the log of a process.

use std::io;

use flexi_logger::{FlexiLoggerError, Logger, LoggerHandle};
use tracing_appender::non_blocking::WorkerGuard;

use crate::{BoundedWriter, LineRateSettings};

type Result<T, E = FlexiLoggerError> = std::result::Result<T, E>;

/// Settings of a process's log.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// Name of the node, written with each line.
    pub node: String,

    /// Lowest level that is written: `error`, `warn`, `info`, `debug`.
    pub level: String,

    /// Maximum number of lines queued for a slow reader.
    pub queued_lines: usize,

    /// Limit on the lines of each call site.
    pub rate: LineRateSettings,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            node: String::new(),
            level: "info".to_owned(),
            queued_lines: 2000,
            rate: LineRateSettings::default(),
        }
    }
}

/// Keeps the log running until it is dropped, at the end of the process.
pub struct LogGuard {
    _logger: LoggerHandle,
    _worker: WorkerGuard,
}

/// Starts logging JSON lines to standard output.
///
/// # Errors
///
/// If the level is unknown, or the process already has a logger.
pub fn start_logging(settings: &LogSettings) -> Result<LogGuard> {
    let (writer, worker) = BoundedWriter::new(settings, io::stdout());
    let logger = Logger::try_with_str(&settings.level)?.log_to_writer(Box::new(writer)).start()?;
    Ok(LogGuard { _logger: logger, _worker: worker })
}
