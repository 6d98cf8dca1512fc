//! Keeps all VMs together to the rate of requests that an upstream takes.
//!
//! An upstream in need states in its responses how many requests a second it takes from all VMs
//! together, and one that is warming up takes few for a while. No VM can keep to that alone, so the
//! leader grants each request:
//!
//! - Every VM records what upstreams state to it, and tells the others at once ([`table`]). It
//!   records from the registrations which upstreams are warming up ([`warm_up`]).
//! - To send a request to such an upstream, a VM asks the leader, which gives out the times at
//!   which requests may be sent, one after the other ([`granter`]). A grant is for one request and
//!   expires soon after its time.
//! - A VM that hears no leader sends only in slots of its own, its equal part of half the rate
//!   ([`share`]). The leader keeps such a part back for each VM that it does not hear.
//!
//! Each attempt needs a permit ([`gate`]), which names its upstream. A request that another
//! upstream can serve goes there if there is no room at once; any other waits for its time if that
//! is in time, and is refused otherwise. An upstream with room gets requests like any other, so
//! that the end of a limit is noticed. While some upstreams warm up, patient requests go to them
//! first and others to warm ones ([`preference`]).

mod asks;
pub mod gate;
pub mod granter;
pub mod preference;
pub mod share;
pub mod table;
pub mod warm_up;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime};

use crate::clock::BootTime;
use crate::ids::{Epoch, UpstreamId};
use crate::schema::mesh::{PermitAnswer, PermitAsk, PermitRequest, PermitResponse, UpstreamLimit};

use super::upstream::UpstreamInstance;
use crate::units::RequestRate;
use asks::Asks;
use granter::{Ask, AskId, Granter};
use share::{LocalShare, Part, Roster};
use table::{LimitTable, Statement};
use warm_up::{Audience, WarmUp, WarmUps};

/// Time within which a granted request must be sent, counted from the time granted.
pub const GRANT_LIFETIME: Duration = Duration::from_millis(300);
/// Silence of the leader after which a VM uses its own part of the rates.
const LEADER_SILENCE: Duration = Duration::from_secs(1);
/// Time for which an upstream counts as full after the leader did not answer.
pub const SILENCE_PAUSE: Duration = Duration::from_millis(200);
/// Longest delay that a caller is told while there is no leader; the next one may have room.
const MAX_LEADERLESS_DELAY: Duration = Duration::from_secs(1);

/// Whether a request may be sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It names no limit.
    Unlimited,
    /// After this time.
    Granted(Duration),
    /// Not within the time that the request can wait; there may be room after this time.
    Denied(Duration),
}

/// How a request gets its decision.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// It has been taken on this VM.
    Decided(Decision),
    /// The leader is asked.
    Ask(PermitAsk),
}

/// The leader's decision on an ask of this VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecidedAsk {
    /// Number of the ask.
    pub number: u64,
    /// What the leader decided.
    pub decision: Decision,
}

/// The other VMs, as far as they matter here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmCounts {
    /// VMs known, this one included.
    pub known: u32,
    /// VMs reachable, this one included.
    pub reachable: u32,
    /// The part that is this VM's own while it hears no leader.
    pub part: Part,
}

/// What one VM knows of the upstreams' limits and, as the leader, has granted.
#[derive(Debug, Default)]
pub struct UpstreamLimits {
    /// All VMs that were ever known.
    pub roster: Roster,
    table: LimitTable,
    warm_ups: WarmUps,
    granter: Granter,
    share: LocalShare,
    asks: Asks,
    /// Upstreams that have no room before this time.
    full: BTreeMap<UpstreamId, BootTime>,
    /// Fencing number of the newest leader, and when it was last heard.
    leader: Option<(Epoch, BootTime)>,
}

impl UpstreamLimits {
    /// Records what an upstream stated in a response. Returns whether its limit changed.
    pub fn on_statement(
        &mut self,
        instance: &UpstreamInstance,
        statement: Statement,
        now: BootTime,
    ) -> bool {
        self.table.apply_own(instance, statement, now)
    }

    /// Records what other VMs know.
    pub fn on_reports(&mut self, reports: &[UpstreamLimit], now: BootTime) {
        for report in reports {
            self.apply_report(report, now);
        }
    }

    fn apply_report(&mut self, report: &UpstreamLimit, now: BootTime) {
        if report.warm_up_ms.is_some() {
            self.warm_ups.apply_report(report, now);
        } else {
            self.table.apply_report(report, now);
        }
    }

    /// Records that an upstream is warming up; returns whether that was not known.
    pub fn on_warm_up(
        &mut self,
        instance: &UpstreamInstance,
        warm_up: WarmUp,
        audience: Audience,
        now: BootTime,
    ) -> bool {
        self.warm_ups.extend(instance, warm_up, audience, now)
    }

    /// The upstreams that are warming up.
    pub fn warming_up(&self, now: BootTime) -> BTreeSet<UpstreamId> {
        self.warm_ups.current(now)
    }

    /// The lowest rate that holds for an upstream, and the run of it that is counted.
    fn rate(
        &self,
        instance: &UpstreamInstance,
        now: BootTime,
    ) -> Option<(UpstreamInstance, RequestRate)> {
        let named = self.table.rate(instance);
        let Some((run, warm_up)) = self.warm_ups.rate(instance, now) else {
            return named.map(|rate| (instance.clone(), rate));
        };
        let lowest = named.filter(|named| *named < warm_up).unwrap_or(warm_up);
        Some((run, lowest))
    }

    /// What the leader is told with an ask; `None` if no limit holds.
    fn limit(&self, instance: &UpstreamInstance, now: BootTime) -> Option<UpstreamLimit> {
        let (_, lowest) = self.rate(instance, now)?;
        let named = self.table.limit(instance, now);
        match self.warm_ups.limit(instance, now) {
            Some(warm_up) if warm_up.rate == Some(lowest) => Some(warm_up),
            _ => named,
        }
    }

