//! Stand-ins for the platform: key-value service, cloud API and weight store.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bpaf::Bpaf;
use quick_error::quick_error;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

use coltsfoothall_standin::platform::{self, Settings};
use coltsfoothall_standin::{cloudserver, kvserver, weights};

/// Time for open calls to end; it stops a caller's half-sent body from holding the program.
const GRACE: Duration = Duration::from_secs(3);

quick_error! {
    /// Why the program cannot run.
    #[derive(Debug)]
    enum Error {
        Settings(error: platform::Error) {
            from()
            display("{error}")
        }
        Listen(address: SocketAddr, error: std::io::Error) {
            display("cannot listen on {address}: {error}")
        }
        Signal(error: std::io::Error) {
            display("cannot wait for signals: {error}")
        }
    }
}

/// Stand-ins for the platform, for tests on one machine.
#[derive(Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Settings file; defaults without it
    #[bpaf(argument("FILE"))]
    settings: Option<PathBuf>,
    /// Address of the key-value service
    #[bpaf(argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 7100))))]
    kv: SocketAddr,
    /// Address of the cloud API and the instance list
    #[bpaf(argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 7101))))]
    cloud: SocketAddr,
    /// Address of the weight store
    #[bpaf(argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 7102))))]
    weights: SocketAddr,
}

#[tokio::main]
async fn main() -> std::process::ExitCode {
    match run(options().run()).await {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("coltsfoothall-platform: {error}");
            std::process::ExitCode::FAILURE
        }
    }
}

async fn run(options: Options) -> Result<(), Error> {
    let settings = match &options.settings {
        Some(path) => Settings::load(path)?,
        None => Settings::default(),
    };
    let stop = stop_on_signal()?;
    let kv = listen(options.kv).await?;
    let cloud = listen(options.cloud).await?;
    let weights = listen(options.weights).await?;
    announce("kv", options.kv, &kv)?;
    announce("cloud", options.cloud, &cloud)?;
    announce("weights", options.weights, &weights)?;
    let serving = async {
        tokio::join!(
            kvserver::run(kv, settings.kv, stop.clone()),
            cloudserver::run(cloud, settings.cloud, stop.clone()),
            weights::run(weights, settings.weights, stop.clone()),
        );
    };
    tokio::select! {
        () = serving => {}
        () = overdue(&stop) => {}
    }
    Ok(())
}

/// Returns once open calls have had their time to end after `stop`.
async fn overdue(stop: &CancellationToken) {
    stop.cancelled().await;
    tokio::time::sleep(GRACE).await;
}

/// A token that is cancelled by the first SIGTERM or SIGINT.
fn stop_on_signal() -> Result<CancellationToken, Error> {
    let mut terminate = signal(SignalKind::terminate()).map_err(Error::Signal)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(Error::Signal)?;
    let stop = CancellationToken::new();
    let cancel = stop.clone();
    tokio::spawn(async move {
        tokio::select! {
            _first = terminate.recv() => {}
            _first = interrupt.recv() => {}
        }
        cancel.cancel();
    });
    Ok(stop)
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|error| Error::Listen(address, error))
}

/// Prints where a service listens; with port 0 the system chose the port.
fn announce(name: &str, asked: SocketAddr, listener: &TcpListener) -> Result<(), Error> {
    let bound = listener
        .local_addr()
        .map_err(|error| Error::Listen(asked, error))?;
    println!("{name} {bound}");
    Ok(())
}
