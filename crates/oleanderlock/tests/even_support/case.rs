//! What a replay simulates.

/// Slots of each endpoint.
pub const SLOTS: usize = 6;

/// What a replay simulates.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub seed: u64,
    pub seconds: u64,
    pub endpoints: usize,
    /// Choosers that call steadily, and mean work of a call at an endpoint of speed 1.
    pub entries: usize,
    pub call_us: u64,
    /// Choosers that call in bursts, and mean work of their calls.
    pub agents: usize,
    pub burst_call_us: u64,
    /// How often the choosers of each failure domain call, over the mean.
    pub domain_parts: [f64; 3],
    /// Part of all slots that the steady calls occupy on average.
    pub steady: f64,
    /// Part of all slots that the calls of a burst occupy on average over the time between bursts.
    pub bursts: f64,
    /// Time between the starts of two bursts, and time in which the calls of one begin.
    pub burst_every_us: u64,
    pub burst_length_us: u64,
    /// Age of what choosers know: of reports, and of answers.
    pub knowledge_us: u64,
    /// Whether endpoints slow down by 2.5 for 15% of the time.
    pub slowdowns: bool,
    /// How many times as slow the first endpoint becomes after half of the time.
    pub first_slow: f64,
}

impl Case {
    /// `choosers` processes of one role, with steady calls and bursts of the same processes.
    pub fn choosers(choosers: usize, knowledge_us: u64, seed: u64) -> Self {
        Self {
            seed,
            seconds: 120,
            endpoints: 34,
            entries: choosers,
            call_us: 25_000,
            agents: 0,
            burst_call_us: 25_000,
            domain_parts: [1.0; 3],
            steady: 0.15,
            bursts: 0.05,
            burst_every_us: 4_000_000,
            burst_length_us: 600_000,
            knowledge_us,
            slowdowns: true,
            first_slow: 1.0,
        }
    }

    /// What is typical of a deployment: 22 entries, and 41 agents with scoring calls at the end of
    /// each step.
    pub fn typical(seed: u64) -> Self {
        Self {
            entries: 22,
            agents: 41,
            burst_call_us: 200_000,
            steady: 0.1,
            bursts: 0.05,
            burst_every_us: 6_000_000,
            burst_length_us: 1_500_000,
            ..Self::choosers(22, 20_000, seed)
        }
    }
}
