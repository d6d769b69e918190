//! Starts runs of items while the engine has slots.

use super::agent_process::Agent;
use super::run::run_item;
use super::state::Told;
use crate::peer::messages::ReturnReason;
use crate::runtime::spawn_task;
use std::rc::Rc;

/// Starts items that wait, as far as the engine has slots.
pub fn start_waiting(agent: &Rc<Agent>) {
    let Some(endpoint) = agent.ready_endpoint() else {
        return;
    };
    let mut stale = false;
    {
        let mut state = agent.state.borrow_mut();
        let mut free = endpoint.slots.saturating_sub(state.running());
        for key in state.waiting() {
            if free == 0 {
                break;
            }
            let name = key.to_string();
            let Some(item) = state.items.get(&name) else {
                continue;
            };
            let work = item.work.clone();
            if state.loading.as_ref() == Some(&work.model) {
                continue;
            }
            match state.version_of(&work.model) {
                None => continue,
                Some(version) if version < work.oldest_version => {
                    stale = true;
                    continue;
                }
                Some(_) => {}
            }
            let run = spawn_task(run_item(Rc::clone(agent), work));
            let item = &mut state.items[&name];
            item.run = Some(run);
            item.told = Told {
                run: rand::random(),
                ..Told::default()
            };
            free -= 1;
        }
    }
    if stale {
        give_back_stale(agent);
    }
}

/// Gives back the items whose weights the engine does not have any more, as after a restart.
fn give_back_stale(agent: &Agent) {
    let mut state = agent.state.borrow_mut();
    for key in state.waiting() {
        let Some(item) = state.items.get(&key.to_string()) else {
            continue;
        };
        let version = state.version_of(&item.work.model);
        let progress = item.work.progress.clone();
        if version.is_some_and(|version| version < item.work.oldest_version) {
            state.give_back(crate::peer::messages::ReturnedItem {
                key,
                reason: ReturnReason::TooOld,
                progress,
            });
        }
    }
    drop(state);
    agent.notify();
}
