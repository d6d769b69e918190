//! Measures the slopes from which `docs/CAPACITY.md` is written.

mod capacity_config;
mod capacity_fit;
mod capacity_links;
mod capacity_node;
mod capacity_parts;
mod capacity_store;
mod capacity_subset;
mod capacity_usage;
mod capacity_weights;

use bpaf::Bpaf;
use capacity_node::Mechanism;
use capacity_subset::FleetSize;
use strum::VariantArray;

/// Sizes at which configuration is measured, in nodes.
const CONFIG_SIZES: [usize; 4] = [50, 100, 200, 400];
/// Sizes at which subsets are measured.
const SUBSET_SIZES: [FleetSize; 5] = [
    FleetSize {
        entries: 3,
        agents: 13,
    },
    FleetSize {
        entries: 20,
        agents: 70,
    },
    FleetSize {
        entries: 80,
        agents: 210,
    },
    FleetSize {
        entries: 175,
        agents: 435,
    },
    FleetSize {
        entries: 350,
        agents: 870,
    },
];

/// Sizes at which rollouts are simulated, in workers.
const WEIGHT_SIZES: [usize; 5] = [13, 105, 210, 435, 870];
/// Sizes at which the decision parts are measured, in instances.
const PART_SIZES: [usize; 4] = [50, 200, 600, 1220];

/// Numbers of links that are measured.
const LINK_SIZES: [usize; 4] = [50, 100, 200, 400];

/// What to measure.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Measure {
    /// Change of configuration over real links between light nodes
    #[bpaf(command)]
    Config {
        /// Mechanisms to measure; all without any
        #[bpaf(positional("MECHANISM"))]
        mechanisms: Vec<Mechanism>,
    },
    /// Spread and churn of the subsets that entries use
    #[bpaf(command)]
    Subset,
    /// Time of a rollout of weights, with the real planner before fake engines
    #[bpaf(command)]
    Weights,
    /// Processor time and memory of the decision parts, sizes of the messages
    #[bpaf(command)]
    Parts,
    /// Memory of links and processor time of frames
    #[bpaf(command)]
    Links,
    /// All of it
    #[bpaf(command)]
    All,
}

fn main() {
    let measure = measure().run();
    let mechanisms = match &measure {
        Measure::Config { mechanisms } if !mechanisms.is_empty() => mechanisms,
        Measure::Config { .. } | Measure::All => Mechanism::VARIANTS,
        _ => &[],
    };
    if !mechanisms.is_empty() {
        capacity_config::run(mechanisms, &CONFIG_SIZES);
    }
    if matches!(measure, Measure::Subset | Measure::All) {
        capacity_subset::run(&SUBSET_SIZES);
    }
    if matches!(measure, Measure::Weights | Measure::All) {
        capacity_weights::run(&WEIGHT_SIZES);
    }
    if matches!(measure, Measure::Parts | Measure::All) {
        capacity_parts::run(&PART_SIZES);
    }
    if matches!(measure, Measure::Links | Measure::All) {
        capacity_links::run(&LINK_SIZES);
    }
}
