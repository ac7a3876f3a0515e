//! Stand-in of a model engine.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

use coltsfoothall::id;
use coltsfoothall_standin::engine::{Setup, run};
use coltsfoothall_standin::start::{Error, settings};

/// Stand-in of a model engine, with faults on demand
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Address to listen at
    #[bpaf(argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 7201))))]
    listen: SocketAddr,
    /// Short name, part of every token
    #[bpaf(argument("NAME"), fallback("e1".parse().expect("a valid name")))]
    name: id::Endpoint,
    /// Model that is loaded at the start
    #[bpaf(argument("MODEL"), fallback("rights-1".parse().expect("a valid name")))]
    model: id::Model,
    /// YAML file with settings
    #[bpaf(argument("FILE"))]
    settings: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> Result<(), Error> {
    let options = options().run();
    let setup = Setup {
        name: options.name,
        model: options.model,
        settings: settings(options.settings.as_deref())?,
    };
    let listener = TcpListener::bind(options.listen)
        .await
        .map_err(|error| Error::Listen(options.listen, error))?;
    let address = listener
        .local_addr()
        .map_err(|error| Error::Listen(options.listen, error))?;
    let mut terminate = signal(SignalKind::terminate()).map_err(Error::Signal)?;
    println!("{address}");
    let stop = CancellationToken::new();
    let serving = tokio::spawn(run(listener, setup, stop.clone()));
    terminate.recv().await;
    stop.cancel();
    serving.await.map_err(Error::Task)
}
