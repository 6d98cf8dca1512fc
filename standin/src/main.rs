//! Runs one stand-in, or checks a history.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use basilgw::ids::{Generation, UpstreamId};
use basilgw::units::Bytes;
use bpaf::Bpaf;
use standin::engine::{Engine, EngineSettings};
use standin::http::Addresses;
use standin::platform::Platform;
use standin::service::PlainService;
use tokio::signal::unix::{SignalKind, signal};

/// Stand-ins for what basilgw meets outside
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Serve the platform's object API and VM list
    #[bpaf(command)]
    Platform {
        /// Address to listen on
        #[bpaf(argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
        listen: SocketAddr,
    },
    /// Serve a model engine
    #[bpaf(command)]
    Engine {
        /// Address to listen on
        #[bpaf(argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
        listen: SocketAddr,
        /// Name in the platform's list
        #[bpaf(argument("ID"))]
        name: UpstreamId,
        /// Memory, such as 80GiB
        #[bpaf(argument("BYTES"), fallback(Bytes(80 << 30)))]
        memory: Bytes,
        /// Incarnation
        #[bpaf(argument("N"), fallback(Generation(1)))]
        generation: Generation,
        /// Carry out orders with an old fencing number
        unfenced: bool,
        /// Pause between two tokens, in milliseconds
        #[bpaf(argument("MS"), fallback(5))]
        pace: u64,
    },
    /// Serve a plain service
    #[bpaf(command)]
    Service {
        /// Address to listen on
        #[bpaf(argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
        listen: SocketAddr,
        /// Name in the platform's list
        #[bpaf(argument("ID"))]
        name: UpstreamId,
    },
}

fn announce(addresses: Addresses) -> io::Result<()> {
    let line = serde_json::to_string(&addresses)?;
    let mut out = io::stdout().lock();
    writeln!(out, "{line}")?;
    out.flush()
}

/// Waits until the process is told to end.
async fn ended() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

async fn run(command: Command) -> io::Result<()> {
    match command {
        Command::Platform { listen } => {
            let platform = Platform::bind(listen).await?;
            announce(platform.addresses())?;
            ended().await
        }
        Command::Engine {
            listen,
            name,
            memory,
            generation,
            unfenced,
            pace,
        } => {
            let settings = EngineSettings {
                memory,
                generation,
                fenced: !unfenced,
                pace: Duration::from_millis(pace),
                ..EngineSettings::new(name)
            };
            let engine = Engine::bind(listen, settings).await?;
            announce(engine.addresses())?;
            ended().await
        }
        Command::Service { listen, name } => {
            let service = PlainService::bind(listen, name).await?;
            announce(service.addresses())?;
            ended().await
        }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(command().run()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin: {error}");
            ExitCode::FAILURE
        }
    }
}
