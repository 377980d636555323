//! The operators' command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    comfreyturn_ctl::run_command_line()
}
