//! The actions of a soak, drawn from its seed.

use super::action::Action;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// An action with its times.
#[derive(Clone, Copy, Debug)]
pub struct PlannedAction {
    /// Time from the start of the soak to the start of the action.
    pub start: Duration,
    pub duration: Duration,
    pub action: Action,
}

/// Longest power cut of all entries, in milliseconds.
const POWER_CUT_MAX_MS: u64 = 1500;

/// Retirements in a soak, which may overlap so that no dispatcher's machine stays.
const RETIREMENTS: usize = 3;

/// Draws `count` actions, a power cut of all entries and retirements that start within `time`, in the
/// order of their start.
pub fn plan(seed: u64, count: usize, time: Duration) -> Vec<PlannedAction> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut plan: Vec<PlannedAction> = (0..count)
        .map(|_| PlannedAction {
            start: time.mul_f64(rng.random::<f64>()),
            duration: Duration::from_millis(rng.random_range(100..5000)),
            action: action(&mut rng),
        })
        .collect();
    // Drawn last, so that the other actions of a seed stay as they were before there were these.
    plan.push(PlannedAction {
        start: time.mul_f64(rng.random::<f64>()),
        duration: Duration::from_millis(rng.random_range(100..POWER_CUT_MAX_MS)),
        action: Action::PowerCut {
            engine: rng.random_range(0..1000),
        },
    });
    for _ in 0..RETIREMENTS {
        plan.push(PlannedAction {
            start: time.mul_f64(rng.random::<f64>()),
            duration: Duration::from_millis(rng.random_range(100..5000)),
            action: Action::Retire {
                dispatcher: rng.random_range(0..1000),
            },
        });
    }
    plan.sort_by_key(|planned| planned.start);
    plan
}

fn action(rng: &mut StdRng) -> Action {
    let kind = rng.random_range(0..33);
    let target = rng.random_range(0..1000);
    match kind {
        0 | 1 => Action::StoreDown {
            watches_wait: rng.random(),
        },
        2 => Action::StoreLoses {
            one_in: rng.random_range(2..5),
        },
        3 => Action::StoreCompacts,
        4..=6 => Action::Kill { node: target },
        7 | 8 => Action::Pause { node: target },
        9 | 10 => Action::Stop { node: target },
        11 => Action::KillAll,
        12 => Action::Delay {
            link: target,
            ms: rng.random_range(20..400),
        },
        13 | 14 => {
            let one_way: bool = rng.random();
            let to_target: bool = rng.random();
            Action::Cut {
                link: target,
                to_target: !one_way || to_target,
                from_target: !one_way || !to_target,
            }
        }
        15 => Action::Refuse { link: target },
        16 => Action::Silence { link: target },
        17 => Action::Reset { link: target },
        18 => Action::SlowEngine { engine: target },
        19 => Action::BreakStreams { engine: target },
        20 => Action::LoseOrders { engine: target },
        21 => Action::RestartEngine { engine: target },
        22 => Action::FaultyService {
            service: target,
            treatment: rng.random_range(0..1000),
        },
        23 => Action::PauseLeader,
        24 => Action::KillLeader,
        25 => Action::CutLeader,
        26 | 27 => Action::LimitService {
            service: target,
            tenths: rng.random_range(5..80),
        },
        28 => Action::LimitEngine {
            engine: target,
            tenths: rng.random_range(5..80),
        },
        29 => Action::LeavingEngine { engine: target },
        30 => Action::CrashService { service: target },
        31 => Action::Signals { node: target },
        _ => Action::NewConfig,
    }
}
