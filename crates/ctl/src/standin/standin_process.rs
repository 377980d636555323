//! Runs one stand-in until a signal stops it.

use std::net::SocketAddr;

use comfreyturn_standin::{EngineServer, PlainServer, PlatformServer, ServerEnd};
use serde::Serialize;

use crate::{
    CtlError, Result,
    command_line::{Engine, Plain, Platform, StandinCmd},
    dispatch::print_json,
    stop_signals::stop_signals,
};

/// The line that is printed once a stand-in listens.
#[derive(Serialize)]
struct StandinReady<'a> {
    standin: &'static str,

    #[serde(skip_serializing_if = "Option::is_none")]
    vm: Option<&'a str>,

    address: SocketAddr,
}

/// Runs a stand-in until SIGTERM or SIGINT, or until a request crashes it.
pub(crate) async fn run_standin(verb: StandinCmd) -> Result<()> {
    let end = match verb {
        StandinCmd::Platform(flags) => run_platform(&flags).await?,
        StandinCmd::Engine(flags) => run_engine(&flags).await?,
        StandinCmd::Plain(flags) => run_plain(&flags).await?,
    };
    match end {
        ServerEnd::Stopped => Ok(()),
        ServerEnd::Crashed => Err(CtlError::StandinCrashed),
    }
}

async fn run_platform(flags: &Platform) -> Result<ServerEnd> {
    let stop = stop_signals()?;
    let server = PlatformServer::bind(flags.listen, flags.into()).await?;
    let address = server.local_address();
    print_json(&StandinReady { standin: "platform", vm: None, address });
    Ok(server.serve(stop).await)
}

async fn run_engine(flags: &Engine) -> Result<ServerEnd> {
    let stop = stop_signals()?;
    let server = EngineServer::bind(flags.listen, flags.into()).await?;
    let address = server.local_address();
    print_json(&StandinReady { standin: "engine", vm: Some(&flags.vm), address });
    Ok(server.serve(stop).await)
}

async fn run_plain(flags: &Plain) -> Result<ServerEnd> {
    let stop = stop_signals()?;
    let server = PlainServer::bind(flags.listen, flags.into()).await?;
    let address = server.local_address();
    print_json(&StandinReady { standin: "plain", vm: Some(&flags.vm), address });
    Ok(server.serve(stop).await)
}
