//! Judges the numbers of a stream's events: which events may be forwarded, and whether the stream
//! may be resumed after the last one.
//!
//! Engines number events in an increasing order, mostly in equal steps, and not always by one. A
//! number that the step asks for is taken at once. Another rising number is held until the next
//! event, or the end of the stream, shows whether it was wrong, whether events are missing before
//! it, or whether the engine counts in another way. The design is in docs/design/stream-numbers.md.

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
    /// Neither it nor the one that is held is forwarded, and nothing after it.
    Fault,
}

/// The numbers of one stream, over all engines that it is resumed at.
#[derive(Clone, Debug, Default)]
pub struct EventNumbers {
    /// Number of the last event forwarded, or the one that the caller resumes after.
    last: Option<u64>,
    /// Number before it; 0 before the first one of a stream.
    before: u64,
    /// Events with a number that were forwarded.
    forwarded: u64,
    /// Distance of two numbers; absent while it is unknown.
    step: Option<u64>,
    /// Number of the event that is held.
    held: Option<EventNumber>,
    /// Whether events without a number were forwarded.
    unnumbered: bool,
    /// The last number, and the one held after it that was judged a fault. If that comes again
    /// after the same number, it is accepted.
    disputed: Option<(Option<u64>, u64)>,
}

impl EventNumbers {
    /// Starts in front of a stream, or after event `last` where the caller resumes one.
    pub fn resume_after(last: Option<u64>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// Number of the last event that the caller has.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether the stream may be resumed after the last number for certain.
    pub fn is_certain(&self) -> bool {
        self.is_fresh() || self.step.is_some()
    }

    /// Judges the next event.
    pub fn on_event(&mut self, number: EventNumber) -> Verdict {
        let verdict = match number {
            EventNumber::Number(number) => self.on_number(number),
            EventNumber::Absent => self.on_unnumbered(),
            EventNumber::Unreadable => Verdict::Fault,
        };
        if verdict == Verdict::Fault {
            self.dispute();
        }
        verdict
    }

    /// Judges the event that is held where the engine ends the stream.
    ///
    /// # Errors
    ///
    /// The number of the held event, if it is judged a fault.
    pub fn on_end(&mut self) -> Result<(), u64> {
        match self.held {
            Some(EventNumber::Number(number)) if !self.may_end_with(number) => {
                self.dispute();
                Err(number)
            }
            _ => Ok(()),
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

    /// The number that is taken at once; `None` while the step is unknown.
    fn expected(&self) -> Option<u64> {
        if self.is_fresh() {
            return self.last.unwrap_or(0).checked_add(1);
        }
        self.last?.checked_add(self.step?)
    }

    fn on_number(&mut self, number: u64) -> Verdict {
        match self.held {
            Some(EventNumber::Number(held)) => return self.judge_pair(held, number),
            Some(_) => return Verdict::Fault,
            None if self.unnumbered => return Verdict::Fault,
            None => {}
        }
        if self.last.is_some_and(|last| number <= last) {
            self.doubt_first(number);
            return Verdict::Fault;
        }
        let agreed = self.disputed == Some((self.last, number));
        let irregular = !self.is_fresh() && self.step.is_none();
        if agreed {
            self.step = None;
        }
        if agreed || irregular || self.expected() == Some(number) {
            self.accept(number);
            return Verdict::Forward;
        }
        self.held = Some(EventNumber::Number(number));
        Verdict::Hold
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

    /// Judges the number that is held by the next one.
    fn judge_pair(&mut self, held: u64, next: u64) -> Verdict {
        let Some(step) = next.checked_sub(held).filter(|step| *step > 0) else {
            return Verdict::Fault;
        };
        if self.skips_one(next) || self.passes_over(held, step) {
            return Verdict::Fault;
        }
        self.held = None;
        self.step = None;
        self.accept(held);
        self.accept(next);
        Verdict::Forward
    }

    /// Whether a number is two steps after the last one, so that the one between them was wrong.
    fn skips_one(&self, number: u64) -> bool {
        let two = self.step.and_then(|step| step.checked_mul(2));
        let after = two.and_then(|two| self.last?.checked_add(two));
        after == Some(number)
    }

    /// Whether numbers are missing between the last one and `number`, which the engine goes on
    /// from in this step.
    fn passes_over(&self, number: u64, step: u64) -> bool {
        let distance = self.last.map_or(0, |last| number - last);
        distance > step && distance.is_multiple_of(step)
    }

    /// Whether a stream may end with a number that is not the one expected: it is the only one, or
    /// nothing fits between it and the last one.
    fn may_end_with(&self, number: u64) -> bool {
        if self.last.is_none() {
            return true;
        }
        self.expected().is_some_and(|expected| number < expected)
    }

    /// Forgets the step if the second number repeats the first, which may have been wrong then.
    fn doubt_first(&mut self, number: u64) {
        if self.forwarded == 1 && self.last == Some(number) {
            self.step = None;
        }
    }

    /// Takes a number that is greater than the last one, and learns the step.
    fn accept(&mut self, number: u64) {
        let last = self.last.unwrap_or(0);
        let distance = number - last;
        if self.is_fresh() {
            self.step = (distance == 1).then_some(1);
        } else if self.step.is_none() && distance == last - self.before {
            self.step = Some(distance);
        }
        self.before = last;
        self.last = Some(number);
        self.forwarded += 1;
    }

    fn dispute(&mut self) {
        if let Some(EventNumber::Number(held)) = self.held.take() {
            self.disputed = Some((self.last, held));
        }
    }
}
