//! Resumes a stream at another engine.
//!
//! An engine that is silent may be sound, so it is kept until the next one has taken the request,
//! or for a short time at most: two engines must not go on with one request. An engine that refuses
//! does so at once, and the stream then stays where it is.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};

use super::{Next, Stream};
use crate::gateway::attempt::Origin;
use crate::gateway::attempt_end::AttemptEnd;
use crate::gateway::engine_pace::Standing;
use crate::gateway::engine_run::EngineRun;
use crate::gateway::exchange::{ResponseError, SendOutcome};
use crate::gateway::hedge::REFUSAL_TIME;
use crate::gateway::quarantine::crashes::Written;
use crate::gateway::quarantine::gate::Clearance;
use crate::gateway::relay::ResponseAborted;
use crate::gateway::retry_metrics::RetryCause;
use crate::gateway::upstream_limit::gate::{NoPermit, Permit};

/// Time between two looks at a retry budget that is used up.
const RETRY_LOOK: Duration = Duration::from_millis(50);

/// Outcome of resuming a stream at one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Attempted {
    /// The engine's response was taken over: as the stream, or in its place ([`Next::Replaced`]).
    Resumed,
    /// It does not: the engine refused, failed or broke the connection at once, and the former one
    /// is kept.
    Stayed,
    /// It does not.
    Failed,
    /// The engine broke the connection.
    Crashed,
}

/// Leave to send a request to another engine.
#[derive(Debug)]
pub(super) struct Place {
    permit: Permit,
    clearance: Clearance,
}

/// Why a stream that may go on at another engine doesn't. Its debug form is the field `missing` of the
/// line `stream_cut`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NoPlace {
    /// No engine takes it.
    Engine(NoPermit),
    /// Its key may have been withdrawn.
    Untrusted,
    /// Its request is held back, as it may crash engines.
    HeldBack,
    /// The retry budget is used up.
    Budget,
}

/// Whether the former engine of a stream may still go on with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Former {
    /// It is silent, and may be sound.
    Silent,
    /// It has ended, or must not go on.
    Lost,
}

impl Stream {
    /// Whether another engine could resume the stream now.
    pub(super) fn can_resume_now(&self) -> bool {
        let mut tried = self.attempts.tried.clone();
        tried.insert(self.origin.upstream.registration.id.clone());
        self.admitted.has_alternative(&tried)
    }

    /// Moves the stream from a silent engine to `place`, unless the engine there refuses it or
    /// fails at once.
    pub(super) async fn leave(&mut self, place: Place) -> Result<(), ResponseAborted> {
        match self.go_on_at(place, Former::Silent).await {
            Attempted::Resumed => Ok(()),
            Attempted::Stayed => {
                self.progress.tolerate_silence(self.now());
                Ok(())
            }
            Attempted::Crashed if self.admitted.stops_retries() => self.cut(true, None),
            Attempted::Failed | Attempted::Crashed => self.go_on(ResponseError::Silent).await,
        }
    }

    /// Resumes the stream at another engine after the last complete event.
    pub(super) async fn resume(&mut self, error: ResponseError) -> Result<(), ResponseAborted> {
        let suspect = error == ResponseError::Disconnected && self.is_suspect();
        self.give_up(error);
        if suspect {
            return self.cut(true, None);
        }
        self.go_on(error).await
    }

    /// Sends the request to other engines until one goes on with the stream, after `error`.
    async fn go_on(&mut self, error: ResponseError) -> Result<(), ResponseAborted> {
        while self.may_go_on() && !self.admitted.time_left().is_zero() {
            if error == ResponseError::Silent || self.attempts.returnable().is_some() {
                self.wait_for_retry().await;
            }
            self.admitted.await_vm_count().await;
            let next = self.admitted.reserve_next(&self.attempts).await;
            let place = match self.pay_for(next) {
                Ok(place) => place,
                Err(missing) => return self.cut(false, Some(missing)),
            };
            match self.go_on_at(place, Former::Lost).await {
                Attempted::Resumed => return Ok(()),
                Attempted::Crashed if self.admitted.stops_retries() => break,
                Attempted::Crashed | Attempted::Failed | Attempted::Stayed => {}
            }
        }
        self.cut(false, None)
    }

    /// Ends the stream before its end, so that the caller does not take it for complete; `missing` is
    /// why it doesn't go on at another engine, where one was looked for.
    fn cut(&self, suspect: bool, missing: Option<NoPlace>) -> Result<(), ResponseAborted> {
        let gateway = &self.admitted.gateway;
        warn!(gateway.log, "stream_cut"; "request" => %self.admitted.request.head.id,
            "why" => self.lost.map(|lost| format!("{lost}")), "event" => self.events.last_id(),
            "resumable" => self.resumable(), "certain" => self.events.is_certain(),
            "suspect" => suspect,
            "sent" => self.attempts.sent, "missing" => missing.map(|missing| format!("{missing:?}")),
            "left_ms" => self.admitted.time_left().as_millis() as u64);
        Err(ResponseAborted)
    }

    /// Closes the connection to the engine, which must not go on beside another one.
    fn give_up(&mut self, error: ResponseError) {
        self.on_lost(error);
        self.response.close();
        self.events.on_resumed();
        // The caller gets nothing of an engine whose head it does not get.
        self.first.clear();
    }

    /// Closes the connection to a silent engine, which may be sound.
    fn leave_sound(&mut self) {
        self.attempts.on_left(&self.origin.upstream);
        self.give_up(ResponseError::Silent);
    }

