//! The events of a history.

/// A command that a VM executes; see the method of the same name in the executor.
#[derive(Clone, Copy, Debug)]
pub enum Action {
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

/// What happens to a call to the store or to an engine.
#[derive(Clone, Copy, Debug)]
pub enum CallOutcome {
    /// It takes effect and its response arrives.
    Answered,
    /// It takes effect, but its VM pauses before it reads the response.
    Paused,
    /// A read returns the version before the newest; any other call is answered.
    Stale,
    /// It takes effect, but its response is lost. A read is answered.
    ResponseLost,
    /// Its response is lost, and it takes effect later, if at all. A read is answered.
    Delayed,
    /// It fails without effect.
    RequestLost,
    /// An order takes effect now and may do so again later; any other call is answered.
    Repeated,
}

/// A step of a history; `pick` chooses among what is possible at that moment.
#[derive(Clone, Debug)]
pub enum Event {
    /// A VM starts a command; its calls have these outcomes.
    Start {
        vm: usize,
        action: Action,
        pick: usize,
        outcomes: Vec<CallOutcome>,
    },
    /// A paused VM goes on with its command.
    Resume {
        vm: usize,
        outcomes: Vec<CallOutcome>,
    },
    /// A delayed call, a repeated order, or a call of a crashed VM takes effect.
    DeliverLate { pick: usize },
    /// A VM reads all intents and reservations.
    ReadObjects { vm: usize },
    /// A VM receives a report of each engine, `steps_back` events old.
    ReadReports { vm: usize, steps_back: usize },
    /// A VM loses its state; calls it has sent may still take effect.
    Crash { vm: usize },
    /// Time passes, in quarters of an order lifetime, and unloads finish.
    Advance { quarters: u32 },
    /// An engine restarts without replicas, in a new generation.
    Restart { engine: usize },
}
