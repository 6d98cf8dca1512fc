//! The time that this VM has left once it has been told to stop.
//!
//! The plan is made once, as the signal arrives. Every wait on the path of a request ends by it, so
//! that a request which was read gets a complete answer before the process exits: a refusal that
//! promises that it did not run, if that is certain, and otherwise a failure. A response that has
//! begun is cut, so that its caller does not take it for complete.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{Response, StatusCode};
use slog::warn;
use tokio::sync::watch;

use crate::clock::Clock;
use crate::outcome::{Ran, Reason, Refusal};

use super::answer_times::AnswerRange;
use super::attempt::Attempts;
use super::configuration::{Route, RouteKind};
use super::relay::AdmittedRequest;
use super::response::CallerBody;
use super::state::Gateway;

/// How long new requests are still accepted; the balancer needs about two seconds to notice that
/// the VM is not ready.
const ACCEPT_TIME: Duration = Duration::from_millis(2800);
/// Part of the grace period that is reserved for the exit of the process.
const EXIT_MARGIN: Duration = Duration::from_millis(300);
/// Time between the end of the last request and the exit of the process; within `EXIT_MARGIN`.
pub const LAST_WRITES: Duration = Duration::from_millis(200);
/// Part of the grace period that is reserved for refusing requests that still wait for a model.
const REFUSE_MARGIN: Duration = Duration::from_millis(1500);
/// Time after which the caller of a refused request may retry; another VM accepts it at once.
const STOP_RETRY: Duration = Duration::from_millis(200);

/// Divisor of the grace period: upstreams at work are not left before its last sixth.
const LAST_PART_DIVISOR: u32 = 6;

/// When this VM ends what, from the signal to stop on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPlan {
    /// When the signal may have arrived.
    pub begun: Instant,
    /// When new requests are no longer accepted.
    pub refuses: Instant,
    /// When requests that still wait for a model are refused.
    pub waits: Instant,
    /// When what still runs is answered or cut; nothing can be answered later.
    pub ends: Instant,
    /// When the last answers are written.
    pub closes: Instant,
}

impl StopPlan {
    /// Plans a stop whose signal is seen at `seen`, where the process must have exited after `grace`
    /// from when it was sent. The process runs up to `late` late, as far as is known.
    pub fn new(seen: Instant, grace: Duration, late: Duration) -> Self {
        let ends = grace.saturating_sub(EXIT_MARGIN);
        let spare = ends.saturating_sub(grace.saturating_sub(grace / LAST_PART_DIVISOR));
        let begun = seen.checked_sub(late.min(spare)).unwrap_or(seen);
        Self {
            begun,
            refuses: (seen + ACCEPT_TIME).min(begun + ends),
            waits: begun + grace.saturating_sub(REFUSE_MARGIN),
            ends: begun + ends,
            closes: begun + grace.min(ends + LAST_WRITES),
        }
    }

    /// Whether a silent upstream is kept, although another one could begin anew. It may answer in
    /// time, which gets less likely for the other one.
    pub fn keeps_silent(&self, now: Instant) -> bool {
        now >= self.refuses
    }

    /// The last moment at which a request that needs this time is first sent to an upstream.
    pub fn latest_send(&self, needed: Duration) -> Instant {
        let latest = self.ends.checked_sub(needed);
        latest.map_or(self.refuses, |at| at.max(self.refuses))
    }
}

/// How late a request comes to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sending {
    /// While new requests are accepted, or once more.
    Accepted,
    /// For the first time, when new requests are no longer accepted.
    Late,
}

/// Time that a request of a route of this kind is taken to need where nothing is known of it. The
/// objective of a stream is for its first event, so it says nothing of the whole.
pub fn unknown_time(kind: RouteKind, goal: Duration) -> Duration {
    match kind {
        RouteKind::Streaming { .. } => Duration::MAX,
        RouteKind::Idempotent | RouteKind::Mutating => goal,
    }
}

/// Least time that a request is taken to need. `known` is what requests of its route lately took;
/// one that comes late needs `unknown` where that is absent.
///
/// One that was accepted is turned away only if none of these were answered in the time left. One
/// that comes late is sent only if all of them were, as another VM can serve it.
pub fn time_needed(sending: Sending, known: Option<AnswerRange>, unknown: Duration) -> Duration {
    match (sending, known) {
        (Sending::Accepted, Some(known)) => known.shortest,
        (Sending::Accepted, None) => Duration::ZERO,
        (Sending::Late, Some(known)) => known.longest,
        (Sending::Late, None) => unknown,
    }
}

/// Whether a request that needs this time is not sent any more: the stop leaves less, and ends
/// before the caller's time does.
pub fn is_too_late(needed: Duration, stop_left: Duration, caller_left: Duration) -> bool {
    stop_left < needed && stop_left < caller_left
}

/// Tells all waits when the stop begins.
#[derive(Debug)]
pub struct StopSignal {
    plan: watch::Sender<Option<StopPlan>>,
    clock: Arc<dyn Clock>,
}

impl StopSignal {
    /// Makes the signal of a VM that has not been told to stop.
    pub fn open(clock: Arc<dyn Clock>) -> Self {
        Self {
            plan: watch::Sender::new(None),
            clock,
        }
    }

