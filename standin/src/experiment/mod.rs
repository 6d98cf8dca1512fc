//! Experiments: short loops that measure the decisions, and what the product's parts cost.

pub mod routes;
pub mod transport;

use thiserror::Error;

/// Why an experiment failed.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// A socket or a file failed.
    #[error("input or output failed")]
    Io(#[from] std::io::Error),
    /// A line cannot be written.
    #[error("a line cannot be written")]
    Json(#[from] serde_json::Error),
    /// A fixed name is not an identifier.
    #[error("a name is not an identifier")]
    Id(#[from] basilgw::ids::IdError),
    /// The transport cannot be opened.
    #[error("the transport cannot be opened")]
    Open(#[from] basilgw::route::http::OpenError),
    /// The bare client failed.
    #[error("the client failed")]
    Client(#[from] volo_http::error::ClientError),
    /// The dispatcher refused.
    #[error("the request was refused")]
    Refused(#[from] basilgw::outcome::Refusal),
    /// A stream was cut.
    #[error("a stream was cut")]
    Cut,
    /// A task ended early.
    #[error("a task ended early")]
    Task(#[from] tokio::task::JoinError),
    /// A histogram cannot be made.
    #[error("a histogram cannot be made")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// The processor time cannot be read.
    #[error("the processor time cannot be read")]
    Cpu,
}
