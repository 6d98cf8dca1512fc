//! Failures of the program as a whole.

use std::io;

use thiserror::Error;

use crate::declare::DeclarationFault;
use crate::exit_codes::ExitCode;
use crate::ops::FailedCode;
use crate::ops::client::OpsError;
use crate::peer::BindError;
use crate::route::http::OpenError;
use crate::settings::SettingsFault;
use crate::store::StoreError;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum Error {
    /// The settings have faults.
    #[error("{} fault(s) in the settings", .0.len())]
    Settings(Vec<SettingsFault>),
    /// The declaration has faults.
    #[error("{} fault(s) in the declaration", .0.len())]
    Declaration(Vec<DeclarationFault>),
    /// A file cannot be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// Why.
        source: io::Error,
    },
    /// A file or an answer is not the JSON expected.
    #[error("cannot parse JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// An address cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Bind {
        /// The address.
        address: String,
        /// Why.
        source: io::Error,
    },
    /// The platform cannot be reached.
    #[error("{0}")]
    Store(#[from] StoreError),
    /// A VM refused a command or cannot be reached.
    #[error("{0}")]
    Ops(#[from] OpsError),
    /// The runtime cannot be started.
    #[error("the runtime cannot be started: {0}")]
    Runtime(io::Error),
    /// The HTTP server failed.
    #[error("the server failed: {0}")]
    Serve(volo_http::error::BoxError),
    /// The links to other VMs cannot be started.
    #[error("{0}")]
    Peers(#[from] BindError),
    /// The client of upstreams cannot be built.
    #[error("{0}")]
    Upstreams(#[from] OpenError),
    /// A metric cannot be registered.
    #[error("a metric cannot be registered: {0}")]
    Metrics(#[from] prometheus::Error),
}

impl Error {
    /// The exit code that tells this failure to scripts.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Settings(_) => ExitCode::Settings,
            Self::Declaration(_) | Self::Json(_) => ExitCode::Declaration,
            Self::Read { .. } => ExitCode::Input,
            Self::Ops(OpsError::Refused(failed)) => refused(failed.code),
            Self::Ops(_) | Self::Store(_) => ExitCode::Unavailable,
            Self::Bind { .. }
            | Self::Runtime(_)
            | Self::Serve(_)
            | Self::Peers(_)
            | Self::Upstreams(_)
            | Self::Metrics(_) => ExitCode::General,
        }
    }
}

fn refused(code: FailedCode) -> ExitCode {
    match code {
        FailedCode::Declaration | FailedCode::Malformed | FailedCode::NoKey => {
            ExitCode::Declaration
        }
        FailedCode::Conflict => ExitCode::Conflict,
        FailedCode::Unsettled | FailedCode::Unavailable => ExitCode::Unavailable,
    }
}
