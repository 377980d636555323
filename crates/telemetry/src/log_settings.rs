//! Starting the log of a process.

use std::io;

use flexi_logger::{FlexiLoggerError, Logger, LoggerHandle};
use tracing_appender::non_blocking::WorkerGuard;

use crate::{BoundedWriter, LineRateSettings};

type Result<T, E = FlexiLoggerError> = std::result::Result<T, E>;

/// How a process logs.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// The node, named on each line.
    pub node: String,

    /// Which lines are written: `error`, `warn`, `info`, `debug`.
    pub level: String,

    /// Lines that wait for the log's reader at most.
    pub queued_lines: usize,

    /// Lines of each kind at most.
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

/// Keeps the log going; dropped at the end of the process.
pub struct LogGuard {
    _logger: LoggerHandle,
    _worker: WorkerGuard,
}

/// Makes the process log JSON lines to standard output.
///
/// # Errors
///
/// If the level is not understood, or the process logs already.
pub fn start_logging(settings: &LogSettings) -> Result<LogGuard> {
    let (writer, worker) = BoundedWriter::new(settings, io::stdout());
    let logger = Logger::try_with_str(&settings.level)?.log_to_writer(Box::new(writer)).start()?;
    Ok(LogGuard { _logger: logger, _worker: worker })
}