    /// Records that the engine is given up.
    fn on_lost(&mut self, error: ResponseError) {
        self.response.end_attempt(error.into());
        self.lost = Some(error);
        let now = self.now();
        let standing = self.standing(now);
        let admitted = &self.admitted;
        let parts = admitted.request.head.shared_parts();
        warn!(admitted.gateway.log, "stream_lost"; "request" => %admitted.request.head.id,
            "why" => %error, "upstream" => %self.origin.upstream.registration.id,
            "event" => self.events.last_id(), "standing" => ?standing,
            "left_ms" => admitted.time_left().as_millis() as u64, "parts" => %parts,
            "digest" => %admitted.digest, "answered_ms" => self.run.age(now).as_millis() as u64,
            "written" => ?self.run.written());
        if error == ResponseError::Disconnected {
            self.on_disconnected();
        }
        // A full engine that is slow has not failed.
        let silent = matches!(
            error,
            ResponseError::Silent | ResponseError::Deadline | ResponseError::ToldTimeOver
        );
        if !silent || standing != Standing::Queued {
            self.origin.upstream.health.on_failure(now);
        }
    }

    /// Waits until the retry budget allows a retry, or the caller no longer waits for an event. An
    /// engine that was silent may have been sound, so the stream is not cut for lack of budget.
    async fn wait_for_retry(&self) {
        while !self.admitted.has_retry()
            && self.progress.is_awaited(self.now())
            && !self.admitted.time_left().is_zero()
        {
            tokio::time::sleep(RETRY_LOOK).await;
        }
    }

    /// Takes what it needs to leave a silent engine for another one; `None` if that is not possible.
    pub(super) async fn reserve(&self) -> Option<Place> {
        self.admitted.await_vm_count().await;
        let tried = &self.attempts.tried;
        let next = self.admitted.reserve_upstream(tried).await;
        self.pay_for(next).ok()
    }

    /// Takes what it needs beside the permit to send the request to another engine.
    fn pay_for(&self, next: Result<Permit, NoPermit>) -> Result<Place, NoPlace> {
        let permit = next.map_err(NoPlace::Engine)?;
        let admitted = &self.admitted;
        let gateway = &admitted.gateway;
        let trusted = admitted.account.is_none() || gateway.keys_trusted();
        if !trusted {
            return Err(NoPlace::Untrusted);
        }
        let held = admitted.clear_to_send();
        let clearance = held.map_err(|_delay| NoPlace::HeldBack)?;
        let paid = gateway.try_retry(&admitted.service, RetryCause::Resumption);
        let place = Place { permit, clearance };
        paid.then_some(place).ok_or(NoPlace::Budget)
    }

    /// Sends the request to another engine.
    async fn go_on_at(&mut self, place: Place, former: Former) -> Attempted {
        let admitted = Arc::clone(&self.admitted);
        let gateway = &admitted.gateway;
        let Place { permit, clearance } = place;
        let upstream = permit.upstream().clone();
        self.attempts.on_sent(&upstream);
        let after = self.events.last_id();
        let wait = admitted.head_wait(&upstream, &self.attempts);
        let sending = admitted.send(permit, clearance, after, &wait);
        let (outcome, kept) = self.await_outcome(sending, former).await;
        if matches!(outcome, SendOutcome::NotSent(_)) {
            gateway.retry_metrics.unsent.inc();
        } else {
            self.attempts.sent += 1;
        }
        match outcome {
            SendOutcome::Responded(response) if admitted.is_stream(&response) => {
                info!(gateway.log, "stream_resumed"; "request" => %admitted.request.head.id,
                    "upstream" => %upstream.registration.id, "event" => after);
                admitted.release_body(&self.attempts);
                let now = gateway.clock.now();
                self.response = *response;
                self.run = EngineRun::open(now);
                self.origin = Origin {
                    upstream,
                    sent: wait.sent,
                };
                self.progress.on_resumed(now);
                return Attempted::Resumed;
            }
            SendOutcome::NotRun(reason) => admitted.on_declined(&upstream, reason),
            SendOutcome::Unknown(ResponseError::Disconnected) => {
                let parts = self.unproven_parts();
                let engine = &upstream.registration;
                admitted.on_engine_crash(engine, parts, Written::NoHead, wait.sent);
                upstream.health.on_failure(gateway.clock.now());
                if !kept {
                    return Attempted::Crashed;
                }
            }
            // No other engine can go on, and the caller has no head yet.
            SendOutcome::Responded(response) if !(kept || self.begun || self.may_go_on()) => {
                self.response = *response;
                self.origin = Origin {
                    upstream,
                    sent: wait.sent,
                };
                self.next = Next::Replaced;
                return Attempted::Resumed;
            }
            SendOutcome::Responded(response) => {
                response.end_attempt(AttemptEnd::Answered);
                upstream.health.on_failure(gateway.clock.now());
            }
            SendOutcome::NotSent(_) if admitted.time_left().is_zero() => {}
            SendOutcome::NotSent(_) | SendOutcome::Unknown(_) => {
                upstream.health.on_failure(gateway.clock.now());
            }
        }
        if kept {
            Attempted::Stayed
        } else {
            Attempted::Failed
        }
    }

    /// Waits for the outcome of sending the request to another engine; returns also whether the
    /// former one is kept, since the other one does not work on the request.
    async fn await_outcome<F>(&mut self, sending: F, former: Former) -> (SendOutcome, bool)
    where
        F: Future<Output = SendOutcome>,
    {
        if former == Former::Lost {
            return (sending.await, false);
        }
        if self.admitted.may_close_late() {
            self.leave_sound();
            return (sending.await, false);
        }
        let mut sending = pin!(sending);
        let early = tokio::time::timeout(REFUSAL_TIME, sending.as_mut()).await;
        match early {
            Ok(outcome) if outcome.is_over() => (outcome, true),
            Ok(outcome) => {
                self.leave_sound();
                (outcome, false)
            }
            Err(_late) => {
                self.leave_sound();
                (sending.await, false)
            }
        }
    }
}
