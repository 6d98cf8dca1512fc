//! Stand-ins.

mod experiment;

use std::process::ExitCode;

use bpaf::{Parser, construct, long, pure};

/// What to run.
#[derive(Clone, Debug)]
enum Command {
    Routes { seed: u64 },
    Transport,
}

fn command() -> impl Parser<Command> {
    let seed = long("seed").help("Seed of the draws").argument("N");
    let routes = construct!(Command::Routes { seed });
    let routes = routes.to_options().command("routes");
    let transport = pure(Command::Transport).to_options().command("transport");
    let experiment = construct!([routes, transport]);
    experiment.to_options().command("experiment")
}

fn main() -> ExitCode {
    let mut out = std::io::stdout().lock();
    match command().to_options().run() {
        Command::Routes { seed } => experiment::routes::run(seed, &mut out),
        Command::Transport => experiment::transport::run(&mut out),
    }
}
