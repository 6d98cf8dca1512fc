//! A second attempt beside one that is silent.
//!
//! An upstream that is silent may be about to answer. A request that may run more than once is
//! therefore sent to another one while the first still works on it, and the caller gets the first
//! answer that is complete. There is one second attempt at most; it is paid from the retry budget,
//! and its connection is charged to the caller.
//!
//! Two engines must not go on with one stream. The first is kept only until the second has taken
//! the request, and for a short time at most; an engine that refuses does so at once.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use http::Response;
use slog::info;

use crate::outcome::Refusal;

use super::attempt::{Attempts, Origin, Sent};
use super::attempt_end::AttemptEnd;
use super::caller_limit::Charge;
use super::caller_limit::ledger::REQUEST_BYTES;
use super::configuration::RouteKind;
use super::exchange::{ResponseError, SendOutcome};
use super::head_wait::{HeadWait, LOOK_AGAIN};
use super::quarantine::gate::Clearance;
use super::relay::{AdmittedRequest, CAPACITY_RETRY};
use super::response::CallerBody;
use super::retry_metrics::RetryCause;
use super::upstream_limit::gate::Permit;

/// Longest time for which a silent engine is kept while the next one may refuse a stream.
pub(super) const REFUSAL_TIME: Duration = Duration::from_millis(150);
/// Time back from now in which the lateness of this process counts.
const LATELY: Duration = Duration::from_secs(1);

/// What a second attempt needs.
#[derive(Debug)]
struct Second {
    permit: Permit,
    clearance: Clearance,
    /// Memory for its connection.
    _charge: Charge,
}

impl AdmittedRequest {
    /// Makes one attempt, and a second one beside it if its upstream is silent. `None` means that
    /// another upstream may be tried.
    pub(super) async fn attempt_hedged(
        self: &Arc<Self>,
        permit: Permit,
        clearance: Clearance,
        attempts: &mut Attempts,
    ) -> Result<Option<Response<CallerBody>>, Refusal> {
        let first_wait = self.head_wait(permit.upstream(), attempts);
        let mut first = Box::pin(self.send_once(permit, clearance, &first_wait));
        let second = tokio::select! {
            biased;
            sent = first.as_mut() => return self.conclude(sent, attempts).await,
            second = self.second_place(&first_wait) => second,
        };
        let beside = &second.permit.upstream().registration.id;
        info!(self.gateway.log, "request_hedged"; "request" => %self.request.head.id,
            "upstream" => %first_wait.upstream.registration.id, "beside" => %beside);
        attempts.tried.insert(beside.clone());
        attempts.pending += 1;
        let Second {
            permit,
            clearance,
            _charge,
        } = second;
        let second_wait = self.head_wait(permit.upstream(), attempts);
        let mut second = Box::pin(self.send_once(permit, clearance, &second_wait));
        if self.route.kind != RouteKind::Idempotent || self.request.head.target.is_some() {
            return self.hand_over(first, &first_wait, second, attempts).await;
        }
        let (sent, is_first) = tokio::select! {
            biased;
            sent = first.as_mut() => (sent, true),
            sent = second.as_mut() => (sent, false),
        };
        let earlier = self.conclude(sent, attempts).await;
        if let Ok(Some(response)) = earlier {
            let other = if is_first { &second_wait } else { &first_wait };
            self.on_overtaken(other, is_first);
            return Ok(Some(response));
        }
        let sent = if is_first { second.await } else { first.await };
        match (earlier, self.conclude(sent, attempts).await) {
            (_, Ok(Some(response))) => Ok(Some(response)),
            // The later attempt may have run.
            (Err(refusal), _) => attempts.give_up(refusal.reason, CAPACITY_RETRY).map(Some),
            (Ok(_), later) => later,
        }
    }

