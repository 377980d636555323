//! Command line of the node.

use std::{path::Path, process::ExitCode};

use comfreyturn_node::{NodeSettings, StopSignal, run_node};
use comfreyturn_platform::{PlatformSettings, PlatformSignal, run_platform};
use comfreyturn_telemetry::{LogSettings, start_logging};
use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals,
};

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// A node of comfreyturn: serves callers, operators and peers.
        cmd comfreyturn {
            /// Runs the node until it is told to stop.
            default cmd run {
                /// The settings file.
                required --settings file: PathBuf
                /// Which log lines are written to standard output: error, warn, info, debug.
                optional --log level: String
            }
            /// Runs a node on the users' platform, whose settings file the environment names.
            cmd platform {
                /// Which log lines are written to standard output: error, warn, info, debug.
                optional --log level: String
                /// The port at the node's address where metrics are read; none by default.
                optional --metrics port: u16
            }
            /// Checks a settings file and ends.
            cmd check {
                /// The settings file.
                required --settings file: PathBuf
            }
        }
    }
}

/// Exit code for wrong usage and wrong settings.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let flags = flags::Comfreyturn::from_env_or_exit();
    match flags.subcommand {
        flags::ComfreyturnCmd::Check(check) => check_settings(&check.settings),
        flags::ComfreyturnCmd::Platform(platform) => run_on_platform(&platform),
        flags::ComfreyturnCmd::Run(run) => run_process(&run.settings, run.log.as_deref()),
    }
}

fn check_settings(file: &Path) -> ExitCode {
    match NodeSettings::read(file) {
        Ok(_) => {
            println!("{}: ok", file.display());
            ExitCode::SUCCESS
        }
        Err(error) => usage_error(&error),
    }
}

fn run_process(file: &Path, level: Option<&str>) -> ExitCode {
    let settings = match NodeSettings::read(file) {
        Ok(settings) => settings,
        Err(error) => return usage_error(&error),
    };
    let _log = match start_logging(&log_settings(settings.node.as_str(), level)) {
        Ok(logger) => logger,
        Err(error) => return usage_error(&error),
    };
    let stop = match stop_signals() {
        Ok(stop) => stop,
        Err(error) => return failure(&error),
    };
    let runtime = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return failure(&error),
    };
    match runtime.block_on(run_node(settings, stop)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => failure(&error),
    }
}

fn run_on_platform(flags: &flags::Platform) -> ExitCode {
    let settings = match PlatformSettings::from_environment() {
        Ok(settings) => settings,
        Err(error) => return usage_error(&error),
    };
    let settings = PlatformSettings { metrics_port: flags.metrics, ..settings };
    let _log = match start_logging(&log_settings(&settings.node, flags.log.as_deref())) {
        Ok(log) => log,
        Err(error) => return usage_error(&error),
    };
    let signals = match platform_signals() {
        Ok(signals) => signals,
        Err(error) => return failure(&error),
    };
    let runtime = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return failure(&error),
    };
    match runtime.block_on(run_platform(settings, signals)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => failure(&error),
    }
}

/// Translates SIGTERM and SIGINT into [`PlatformSignal::Stop`], and SIGHUP into
/// [`PlatformSignal::Reload`].
fn platform_signals() -> std::io::Result<flume::Receiver<PlatformSignal>> {
    let (sender, receiver) = flume::unbounded();
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    std::thread::spawn(move || {
        for signal in signals.forever() {
            let message =
                if signal == SIGHUP { PlatformSignal::Reload } else { PlatformSignal::Stop };
            if sender.send(message).is_err() {
                return;
            }
        }
    });
    Ok(receiver)
}

fn log_settings(node: &str, level: Option<&str>) -> LogSettings {
    let defaults = LogSettings::default();
    let level = level.map_or(defaults.level, str::to_owned);
    LogSettings { node: node.to_owned(), level, ..defaults }
}

/// Translates each SIGTERM and SIGINT into [`StopSignal::Graceful`].
fn stop_signals() -> std::io::Result<flume::Receiver<StopSignal>> {
    let (sender, receiver) = flume::unbounded();
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    std::thread::spawn(move || {
        for _ in signals.forever() {
            let _ = sender.send(StopSignal::Graceful);
        }
    });
    Ok(receiver)
}

fn usage_error(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("comfreyturn: {error}");
    ExitCode::from(EXIT_USAGE)
}

fn failure(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("comfreyturn: {error}");
    ExitCode::FAILURE
}
