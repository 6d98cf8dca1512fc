//! Requests that end without a complete answer at their caller's connection. Each is counted by its
//! cause and named in the log, with how far it came and the age of the configuration in force.

use std::sync::Arc;
use std::time::Duration;

use slog::warn;

use crate::ids::RequestId;

use super::caller_limit::metrics::CloseReason;
use super::request_time::RequestTime;
use super::state::Gateway;

/// Why a request got no complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnansweredCause {
    /// Its connection gave way to another.
    GaveWay,
    /// Its head took too long.
    HeadTimeout,
    /// The caller took nothing of the response for too long.
    Unread,
    /// The caller closed the connection.
    CallerLeft,
    /// The response was aborted.
    Aborted,
    /// The response was aborted as the request's time was up.
    Deadline,
    /// The response was aborted because this VM stops.
    Stop,
}

/// How far a request came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnansweredStage {
    /// Its head was not complete.
    Head,
    /// Its body was not read to its end.
    Body,
    /// It waited or ran.
    Running,
    /// Its response had begun.
    Response,
}

/// A request without a complete answer.
#[derive(Clone, Debug)]
pub struct UnansweredRequest {
    /// How far it came.
    pub stage: UnansweredStage,
    /// Its id; absent until its head is decoded.
    pub id: Option<RequestId>,
    /// Time since its head was complete; absent before.
    pub spent: Option<Duration>,
    /// Its time, with the route that it was admitted under; absent before.
    pub time: Option<Arc<RequestTime>>,
}

impl UnansweredCause {
    /// Name in metrics and the log.
    pub fn label(self) -> &'static str {
        match self {
            Self::GaveWay => "gave_way",
            Self::HeadTimeout => "head_timeout",
            Self::Unread => "unread",
            Self::CallerLeft => "caller_left",
            Self::Aborted => "aborted",
            Self::Deadline => "deadline",
            Self::Stop => "stop",
        }
    }

    /// Whether callers can cause such ends as often as they like, so that their lines in the log are
    /// limited.
    fn caused_by_caller(self) -> bool {
        !matches!(self, Self::Aborted | Self::Deadline | Self::Stop)
    }
}

impl From<CloseReason> for UnansweredCause {
    fn from(reason: CloseReason) -> Self {
        match reason {
            CloseReason::GaveWay => Self::GaveWay,
            CloseReason::HeadTimeout => Self::HeadTimeout,
            CloseReason::Unread => Self::Unread,
        }
    }
}

impl UnansweredStage {
    fn label(self) -> &'static str {
        match self {
            Self::Head => "head",
            Self::Body => "body",
            Self::Running => "running",
            Self::Response => "response",
        }
    }
}

impl Gateway {
    /// Counts and logs a request that got no complete answer.
    pub fn on_unanswered(&self, request: &UnansweredRequest, cause: UnansweredCause) {
        self.caller_limits.metrics.unanswered(cause);
        if cause.caused_by_caller() && !self.may_log() {
            return;
        }
        let millis = |time: Duration| time.as_millis() as u64;
        let time = request.time.as_ref();
        let route = time.map(|time| &time.route);
        let configuration = self.configuration.load();
        let current = configuration.as_ref().zip(time);
        let current = current.and_then(|(found, time)| found.route_of(&time.key));
        let left = time.map(|time| time.left());
        warn!(self.log, "request_unanswered"; "why" => cause.label(),
            "stage" => request.stage.label(),
            "request" => request.id.as_ref().map(ToString::to_string),
            "spent_ms" => request.spent.map(millis), "left_ms" => left.map(millis),
            "kind" => route.map(|route| route.kind.label()),
            "kind_now" => current.map(|route| route.kind.label()),
            "timeout_ms" => route.map(|route| millis(route.timeout)),
            "timeout_now_ms" => current.map(|route| millis(route.timeout)),
            "configuration_ms" => self.configuration_age().map(millis));
    }
}
