//! Runs one stand-in, or checks a history.

use std::fs::{self, File};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use basilgw::ids::{Generation, UpstreamId};
use basilgw::units::Bytes;
use bpaf::Bpaf;
use standin::bench::load::{self, Plan};
use standin::bench::passthrough;
use standin::engine::{Engine, EngineSettings};
use standin::experiment::{self, Experiment};
use standin::history::{self, Bounds, HistoryError};
use standin::http::Addresses;
use standin::matrix::{self, Cell, Fault, Outcome, Step};
use standin::platform::Platform;
use standin::service::PlainService;
use thiserror::Error;
use tokio::signal::unix::{SignalKind, signal};

/// Exit code where a point is violated.
const VIOLATED: u8 = 1;

/// Violations of one cell that are shown.
const SHOWN_VIOLATIONS: usize = 4;

/// Exit code where a command failed.
const FAILED: u8 = 2;

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
    /// Pass every request on to one upstream, to compare with
    #[bpaf(command)]
    Passthrough {
        /// Address to listen on
        #[bpaf(argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
        listen: SocketAddr,
        /// The upstream
        #[bpaf(argument("ADDRESS"))]
        to: SocketAddr,
        /// The replica that every request names
        #[bpaf(argument("ID"))]
        replica: String,
    },
    /// Send streamed load and print what came back and what it cost, as a JSON line
    #[bpaf(command)]
    Load {
        /// Where to
        #[bpaf(argument("ADDRESS"))]
        to: SocketAddr,
        /// Callers at once
        #[bpaf(argument("N"), fallback(1))]
        callers: usize,
        /// Requests of each caller
        #[bpaf(argument("N"), fallback(10))]
        requests: usize,
        /// Tokens of each answer
        #[bpaf(argument("N"), fallback(100))]
        tokens: usize,
        /// The key that each request carries
        #[bpaf(argument("KEY"))]
        key: String,
        /// The model asked for
        #[bpaf(argument("MODEL"))]
        model: String,
        /// The process whose cost is read
        #[bpaf(argument("PID"))]
        pid: u32,
    },
    /// Meet every step with every fault, in real VM processes, and check the histories
    ///
    /// Prints a line a cell, a table and a summary. Exits 1 where a cell failed or broke off.
    #[bpaf(command)]
    Matrix {
        /// The basilgw program
        #[bpaf(argument("FILE"), fallback("target/debug/basilgw".into()))]
        gateway: PathBuf,
        /// Seed of the traffic and of the faults' moments
        #[bpaf(argument("N"), fallback(1))]
        seed: u64,
        /// Run only the cells that CI runs
        subset: bool,
        /// Run only cells whose step and fault hold this text, such as Booking/KillVm
        #[bpaf(argument("TEXT"), fallback(String::new()))]
        only: String,
        /// Write the history of each cell to this directory
        #[bpaf(argument("DIRECTORY"), optional)]
        histories: Option<PathBuf>,
    },
    /// Check a history, given as JSON lines, for every point that must always hold
    ///
    /// Prints a verdict for each point; "no cases" says that the history shows nothing of it.
    /// Exits 1 where a point is violated and 2 where the history cannot be checked.
    #[bpaf(command("check-history"))]
    CheckHistory {
        /// Files whose lines are joined
        #[bpaf(positional("FILE"), some("at least one FILE is needed"))]
        files: Vec<PathBuf>,
    },
    /// Drive the decisions with fakes in virtual time; prints JSON lines
    #[bpaf(command)]
    Experiment(#[bpaf(external(experiment::experiment))] Experiment),
}

/// Why a command failed.
#[derive(Debug, Error)]
enum CommandError {
    /// A socket or a file failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A history cannot be checked.
    #[error(transparent)]
    History(#[from] HistoryError),
}

fn announce(addresses: Addresses) -> io::Result<()> {
    let line = serde_json::to_string(&addresses)?;
    let mut out = io::stdout().lock();
    writeln!(out, "{line}")?;
    out.flush()
}

fn announce_one(listening: SocketAddr) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "{{\"listening\":\"{listening}\"}}")?;
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