    /// Begins the stop; a plan that is in force stays.
    pub fn begin(&self, plan: StopPlan) {
        self.plan.send_if_modified(|current| {
            let first = current.is_none();
            current.get_or_insert(plan);
            first
        });
    }

    /// The plan; absent until the stop begins.
    pub fn plan(&self) -> Option<StopPlan> {
        *self.plan.borrow()
    }

    /// Waits until the stop has begun and a moment of its plan has come.
    pub async fn reached<F>(&self, moment: F)
    where
        F: Fn(&StopPlan) -> Instant,
    {
        let mut plans = self.plan.subscribe();
        // The sender lives as long as this signal.
        let at = match plans.wait_for(Option::is_some).await {
            Ok(plan) => plan.as_ref().map(&moment),
            Err(_closed) => None,
        };
        if let Some(at) = at {
            let left = at.saturating_duration_since(self.clock.now());
            tokio::time::sleep(left).await;
        }
    }
}

/// The refusal of a request that was not sent, for the stop of this VM.
pub fn refuse_unsent() -> Refusal {
    Refusal::not_run(Reason::ShuttingDown).retry_after(STOP_RETRY)
}

impl Gateway {
    /// When this VM ends what; absent until a stop begins.
    pub fn stop_plan(&self) -> Option<StopPlan> {
        self.stop.plan()
    }

    /// Time that a request of this route must have left when it is first sent in a stop.
    pub fn time_needed(&self, route: &Route) -> Duration {
        let known = self.answer_times().range(&route.name);
        time_needed(Sending::Late, known, unknown_time(route.kind, route.goal))
    }

    /// Does what must be done before a request can be sent, as long as it can still be sent if it
    /// then needs `needed`.
    ///
    /// # Errors
    ///
    /// A refusal if the stop leaves no time.
    pub async fn before_stop<F>(&self, needed: Duration, work: F) -> Result<F::Output, Refusal>
    where
        F: Future,
    {
        tokio::select! {
            biased;
            done = work => Ok(done),
            () = self.stop.reached(|plan| plan.latest_send(needed)) => {
                self.counters.stop_refusals.inc();
                Err(refuse_unsent())
            }
        }
    }
}

impl AdmittedRequest {
    /// Time in which the request can be answered: until its deadline, or until this VM stops.
    pub fn answer_left(&self) -> Duration {
        let caller_left = self.time_left();
        self.stop_left()
            .map_or(caller_left, |left| left.min(caller_left))
    }

    /// Waits until nothing can be answered any more, as this VM stops.
    pub async fn stop_ended(&self) {
        self.gateway.stop.reached(|plan| plan.ends).await;
    }

    /// Whether the request, which may have `ran` before, is not sent now, as this VM stops.
    pub(super) fn is_too_late(&self, ran: bool) -> bool {
        let Some(plan) = self.gateway.stop_plan() else {
            return false;
        };
        let now = self.gateway.clock.now();
        let sending = if now < plan.refuses || ran {
            Sending::Accepted
        } else {
            Sending::Late
        };
        let known = self.gateway.answer_times().range(&self.route.name);
        let unknown = unknown_time(self.route.kind, self.route.goal);
        let needed = time_needed(sending, known, unknown);
        let stop_left = plan.ends.saturating_duration_since(now);
        is_too_late(needed, stop_left, self.time_left())
    }

    /// Whether the request stays at a silent upstream, as this VM stops.
    pub(super) fn keeps_silent(&self) -> bool {
        let now = self.gateway.clock.now();
        let plan = self.gateway.stop_plan();
        plan.is_some_and(|plan| plan.keeps_silent(now))
    }

    /// The answer to a request that is given up, as this VM stops.
    pub(super) fn end_for_stop(
        &self,
        mut attempts: Attempts,
    ) -> Result<Response<CallerBody>, Refusal> {
        let counters = &self.gateway.counters;
        let ended = attempts.give_up(Reason::ShuttingDown, STOP_RETRY);
        match &ended {
            Err(refusal) if refusal.ran == Ran::No => counters.stop_refusals.inc(),
            _ => counters.stop_failures.inc(),
        }
        ended
    }

    /// Records that the response, whose last event is `event`, is cut, as this VM stops.
    pub(super) fn on_cut_by_stop(&self, event: Option<u64>) {
        let gateway = &self.gateway;
        gateway.counters.stop_cuts.inc();
        warn!(gateway.log, "stream_stopped"; "request" => %self.request.head.id,
            "event" => event, "left_ms" => self.time_left().as_millis() as u64);
    }

    /// Records what the request took, which was answered to its end with this status. How soon an
    /// upstream fails says nothing of what its work takes.
    pub(super) fn record_time(&self, status: StatusCode) {
        if !status.is_success() {
            return;
        }
        let now = self.gateway.clock.now();
        let taken = now.saturating_duration_since(self.complete);
        let mut times = self.gateway.answer_times();
        times.record(&self.route.name, taken);
    }

    /// Time until this VM stops; absent where it does not.
    fn stop_left(&self) -> Option<Duration> {
        let plan = self.gateway.stop_plan()?;
        let now = self.gateway.clock.now();
        Some(plan.ends.saturating_duration_since(now))
    }
}
