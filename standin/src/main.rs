//! Stand-ins.

mod experiment;

use std::process::ExitCode;

use bpaf::{Parser, construct, long};

/// What to run.
enum Command {
    Routes { seed: u64 },
}

fn command() -> impl Parser<Command> {
    let seed = long("seed").help("Seed of the draws").argument("N");
    let routes = construct!(Command::Routes { seed });
    let routes = routes.to_options().command("routes");
    routes.to_options().command("experiment")
}

fn main() -> ExitCode {
    match command().to_options().run() {
        Command::Routes { seed } => experiment::routes::run(seed, &mut std::io::stdout().lock()),
    }
}
