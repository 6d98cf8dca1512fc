//! What is counted in a run.
//!
//! A request is within the rate where one bucket for the whole fleet, without delay or failure,
//! admits it at its arrival.

use std::time::{Duration, Instant};

use basilgw::limit::Quota;
use basilgw::units::Tokens;

/// A request, as it arrived.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    tokens: Tokens,
    within: bool,
    counted: bool,
}

/// Counters of one run.
#[derive(Debug)]
pub struct Figures {
    share: Quota,
    from: Instant,
    until: Instant,
    level: f64,
    at: Instant,
    grants: Vec<(Instant, u64)>,
    /// Requests within the rate.
    pub within: u64,
    /// Requests within the rate that were refused.
    pub refused: u64,
    /// Tokens that the one bucket admits.
    pub ideal: u64,
    /// Tokens granted.
    pub granted: u64,
    /// Messages between VMs.
    pub messages: u64,
    /// Calls to the store.
    pub calls: u64,
}

impl Figures {
    /// Counts what happens from `from` until `until`, both after `start`.
    pub fn open(share: Quota, start: Instant, from: Duration, until: Duration) -> Self {
        Self {
            share,
            from: start + from,
            until: start + until,
            level: 0.0,
            at: start,
            grants: Vec::new(),
            within: 0,
            refused: 0,
            ideal: 0,
            granted: 0,
            messages: 0,
            calls: 0,
        }
    }

    fn counts(&self, now: Instant) -> bool {
        now >= self.from && now < self.until
    }

    /// A request arrives.
    pub fn arrive(&mut self, tokens: Tokens, now: Instant) -> Request {
        let gained = self.share.rate.over(now - self.at);
        self.level = (self.level + gained).min(self.share.burst.0 as f64);
        self.at = now;
        let within = self.level >= tokens.0 as f64;
        let counted = self.counts(now);
        if within {
            self.level -= tokens.0 as f64;
        }
        if within && counted {
            self.within += 1;
            self.ideal += tokens.0;
        }
        Request {
            tokens,
            within,
            counted,
        }
    }

    /// A request got its tokens.
    pub fn grant(&mut self, request: Request, now: Instant) {
        self.grants.push((now, request.tokens.0));
        if request.counted {
            self.granted += request.tokens.0;
        }
    }

    /// A request was refused.
    pub fn refuse(&mut self, request: Request) {
        self.refused += u64::from(request.within && request.counted);
    }

    /// A message left a VM.
    pub fn message(&mut self, now: Instant) {
        self.messages += u64::from(self.counts(now));
    }

    /// A call left for the store.
    pub fn store_call(&mut self, now: Instant) {
        self.calls += u64::from(self.counts(now));
    }

    /// Time counted.
    pub fn seconds(&self) -> f64 {
        (self.until - self.from).as_secs_f64()
    }

    /// Greatest part of rate x window + burst that was granted in any window.
    pub fn overshoot(&self) -> f64 {
        let (mut low, mut high) = (0.0, 64.0);
        for _ in 0..40 {
            let middle = f64::midpoint(low, high);
            if self.exceeds(middle) {
                low = middle;
            } else {
                high = middle;
            }
        }
        high
    }

    fn exceeds(&self, part: f64) -> bool {
        let rate = self.share.rate.per_second() * part;
        let burst = self.share.burst.0 as f64 * part;
        let (mut level, mut last) = (0.0_f64, None);
        for &(at, tokens) in &self.grants {
            let span = last.map_or(0.0, |last: Instant| (at - last).as_secs_f64());
            level = (level - rate * span).max(0.0) + tokens as f64;
            last = Some(at);
            if level > burst {
                return true;
            }
        }
        false
    }
}
