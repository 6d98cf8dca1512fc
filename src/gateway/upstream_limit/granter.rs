//! Grants requests to upstreams that name a limit, while this VM leads.
//!
//! The requests at one upstream are granted one after the other, at the distance that its rate
//! gives; one that was not used is saved. Only what can be sent soon is granted, so that a later and
//! more urgent request does not wait behind many others.
//!
//! A new leader does not know what its predecessor has granted. It grants nothing until that has
//! expired.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::BootTime;
use crate::ids::{Epoch, Generation, UpstreamId, VmId};
use crate::schema::mesh::PermitDecision;
use crate::units::RequestRate;

use super::{Decision, GRANT_LIFETIME, VmCounts, share};
use crate::gateway::upstream::UpstreamInstance;

/// Longest time ahead for which a request is granted.
pub const MAX_AHEAD: Duration = Duration::from_secs(1);
/// Time for which a lease counts here after it was last confirmed, which the controller does several
/// times a second. A VM that was frozen must not grant before it has looked at its lease.
const LEASE_TRUST: Duration = Duration::from_secs(1);
/// Time from which a new leader grants: by then its predecessor's grants have expired.
const HANDOVER: Duration = Duration::from_millis(1500);
/// Share of the rate that is granted; the rest allows for requests that are on their way for
/// different times.
const USED_SHARE: f64 = 0.95;
/// Requests a second that are granted where an upstream names fewer, or none. Without any, the end
/// of the limit would not be noticed.
const MIN_RATE: f64 = 0.1;
/// Time after which an upstream is forgotten that no request was granted for.
const IDLE_LIFETIME: Duration = Duration::from_mins(1);

/// Identifies an ask of another VM.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AskId {
    /// VM that asks.
    pub vm: VmId,
    /// Start of its process, whose numbers begin anew.
    pub generation: Generation,
    /// Number of the ask at that process.
    pub number: u64,
}

/// An ask for a grant.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Absent for a request of this VM.
    id: Option<AskId>,
    instance: UpstreamInstance,
    max_wait: Duration,
}

impl Ask {
    /// An ask for a request of this VM.
    pub fn own(instance: UpstreamInstance, max_wait: Duration) -> Self {
        Self {
            id: None,
            instance,
            max_wait,
        }
    }

    /// An ask of another VM.
    pub fn of_vm(id: AskId, instance: UpstreamInstance, max_wait: Duration) -> Self {
        Self {
            id: Some(id),
            instance,
            max_wait,
        }
    }
}

/// What has been granted for one upstream.
#[derive(Clone, Debug)]
struct Schedule {
    started_ms: u64,
    /// When the next request may be sent.
    next: BootTime,
    /// Times granted lately, by ask.
    granted: BTreeMap<AskId, BootTime>,
}

/// The lease of this VM.
#[derive(Clone, Copy, Debug)]
struct Lease {
    epoch: Epoch,
    since: BootTime,
    confirmed: BootTime,
}

/// The grants of this VM as the leader.
#[derive(Debug, Default)]
pub struct Granter {
    lease: Option<Lease>,
    schedules: BTreeMap<UpstreamId, Schedule>,
}

impl Granter {
    /// Sets the fencing number with which this VM leads now; `None` if it does not.
    pub fn set_lease(&mut self, epoch: Option<Epoch>, now: BootTime) {
        let Some(epoch) = epoch else {
            self.lease = None;
            self.schedules.clear();
            return;
        };
        match &mut self.lease {
            Some(lease) if lease.epoch == epoch => lease.confirmed = now,
            _ => {
                self.schedules.clear();
                self.lease = Some(Lease {
                    epoch,
                    since: now,
                    confirmed: now,
                });
            }
        }
    }

    /// Fencing number with which this VM leads; `None` if it does not for certain.
    pub fn epoch(&self, now: BootTime) -> Option<Epoch> {
        let lease = self.lease?;
        (now.since(lease.confirmed) < LEASE_TRUST).then_some(lease.epoch)
    }

    /// Whether this VM leads.
    pub fn leads(&self, now: BootTime) -> bool {
        self.epoch(now).is_some()
    }

    /// Forgets upstreams that no request was granted for lately.
    pub fn expire(&mut self, now: BootTime) {
        self.schedules
            .retain(|_, schedule| now.since(schedule.next) < IDLE_LIFETIME);
    }

    /// Decides on an ask for an upstream that names `rate`.
    pub fn grant(&mut self, ask: Ask, rate: RequestRate, vms: VmCounts, now: BootTime) -> Decision {
        let Some(lease) = self.lease.filter(|_| self.leads(now)) else {
            return Decision::Denied(MAX_AHEAD);
        };
        let interval = interval(rate, vms);
        let first = lease.since.plus(HANDOVER);
        let schedule = self.schedules.entry(ask.instance.id.clone());
        let schedule = schedule.or_insert_with(|| Schedule::open(&ask.instance, first));
        if schedule.started_ms != ask.instance.started_ms {
            *schedule = Schedule::open(&ask.instance, first);
        }
        schedule.grant(ask, interval, now)
    }
}

impl Schedule {
    fn open(instance: &UpstreamInstance, first: BootTime) -> Self {
        Self {
            started_ms: instance.started_ms,
            next: first,
            granted: BTreeMap::new(),
        }
    }

    fn grant(&mut self, ask: Ask, interval: Duration, now: BootTime) -> Decision {
        self.granted.retain(|_, at| now.since(*at) < GRANT_LIFETIME);
        let repeated = ask.id.as_ref().and_then(|id| self.granted.get(id));
        if let Some(at) = repeated {
            return Decision::Granted(at.since(now));
        }
        let saved = now.minus(interval);
        let next = self.next.max(saved);
        let at = next.max(now);
        let wait = at.since(now);
        if wait > ask.max_wait.min(MAX_AHEAD) {
            return Decision::Denied(wait);
        }
        self.next = next.plus(interval);
        if let Some(id) = ask.id {
            self.granted.insert(id, at);
        }
        Decision::Granted(wait)
    }
}

/// Time between two requests at an upstream, so that VMs which do not hear this one can use their
/// parts.
fn interval(rate: RequestRate, vms: VmCounts) -> Duration {
    let lost = f64::from(vms.known.saturating_sub(vms.reachable)) / f64::from(vms.known.max(1));
    let part = 1.0 - share::LEADERLESS_SHARE * lost;
    let per_second = (rate.per_second() * USED_SHARE * part).max(MIN_RATE);
    Duration::from_secs_f64(1.0 / per_second)
}

impl From<Decision> for PermitDecision {
    fn from(decision: Decision) -> Self {
        match decision {
            Decision::Unlimited => Self::Unlimited,
            Decision::Granted(wait) => Self::Granted(wait.as_millis() as u64),
            Decision::Denied(delay) => Self::Denied(delay.as_millis() as u64),
        }
    }
}

impl From<PermitDecision> for Decision {
    fn from(decision: PermitDecision) -> Self {
        match decision {
            PermitDecision::Unlimited => Self::Unlimited,
            PermitDecision::Granted(ms) => Self::Granted(Duration::from_millis(ms)),
            PermitDecision::Denied(ms) => Self::Denied(Duration::from_millis(ms)),
        }
    }
}

const _: () = assert!(
    HANDOVER.as_millis() >= MAX_AHEAD.as_millis() + GRANT_LIFETIME.as_millis(),
    "a new leader waits until its predecessor's grants have expired"
);
