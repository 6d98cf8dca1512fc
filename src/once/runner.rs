//! Dispatches a request that must run at most once, and records its outcome.
//!
//! Each request runs in its own task, so that its outcome is recorded even if the caller
//! disconnects. The response is read completely and recorded before the caller gets it, so that a
//! repeat gets the same response as the first caller.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::BytesMut;
use futures_util::StreamExt;
use tokio::sync::Notify;

use super::{AttemptOutcome, BeginResult, OnceKey, OnceLog, RecordedResponse};
use crate::outcome::{Ran, Reason, Refusal};
use crate::route::UpstreamResponse;
use crate::route::dispatch::{Dispatcher, Job};
use crate::store::Instance;

const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// The response to a request that must run at most once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunOutcome {
    /// Response of the upstream, or the recorded one.
    pub response: RecordedResponse,
    /// Whether the response comes from the record of an earlier request with the same key.
    pub repeated: bool,
}

/// Runs each request at most once.
#[derive(Clone, Debug)]
pub struct OnceRunner {
    log: Arc<dyn OnceLog>,
    dispatcher: Dispatcher,
    running: Arc<RunningCount>,
}

/// Counts the requests that are running.
#[derive(Debug, Default)]
struct RunningCount {
    count: AtomicUsize,
    changed: Notify,
}

impl OnceRunner {
    /// Creates a runner that records requests in `log` and sends them with `dispatcher`.
    pub fn open(log: Arc<dyn OnceLog>, dispatcher: Dispatcher) -> Self {
        Self {
            log,
            dispatcher,
            running: Arc::default(),
        }
    }

    /// Runs a request at one of the given instances, or returns the recorded response of an earlier
    /// run. The request continues in the background if the returned future is dropped.
    pub async fn run(
        &self,
        instances: Vec<Instance>,
        job: Job,
        key: OnceKey,
    ) -> Result<RunOutcome, Refusal> {
        let guard = RunningGuard::open(Arc::clone(&self.running));
        let runner = self.clone();
        let task = tokio::spawn(async move {
            let result = runner.run_in_task(&instances, job, key).await;
            drop(guard);
            result
        });
        task.await
            .unwrap_or(Err(Refusal::unknown(Reason::Internal)))
    }

    /// Waits until no request is running.
    pub async fn wait_drained(&self) {
        loop {
            let changed = self.running.changed.notified();
            if self.running.count.load(Ordering::Acquire) == 0 {
                return;
            }
            changed.await;
        }
    }

    async fn run_in_task(
        &self,
        instances: &[Instance],
        mut job: Job,
        key: OnceKey,
    ) -> Result<RunOutcome, Refusal> {
        let attempt = match self.log.begin(key).await? {
            BeginResult::Run(attempt) => attempt,
            BeginResult::Repeat(response) => {
                return Ok(RunOutcome {
                    response,
                    repeated: true,
                });
            }
        };
        job.idempotent = false;
        let result = match self.dispatcher.dispatch(instances, &job).await {
            Ok(dispatched) => read_response(dispatched.response).await,
            Err(refusal) => Err(refusal),
        };
        self.log.finish(attempt, attempt_outcome(&result)).await;
        result.map(|response| RunOutcome {
            response,
            repeated: false,
        })
    }
}

async fn read_response(mut response: UpstreamResponse) -> Result<RecordedResponse, Refusal> {
    let mut body = BytesMut::new();
    while let Some(chunk) = response.body.next().await {
        body.extend_from_slice(&chunk?);
        if body.len() > MAX_RESPONSE_BYTES {
            return Err(Refusal::unknown(Reason::Capacity));
        }
    }
    let content_type = response.headers.get(http::header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    Ok(RecordedResponse {
        status: response.status.as_u16(),
        content_type: content_type.unwrap_or_default().into(),
        body: body.freeze(),
    })
}

fn attempt_outcome(result: &Result<RecordedResponse, Refusal>) -> AttemptOutcome {
    match result {
        Ok(response) => AttemptOutcome::Ran(response.clone()),
        Err(refusal) if refusal.ran == Ran::No => AttemptOutcome::NotRun,
        Err(_) => AttemptOutcome::Unknown,
    }
}

/// Counts one request as running until it is dropped.
struct RunningGuard(Arc<RunningCount>);

impl RunningGuard {
    fn open(running: Arc<RunningCount>) -> Self {
        running.count.fetch_add(1, Ordering::AcqRel);
        Self(running)
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.count.fetch_sub(1, Ordering::AcqRel);
        self.0.changed.notify_waiters();
    }
}
