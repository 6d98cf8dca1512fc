//! The part of an upstream's rate that a VM uses by itself while it hears no leader.
//!
//! All VMs together may use half of the rate in this way. The time is divided into slots at the
//! distance that this rate gives, and each VM owns one slot of each cycle by its rank among all VMs
//! that it has ever known. It sends one request in its slot, or soon after it if it had none then.
//! So the requests of all VMs in any span are bounded by the slots that begin in it or shortly
//! before, also if every VM has requests at every moment or all begin after a pause.
//!
//! Slots are counted on the wall clock. Slots of two VMs do not overlap if their clocks agree and
//! they know the same VMs. VMs that differ in either form groups; each group sends at most its own
//! share of the rate, so the sum of all groups keeps the bound.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::clock::BootTime;
use crate::gateway::balancer::stable_hash;
use crate::ids::{UpstreamId, VmId};
use crate::units::RequestRate;

/// Share of the rate that all VMs together use without a leader.
pub const LEADERLESS_SHARE: f64 = 0.5;
/// Fewest parts; a VM that knows few others may have been cut off from them since its start.
const MIN_PARTS: u32 = 8;
/// Time after its slot within which a VM may still use it.
const MAX_LATE: Duration = Duration::from_secs(1);
/// Longest time between two slots.
const MAX_INTERVAL: Duration = Duration::from_hours(1);

/// Which part of the rates is a VM's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Number of VMs whose ids precede its own.
    pub rank: u32,
    /// Number of parts.
    pub parts: u32,
}

/// All VMs that were ever known since the start, this one included.
#[derive(Debug, Default)]
pub struct Roster {
    vms: BTreeSet<VmId>,
    /// Rank of this VM; absent until it is among them.
    rank: Option<u32>,
}

impl Roster {
    /// Adds VMs; `own` is this one.
    pub fn add<I>(&mut self, own: &VmId, vms: I)
    where
        I: IntoIterator<Item = VmId>,
    {
        self.vms.extend(vms);
        let rank = self.vms.range(..own).count();
        let listed = self.vms.contains(own);
        self.rank = listed.then(|| u32::try_from(rank).unwrap_or(u32::MAX));
    }

    /// The part of VM `own` among at least `least` parts. A VM that is not among those known has
    /// one at random.
    pub fn part(&self, own: &VmId, least: u32) -> Part {
        let known = u32::try_from(self.vms.len()).unwrap_or(u32::MAX);
        let parts = known.max(least).max(MIN_PARTS);
        let random = || stable_hash(own.as_str().as_bytes(), 0) % u64::from(parts);
        let rank = self.rank;
        let rank = rank.unwrap_or_else(|| u32::try_from(random()).unwrap_or_default());
        Part { rank, parts }
    }
}

/// The slot that a VM used last.
#[derive(Clone, Copy, Debug)]
struct Used {
    cycle: u128,
    at: BootTime,
}

/// The slots of this VM at each upstream.
#[derive(Debug, Default)]
pub struct LocalShare {
    used: BTreeMap<UpstreamId, Used>,
}

impl LocalShare {
    /// Counts one request to an upstream that takes `rate`, and returns the time after which it may
    /// be sent, at most `max_wait`.
    ///
    /// # Errors
    ///
    /// Time until the next slot, if that is longer or the slot is taken; at most `MAX_INTERVAL`
    /// if the rate gives no usable slots.
    pub fn try_send(
        &mut self,
        id: &UpstreamId,
        rate: RequestRate,
        part: Part,
        max_wait: Duration,
        wall: SystemTime,
        now: BootTime,
    ) -> Result<Duration, Duration> {
        let interval = Duration::try_from_secs_f64(1.0 / (rate.per_second() * LEADERLESS_SHARE));
        let Some(interval) = interval.ok().filter(|interval| *interval < MAX_INTERVAL) else {
            return Err(MAX_INTERVAL);
        };
        let slots = Slots::new(id, interval, part);
        self.forget_idle(now);
        let (cycle, position) = slots.locate(wall);
        if position < slots.usable && !self.is_used(id, &slots, cycle, now) {
            self.used.insert(id.clone(), Used { cycle, at: now });
            return Ok(Duration::ZERO);
        }
        let wait = slots.cycle.saturating_sub(position);
        let next = Used {
            cycle: cycle + 1,
            at: now.plus(wait),
        };
        if wait > max_wait || self.is_used(id, &slots, next.cycle, next.at) {
            return Err(wait);
        }
        self.used.insert(id.clone(), next);
        Ok(wait)
    }

    /// Whether the slot of a cycle or the next one is used, or the last request was so late that
    /// only a change of the wall clock can have begun another cycle.
    fn is_used(&self, id: &UpstreamId, slots: &Slots, cycle: u128, at: BootTime) -> bool {
        let closed = slots.cycle.saturating_sub(slots.usable);
        let used = self.used.get(id);
        used.is_some_and(|used| {
            let taken = (cycle..=cycle + 1).contains(&used.cycle);
            taken || at.since(used.at) < closed
        })
    }

    /// Forgets upstreams that nobody asks for.
    fn forget_idle(&mut self, now: BootTime) {
        self.used
            .retain(|_, used| now.since(used.at) < MAX_INTERVAL);
    }
}

/// The slots of one VM at one upstream.
#[derive(Clone, Copy, Debug)]
struct Slots {
    /// Time between two slots of this VM.
    cycle: Duration,
    /// Time from the start of a slot in which it can be used.
    usable: Duration,
    /// Start of the first slot of this VM after the Unix epoch.
    offset: Duration,
}

impl Slots {
    fn new(id: &UpstreamId, interval: Duration, part: Part) -> Self {
        let cycle = interval * part.parts.max(1);
        let seed = stable_hash(id.as_str().as_bytes(), 0);
        let phase = u128::from(seed) % cycle.as_nanos().max(1);
        let offset = (interval * part.rank).as_nanos() + phase;
        Self {
            cycle,
            usable: cycle.min(interval + MAX_LATE),
            offset: nanos(offset % cycle.as_nanos().max(1)),
        }
    }

    /// Number of the cycle at a time, and the time since its start.
    fn locate(&self, wall: SystemTime) -> (u128, Duration) {
        let since = wall.duration_since(UNIX_EPOCH).unwrap_or_default();
        let shifted = (since + self.cycle).saturating_sub(self.offset).as_nanos();
        let cycle = self.cycle.as_nanos().max(1);
        (shifted / cycle, nanos(shifted % cycle))
    }
}

fn nanos(count: u128) -> Duration {
    Duration::from_nanos(u64::try_from(count).unwrap_or(u64::MAX))
}
