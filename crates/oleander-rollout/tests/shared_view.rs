//! The shared view, which the control thread and the traffic thread both update.

use oleander_rollout::store::shared_view::SharedView;
use std::thread;

/// Updates by each thread.
const UPDATES: u64 = 20_000;

#[test]
fn concurrent_updates_are_not_lost() {
    let view = SharedView::default();
    thread::scope(|scope| {
        for name in ["a", "b"] {
            let view = view.clone();
            scope.spawn(move || {
                for _ in 0..UPDATES {
                    view.update(|view| *view.versions.entry(name.to_owned()).or_default() += 1);
                }
            });
        }
    });
    for name in ["a", "b"] {
        assert_eq!(
            view.get().versions[name],
            UPDATES,
            "updates of thread {name}"
        );
    }
}
