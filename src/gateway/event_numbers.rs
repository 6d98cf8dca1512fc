//! Judges the numbers of a stream's events: which events may be forwarded, and whether the stream
//! may be resumed after the last one.
//!
//! An engine may number events in any increasing order, so a rising number is never a fault. One
//! that a wrong byte has made too large shows by the next event, which does not rise above it.
//! Where the stream may be resumed, a number that no step explains is therefore held until the next
//! event or the end of the stream. The design is in docs/design/stream-numbers.md.

/// The number that an event carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventNumber {
    /// A number.
    Number(u64),
    /// The event has no number.
    Absent,
    /// The event has something in its place that is no number, or several.
    Unreadable,
}

/// What happens to an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is forwarded, after the one that is held, if there is one.
    Forward,
    /// It is held until the next event or the end of the stream.
    Hold,
    /// The one that is held is forwarded, and this one is held in its place.
    Replace,
    /// Neither it nor the one that is held is forwarded, and nothing after it.
    Fault,
}

/// Who may resume a stream after a number that was forwarded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Resumption {
    /// Another engine, or the caller by a new request.
    #[default]
    Allowed,
    /// Nobody, so that no number needs to be held.
    Never,
}

/// The numbers of one stream, over all engines that it is resumed at.
#[derive(Clone, Debug, Default)]
pub struct EventNumbers {
    /// Whether a number is ever held.
    resumption: Resumption,
    /// Number of the last event forwarded, or the one that the caller resumes after.
    last: Option<u64>,
    /// Number before it; absent up to the first event of a stream.
    before: Option<u64>,
    /// Events with a number that were forwarded.
    forwarded: u64,
    /// Distance of two numbers that came twice in a row last; absent while none has.
    step: Option<u64>,
    /// Whether distances of numbers have differed, but for that of the first one.
    uneven: bool,
    /// Number of the event that is held.
    held: Option<EventNumber>,
    /// Whether events without a number were forwarded.
    unnumbered: bool,
    /// Whether the last number forwarded may be wrong.
    doubted: bool,
}

impl EventNumbers {
    /// Starts in front of a stream, or after event `last` where the caller resumes one.
    pub fn resume_after(last: Option<u64>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// Starts in front of a stream that nobody resumes.
    pub fn unresumable() -> Self {
        Self {
            resumption: Resumption::Never,
            ..Self::default()
        }
    }

    /// Number of the last event that the caller has.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether the stream may be resumed after the last number: no later event has shown that it may
    /// be wrong, and each event has one.
    pub fn is_certain(&self) -> bool {
        !self.unnumbered && !self.doubted
    }

    /// Judges the next event.
    pub fn on_event(&mut self, number: EventNumber) -> Verdict {
        match number {
            EventNumber::Number(number) => self.on_number(number),
            EventNumber::Absent => self.on_unnumbered(),
            EventNumber::Unreadable => Verdict::Fault,
        }
    }

    /// Takes the event that is held where the engine ends the stream: nothing follows that could
    /// show its number to be wrong.
    pub fn on_end(&mut self) {
        match self.held.take() {
            Some(EventNumber::Number(number)) => self.accept(number),
            Some(_) => self.unnumbered = true,
            None => {}
        }
    }

    /// Forgets the event that is held, since another engine sends it again.
    pub fn discard_held(&mut self) {
        self.held = None;
    }

    /// Whether no event has been forwarded.
    pub fn is_fresh(&self) -> bool {
        self.forwarded == 0 && !self.unnumbered
    }

    fn on_number(&mut self, number: u64) -> Verdict {
        let held = match self.held {
            Some(EventNumber::Number(held)) => Some(held),
            None if !self.unnumbered => None,
            Some(_) | None => return Verdict::Fault,
        };
        if held.or(self.last).is_some_and(|newest| number <= newest) {
            self.doubt_last(number);
            return Verdict::Fault;
        }
        if let Some(held) = held {
            self.held = None;
            self.accept(held);
        }
        if self.resumption == Resumption::Never || self.is_usual(number) {
            self.accept(number);
            return Verdict::Forward;
        }
        self.held = Some(EventNumber::Number(number));
        held.map_or(Verdict::Hold, |_released| Verdict::Replace)
    }

    fn on_unnumbered(&mut self) -> Verdict {
        if self.unnumbered || self.held == Some(EventNumber::Absent) {
            self.unnumbered = true;
            self.held = None;
            return Verdict::Forward;
        }
        if self.held.is_some() || !self.is_fresh() || self.last.is_some() {
            return Verdict::Fault;
        }
        self.held = Some(EventNumber::Absent);
        Verdict::Hold
    }

    /// Whether a rising number is taken at once: nothing fits between it and the last one, or it
    /// follows in the usual distance.
    fn is_usual(&self, number: u64) -> bool {
        let distance = number - self.last.unwrap_or(0);
        let repeated = Some(distance) == self.step || distance == self.distance();
        distance == 1 || (!self.is_fresh() && repeated)
    }

    /// Distance of the last number from the one before it; that of the first one from 0 or from the
    /// event that the caller resumes after.
    fn distance(&self) -> u64 {
        self.last.unwrap_or(0) - self.before.unwrap_or(0)
    }

    /// Doubts the last number at one that does not rise above it, where either may be the wrong one.
    /// After even steps the new one is taken for it.
    fn doubt_last(&mut self, number: u64) {
        let unproven = self.held.is_none() && self.forwarded > 0;
        let even = !self.uneven && self.forwarded > 1;
        let fits = match self.before {
            Some(before) => number > before.saturating_add(1),
            None => number > 0,
        };
        self.doubted |= unproven && !even && fits;
    }

    /// Takes a number that is greater than the last one.
    fn accept(&mut self, number: u64) {
        let distance = number - self.last.unwrap_or(0);
        if self.forwarded > 0 && distance == self.distance() {
            self.step = Some(distance);
        } else if self.forwarded > 1 {
            self.uneven = true;
        }
        self.before = self.last;
        self.last = Some(number);
        self.forwarded += 1;
    }
}