    /// Records that a leader was heard, which is not this VM.
    pub fn on_leader(&mut self, epoch: Epoch, now: BootTime) {
        self.leader = Some((epoch, now));
        // This VM may not have noticed yet that it no longer leads.
        if self.granter.epoch(now).is_some_and(|own| own < epoch) {
            self.granter.set_lease(None, now);
        }
    }

    /// Sets the fencing number with which this VM leads; `None` if it does not.
    pub fn set_lease(&mut self, epoch: Option<Epoch>, now: BootTime) {
        self.granter.set_lease(epoch, now);
    }

    /// Whether the upstream names a limit or is warming up.
    pub fn is_limited(&self, instance: &UpstreamInstance, now: BootTime) -> bool {
        self.rate(instance, now).is_some()
    }

    /// Number of upstreams that name a limit.
    pub fn count(&self) -> usize {
        self.table.count()
    }

    /// What the next usage report tells the other VMs.
    pub fn report(&mut self, now: BootTime) -> Vec<UpstreamLimit> {
        self.granter.expire(now);
        self.full.retain(|_, free| now < *free);
        let mut reports = self.table.report(self.granter.leads(now), now);
        reports.extend(self.warm_ups.report(now));
        reports
    }

    /// What the leader tells a VM that has just started; empty at any other VM.
    pub fn summary(&self, now: BootTime) -> Vec<UpstreamLimit> {
        if !self.granter.leads(now) {
            return Vec::new();
        }
        let mut reports = self.table.all(now);
        reports.extend(self.warm_ups.all(now));
        reports
    }

    /// Requests leave to send one request, which can wait for `max_wait`. The slots of the VMs are
    /// counted on the `wall` clock while there is no leader.
    pub fn request(
        &mut self,
        instance: &UpstreamInstance,
        max_wait: Duration,
        vms: VmCounts,
        wall: SystemTime,
        now: BootTime,
    ) -> Step {
        let Some((run, rate)) = self.rate(instance, now) else {
            return Step::Decided(Decision::Unlimited);
        };
        if self.granter.leads(now) {
            let ask = Ask::own(run, max_wait);
            return Step::Decided(self.granter.grant(ask, rate, vms, now));
        }
        let heard = self.leader.map(|(_, at)| now.since(at));
        if heard.is_none_or(|silence| silence > LEADER_SILENCE) {
            let share = &mut self.share;
            let sent = share.try_send(&instance.id, rate, vms.part, max_wait, wall, now);
            return Step::Decided(match sent {
                Ok(wait) => Decision::Granted(wait),
                Err(delay) => Decision::Denied(delay.min(MAX_LEADERLESS_DELAY)),
            });
        }
        if let Some(delay) = self.full_for(&instance.id, now)
            && delay > max_wait
        {
            return Step::Decided(Decision::Denied(delay));
        }
        match self.limit(instance, now) {
            Some(limit) => Step::Ask(self.asks.open(limit, max_wait)),
            None => Step::Decided(Decision::Unlimited),
        }
    }

    /// Decides on the asks of another VM; `None` unless this VM leads.
    pub fn grant(
        &mut self,
        request: PermitRequest,
        vms: VmCounts,
        now: BootTime,
    ) -> Option<PermitResponse> {
        let epoch = self.granter.epoch(now)?;
        let mut answers = Vec::new();
        for ask in request.asks {
            self.apply_report(&ask.limit, now);
            let instance = table::instance(&ask.limit);
            let decision = match self.rate(&instance, now) {
                None => Decision::Unlimited,
                Some((run, rate)) => {
                    let id = AskId {
                        vm: request.vm.clone(),
                        generation: request.generation,
                        number: ask.number,
                    };
                    let max_wait = Duration::from_millis(ask.max_wait_ms);
                    let of_vm = Ask::of_vm(id, run, max_wait);
                    self.granter.grant(of_vm, rate, vms, now)
                }
            };
            answers.push(PermitAnswer {
                number: ask.number,
                decision: decision.into(),
            });
        }
        Some(PermitResponse { epoch, answers })
    }

    /// Takes the decisions of the leader. Those of an earlier leader do not count.
    pub fn on_response(&mut self, response: PermitResponse, now: BootTime) -> Vec<DecidedAsk> {
        if self.leader.is_none_or(|(epoch, _)| response.epoch < epoch) {
            return Vec::new();
        }
        let mut decisions = Vec::new();
        for answer in response.answers {
            let decision = Decision::from(answer.decision);
            if let (Decision::Denied(delay), Some(id)) =
                (decision, self.asks.upstream(answer.number))
            {
                self.full.insert(id.clone(), now.plus(delay));
            }
            decisions.push(DecidedAsk {
                number: answer.number,
                decision,
            });
        }
        decisions
    }

    /// Forgets an ask.
    pub fn close_ask(&mut self, ask: &PermitAsk) {
        self.asks.close(ask.number);
    }

    /// Records that the leader did not answer an ask. The upstream counts as full for a moment, so
    /// that not each request waits for an answer.
    pub fn on_silence(&mut self, ask: &PermitAsk, now: BootTime) {
        let id = ask.limit.upstream.clone();
        self.full.insert(id, now.plus(SILENCE_PAUSE));
    }

    /// Time until there may be room at an upstream; `None` if there may be now.
    fn full_for(&mut self, id: &UpstreamId, now: BootTime) -> Option<Duration> {
        let free = *self.full.get(id)?;
        if free <= now {
            self.full.remove(id);
            return None;
        }
        Some(free.since(now))
    }
}
