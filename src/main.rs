//! The basilgw binary; only wires.

use std::process::ExitCode as ProcessCode;

use basilgw::cli::{self, Command};
use basilgw::commands::{self, Submission};
use basilgw::config::Config;
use basilgw::error::Error;
use basilgw::exit_codes::ExitCode;
use basilgw::{run, settings};
use tokio::runtime::Builder;

fn main() -> ProcessCode {
    match execute(cli::parse()) {
        Ok(()) => ExitCode::Success.into(),
        Err(e) => {
            report(&e);
            e.exit_code().into()
        }
    }
}

fn execute(command: Command) -> Result<(), Error> {
    if let Command::Run { settings } = &command {
        let settings = settings::read(settings).map_err(Error::Settings)?;
        let config = Config::from_settings(settings).map_err(Error::Settings)?;
        let threads = config.threads;
        return block_on(threads, run::run(config));
    }
    block_on(1, operate(command))
}

async fn operate(command: Command) -> Result<(), Error> {
    match command {
        // Handled before the runtime of the commands is started.
        Command::Run { .. } => Ok(()),
        Command::Check {
            settings,
            declaration,
        } => commands::check(settings.as_deref(), declaration.as_deref()),
        Command::Apply {
            vm,
            declaration,
            actor,
            base,
            change,
        } => {
            let submission = Submission {
                file: &declaration,
                actor,
                base,
                change,
            };
            let revision = commands::apply(vm, submission).await?;
            println!("accepted as revision {revision}");
            Ok(())
        }
        Command::Status { vm } => commands::status(vm).await,
        Command::Audit { vm, limit } => commands::audit(vm, limit).await,
        Command::WithdrawKey {
            vm,
            key,
            actor,
            change,
        } => {
            let revision = commands::withdraw(vm, key, actor, change).await?;
            println!("withdrawn in revision {revision}");
            Ok(())
        }
        Command::MintKey => {
            commands::mint_key();
            Ok(())
        }
    }
}

fn block_on<F>(threads: usize, work: F) -> Result<(), Error>
where
    F: Future<Output = Result<(), Error>>,
{
    let mut builder = Builder::new_multi_thread();
    if threads > 0 {
        builder.worker_threads(threads);
    }
    let runtime = builder.enable_all().build().map_err(Error::Runtime)?;
    runtime.block_on(work)
}

fn report(error: &Error) {
    eprintln!("basilgw: {error}");
    match error {
        Error::Settings(faults) => faults.iter().for_each(|fault| eprintln!("  {fault}")),
        Error::Declaration(faults) => faults.iter().for_each(|fault| eprintln!("  {fault}")),
        _ => {}
    }
}
