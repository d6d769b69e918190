//! Readings of the configuration that share one result.

use oleander_platform_standins::stand_in_store::StandInStore;
use oleander_platform_standins::store_faults::StoreFaults;
use oleander_rollout::prelude::*;
use oleander_rollout::runtime;
use oleander_rollout::store::config_reader::ConfigReader;
use oleander_rollout::store::confirmation::Confirmation;
use oleander_rollout::store::shared_view::SharedView;
use serde_json::json;
use std::time::Duration;

/// Time that the store takes for a reading that is cancelled.
const SLOW: Duration = Duration::from_millis(300);

/// Guards against callers that are told nothing for a second after another one, whose reading was cancelled
/// when it closed its connection.
#[test]
fn cancelled_reading_does_not_keep_the_next_caller_from_reading() {
    for cancelled_after in [0, 5, 50, 200] {
        let store = StandInStore::spawn();
        store.put(
            "config",
            "main",
            &json!({"version": 4, "routes": [], "services": []}),
        );
        store.set_faults(StoreFaults {
            config_delay: SLOW,
            ..StoreFaults::default()
        });
        runtime::run(async {
            let view = SharedView::default();
            let reader = ConfigReader::new(store.addr(), view.clone(), Confirmation::default());
            let cancelled = within(Millis(cancelled_after), reader.refresh()).await;
            assert_eq!(cancelled, None);
            store.set_faults(StoreFaults::default());
            reader.refresh().await;
            assert!(reader.confirmation().at().is_some(), "{cancelled_after} ms");
            let routes = view.get().routes.clone().expect("a configuration");
            assert_eq!(routes.config.version, 4);
        });
    }
}
