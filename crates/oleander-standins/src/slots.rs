//! A bound on how many calls run at once, first come first served.

use async_channel::Sender;
use parking_lot::Mutex;
use std::collections::VecDeque;
use std::sync::Arc;

#[derive(Debug, Default)]
struct Gate {
    running: usize,
    waiting: VecDeque<Sender<()>>,
}

/// Places for calls; the bound may change while calls run.
#[derive(Clone, Debug, Default)]
pub struct Slots(Arc<Mutex<Gate>>);

/// One taken place; dropping it frees the place.
#[derive(Debug)]
pub struct Slot(Slots);

impl Slots {
    /// Waits for one of `capacity` places.
    pub async fn take(&self, capacity: usize) -> Slot {
        loop {
            let rx = {
                let mut gate = self.0.lock();
                if gate.running < capacity.max(1) {
                    gate.running += 1;
                    return Slot(self.clone());
                }
                let (tx, rx) = async_channel::bounded(1);
                gate.waiting.push_back(tx);
                rx
            };
            let _ = rx.recv().await;
        }
    }

    fn free(&self) {
        let mut gate = self.0.lock();
        gate.running -= 1;
        while let Some(tx) = gate.waiting.pop_front() {
            if tx.try_send(()).is_ok() {
                break;
            }
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.free();
    }
}
