//! Command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

use crate::ids::{ChangeId, KeyId, Revision, Text};

/// basilgw: a serving gateway for rarely used models
///
/// Every VM runs `basilgw run`. Operators use the other commands, from anywhere that reaches a
/// VM's operators' listener; `check` and `mint-key` work offline.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, generate(options))]
pub enum Command {
    /// Serves callers until it is told to stop (SIGTERM, SIGINT or SIGHUP), then drains
    #[bpaf(command)]
    Run {
        /// Settings of this VM, an INI file; docs/SETTINGS.md documents every key
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// Checks settings or a declaration offline and names every fault
    #[bpaf(command)]
    Check {
        /// Settings to check, an INI file
        #[bpaf(argument("FILE"), optional)]
        settings: Option<PathBuf>,
        /// Declaration to check, a JSON file
        #[bpaf(argument("FILE"), optional)]
        declaration: Option<PathBuf>,
    },
    /// Submits a declaration; prints the revision once it is accepted
    #[bpaf(command)]
    Apply {
        /// Operators' listener of any VM
        #[bpaf(external(vm))]
        vm: SocketAddr,
        /// The whole new declaration, a JSON file
        #[bpaf(argument("FILE"))]
        declaration: PathBuf,
        /// Who makes the change
        #[bpaf(external(actor))]
        actor: Text,
        /// Revision that the declaration was made on; a conflict is shown if another came first.
        /// Without it the declaration replaces whatever is in force
        #[bpaf(argument("REVISION"), optional)]
        base: Option<Revision>,
        /// Name of the change
        #[bpaf(external(change))]
        change: Option<ChangeId>,
    },
    /// Prints what a VM says of itself
    #[bpaf(command)]
    Status {
        /// Operators' listener of any VM
        #[bpaf(external(vm))]
        vm: SocketAddr,
    },
    /// Prints accepted changes, newest first, a JSON line each
    #[bpaf(command)]
    Audit {
        /// Operators' listener of any VM
        #[bpaf(external(vm))]
        vm: SocketAddr,
        /// Most entries printed
        #[bpaf(argument("COUNT"), fallback(100), display_fallback)]
        limit: usize,
    },
    /// Withdraws a key; its running streams end too
    #[bpaf(command("withdraw-key"))]
    WithdrawKey {
        /// Operators' listener of any VM
        #[bpaf(external(vm))]
        vm: SocketAddr,
        /// Public name of the key in the declaration
        #[bpaf(argument("KEY"))]
        key: KeyId,
        /// Who makes the change
        #[bpaf(external(actor))]
        actor: Text,
        /// Name of the change
        #[bpaf(external(change))]
        change: Option<ChangeId>,
    },
    /// Makes a new key: prints the key, once, and the hash to declare
    #[bpaf(command("mint-key"))]
    MintKey,
}

fn vm() -> impl bpaf::Parser<SocketAddr> {
    bpaf::long("vm")
        .help("Operators' listener of any VM, by IP number and port")
        .argument::<SocketAddr>("ADDRESS")
}

fn actor() -> impl bpaf::Parser<Text> {
    bpaf::long("actor")
        .help("Who makes the change, for the audit trail")
        .argument::<Text>("NAME")
}

fn change() -> impl bpaf::Parser<Option<ChangeId>> {
    use bpaf::Parser;
    bpaf::long("change")
        .help("Name of the change; the same name is accepted once, so that a change whose answer was lost may be submitted again")
        .argument::<ChangeId>("ID")
        .optional()
}

/// Parses the arguments of this process; prints help or a fault and exits where told to.
pub fn parse() -> Command {
    options().run()
}