fn check_files(files: &[PathBuf]) -> Result<ExitCode, CommandError> {
    let mut lines = String::new();
    for file in files {
        lines += &fs::read_to_string(file)?;
    }
    let findings = history::check(history::parse(&lines)?, &Bounds::default())?;
    print!("{}", findings.summary());
    let sound = findings.violations.is_empty();
    Ok(if sound {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(VIOLATED)
    })
}

fn tell(cell: &Cell) {
    let (whole, refused, other) = cell.ends();
    println!(
        "{:?}/{:?}: {}; requests: {whole} whole, {refused} refused, {other} otherwise",
        cell.step,
        cell.fault,
        cell.mark()
    );
    match &cell.outcome {
        Outcome::Checked(findings) => {
            for (point, at, violation) in findings.violations.iter().take(SHOWN_VIOLATIONS) {
                println!("    {} {point:?}: {violation}", at.0);
            }
        }
        Outcome::Broken(error) => println!("    {error}"),
    }
}

fn keep(cell: &Cell, directory: &Path) -> Result<(), CommandError> {
    fs::create_dir_all(directory)?;
    let name = format!("{:?}-{:?}.jsonl", cell.step, cell.fault);
    let mut file = File::create(directory.join(name))?;
    for entry in &cell.history {
        let line = serde_json::to_string(entry).map_err(io::Error::from)?;
        writeln!(file, "{line}")?;
    }
    Ok(())
}

async fn run_matrix(
    gateway: PathBuf,
    seed: u64,
    cells: Vec<(Step, Fault)>,
    histories: Option<PathBuf>,
) -> Result<ExitCode, CommandError> {
    let (tally, cells) = matrix::run(gateway, &cells, seed, tell).await;
    if let Some(directory) = histories {
        for cell in &cells {
            keep(cell, &directory)?;
        }
    }
    print!("{}", matrix::table(&cells));
    println!("seed {seed}: {tally}");
    let sound = tally.is_sound();
    Ok(ExitCode::from(if sound { 0 } else { VIOLATED }))
}

async fn run(command: Command) -> Result<ExitCode, CommandError> {
    match command {
        Command::Platform { listen } => {
            let platform = Platform::bind(listen).await?;
            announce(platform.addresses())?;
            ended().await?;
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
            ended().await?;
        }
        Command::Service { listen, name } => {
            let service = PlainService::bind(listen, name).await?;
            announce(service.addresses())?;
            ended().await?;
        }
        Command::Passthrough {
            listen,
            to,
            replica,
        } => passthrough::run(listen, to, replica, announce_one).await?,
        Command::Load {
            to,
            callers,
            requests,
            tokens,
            key,
            model,
            pid,
        } => {
            let plan = Plan {
                to,
                callers,
                requests,
                tokens,
                key,
                model,
                pid,
            };
            let report = load::run(plan).await?;
            println!(
                "{}",
                serde_json::to_string(&report).map_err(io::Error::other)?
            );
        }
        Command::Matrix {
            gateway,
            seed,
            subset,
            only,
            histories,
        } => {
            let mut cells = if subset {
                matrix::SUBSET.to_vec()
            } else {
                matrix::all()
            };
            cells.retain(|(step, fault)| format!("{step:?}/{fault:?}").contains(&only));
            return run_matrix(gateway, seed, cells, histories).await;
        }
        Command::CheckHistory { files } => return check_files(&files),
        Command::Experiment(experiment) => return Ok(experiment.run()),
    }
    Ok(ExitCode::SUCCESS)
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(command().run()).await {
        Ok(code) => code,
        Err(error) => {
            eprintln!("standin: {error}");
            ExitCode::from(FAILED)
        }
    }
}
