//! The faults and operator actions that a soak plays.

/// A fault or an action of an operator. A number picks an object of its kind, modulo their count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// The store refuses every call; waiting watches may go on.
    StoreDown { watches_wait: bool },
    /// The store loses the response to one write in `one_in`.
    StoreLoses { one_in: u64 },
    /// The store drops its history.
    StoreCompacts,
    /// A process is killed and started again.
    Kill { node: usize },
    /// A process is stopped with SIGSTOP and resumed.
    Pause { node: usize },
    /// A process is stopped with SIGTERM and started again.
    Stop { node: usize },
    /// All processes are killed at once and started again.
    KillAll,
    /// All entries are killed at once and started again, between two releases: an engine restarts with
    /// another software version before, the next one meanwhile, in place.
    PowerCut { engine: usize },
    /// The leading dispatcher is stopped with SIGSTOP and resumed.
    PauseLeader,
    /// The leading dispatcher is killed and started again.
    KillLeader,
    /// The machine of a dispatcher is to be retired.
    Retire { dispatcher: usize },
    /// The leading dispatcher and the store can't reach each other.
    CutLeader,
    /// A link delays all data.
    Delay { link: usize, ms: u64 },
    /// A link holds all data back, in one direction or in both.
    Cut {
        link: usize,
        to_target: bool,
        from_target: bool,
    },
    /// A link refuses new connections and resets the open ones.
    Refuse { link: usize },
    /// The open connections of a link pass no more data and stay open.
    Silence { link: usize },
    /// The open connections of a link are reset.
    Reset { link: usize },
    /// An engine generates slowly.
    SlowEngine { engine: usize },
    /// An engine breaks off its streams.
    BreakStreams { engine: usize },
    /// An engine does not respond to orders.
    LoseOrders { engine: usize },
    /// An engine restarts with a new instance id.
    RestartEngine { engine: usize },
    /// An endpoint of the plain service handles its calls in a faulty way.
    FaultyService { service: usize, treatment: usize },
    /// An endpoint of the plain service names a rate limit, in tenths of a request a second.
    LimitService { service: usize, tenths: u64 },
    /// An engine names a rate limit, in tenths of a request a second.
    LimitEngine { engine: usize, tenths: u64 },
    /// An engine says in its responses that it is leaving, and restarts at the end.
    LeavingEngine { engine: usize },
    /// An endpoint of the plain service crashes and comes back with a new instance id.
    CrashService { service: usize },
    /// A process gets several signals in a row, SIGTERM among them.
    Signals { node: usize },
    /// A newer configuration is published.
    NewConfig,
}
