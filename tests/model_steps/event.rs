//! The events of a history.

#[derive(Clone, Copy, Debug)]
pub enum Act {
    Load,
    Renew,
    Ready,
    Unload,
    Release,
    Sweep,
    Attach,
    Detach,
    DropAdapter,
    Expel,
}

#[derive(Clone, Copy, Debug)]
pub enum Fate {
    Answered,
    Held,
    Stale,
    LostAfter,
    Delayed,
    LostBefore,
    Doubled,
}

#[derive(Clone, Debug)]
pub enum Event {
    Start {
        vm: usize,
        act: Act,
        pick: usize,
        fates: Vec<Fate>,
    },
    Resume {
        vm: usize,
        fates: Vec<Fate>,
    },
    Late {
        pick: usize,
    },
    Observe {
        vm: usize,
    },
    Report {
        vm: usize,
        back: usize,
    },
    Crash {
        vm: usize,
    },
    Advance {
        quarters: u32,
    },
    Restart {
        engine: usize,
    },
}