    /// Leaves the first upstream, unless the second one at once says that it does not run the
    /// request, breaks the connection or answers with status 5xx.
    async fn hand_over<F, G>(
        self: &Arc<Self>,
        first: Pin<Box<F>>,
        first_wait: &HeadWait<'_>,
        mut second: Pin<Box<G>>,
        attempts: &mut Attempts,
    ) -> Result<Option<Response<CallerBody>>, Refusal>
    where
        F: Future<Output = Sent>,
        G: Future<Output = Sent>,
    {
        let early = if self.may_close_late() {
            None
        } else {
            let early = tokio::time::timeout(REFUSAL_TIME, second.as_mut()).await;
            early.ok()
        };
        let early = match early {
            Some(sent) if self.stays(&sent.outcome, attempts) => {
                return self.stay(first, sent, attempts).await;
            }
            early => early,
        };
        drop(first);
        first_wait.watch.end(AttemptEnd::Silence);
        let left = Sent {
            origin: Origin {
                upstream: first_wait.upstream.clone(),
                sent: first_wait.sent,
            },
            outcome: SendOutcome::Unknown(ResponseError::Silent),
        };
        let _left = self.conclude(left, attempts).await;
        attempts.on_left(&first_wait.upstream);
        let sent = match early {
            Some(sent) => sent,
            None => second.await,
        };
        self.conclude(sent, attempts).await
    }

    /// Whether a request stays at its silent upstream, where the second one has this outcome at once.
    /// Behind an error a third one may serve it, from where it can still go back.
    fn stays(&self, outcome: &SendOutcome, attempts: &Attempts) -> bool {
        let elsewhere = || {
            attempts.sent + 2 < self.route.attempts
                && self.has_retry()
                && self.has_alternative(&attempts.tried)
        };
        outcome.has_stopped() || outcome.has_failed() && !elsewhere()
    }

    /// Waits on for the first attempt, as the second one has failed or was declined.
    async fn stay<F>(
        self: &Arc<Self>,
        mut first: Pin<Box<F>>,
        second: Sent,
        attempts: &mut Attempts,
    ) -> Result<Option<Response<CallerBody>>, Refusal>
    where
        F: Future<Output = Sent>,
    {
        // The first attempt is not over, so neither is the request. An error response of the second
        // one may take time to read.
        let early = tokio::select! {
            biased;
            _failed = self.conclude(second, attempts) => None,
            sent = first.as_mut() => Some(sent),
        };
        let sent = match early {
            Some(sent) => sent,
            None => first.await,
        };
        self.conclude(sent, attempts).await
    }

    /// Whether this process may run too late to leave an upstream in time.
    pub(super) fn may_close_late(&self) -> bool {
        let now = self.gateway.clock.now();
        let lately = now.checked_sub(LATELY).unwrap_or(now);
        self.gateway.lateness().stood_still(lately, now) >= REFUSAL_TIME
    }

    /// Records that an attempt ends because the other one was answered first.
    fn on_overtaken(&self, wait: &HeadWait<'_>, by_first: bool) {
        let upstream = &wait.upstream;
        wait.watch.end(AttemptEnd::Overtaken);
        info!(self.gateway.log, "attempt_overtaken"; "request" => %self.request.head.id,
            "upstream" => %upstream.registration.id, "by_first" => by_first);
        if !by_first {
            upstream.health.on_failure(self.gateway.clock.now());
        }
    }

    /// Waits until the upstream has been silent for long, another one takes the request, and the
    /// retry budget has paid for it.
    async fn second_place(&self, wait: &HeadWait<'_>) -> Second {
        loop {
            let possible =
                || self.has_alternative(&wait.tried) && self.has_retry() && !self.keeps_silent();
            match wait.decide(possible) {
                Ok(look) => tokio::time::sleep(look).await,
                // The first attempt ends by itself, unless the request has got more time meanwhile.
                Err(ResponseError::Deadline) => tokio::time::sleep(LOOK_AGAIN).await,
                Err(_silent) => match self.reserve_second(wait).await {
                    Some(second) => return second,
                    None => tokio::time::sleep(LOOK_AGAIN).await,
                },
            }
        }
    }

    /// Takes what a second attempt needs; `None` if that is not possible.
    async fn reserve_second(&self, wait: &HeadWait<'_>) -> Option<Second> {
        let gateway = &self.gateway;
        let permit = self.reserve_upstream(&wait.tried).await.ok()?;
        if self.account.is_some() && !gateway.keys_trusted() {
            return None;
        }
        let clearance = self.clear_to_send().ok()?;
        let charge = self.connection.slot.charge_response(REQUEST_BYTES)?;
        let paid = gateway.try_retry(&self.service, RetryCause::Silent);
        paid.then_some(Second {
            permit,
            clearance,
            _charge: charge,
        })
    }
}
