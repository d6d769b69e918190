//! Age of the last successful call to the store, by which a leader is judged.

use oleander_platform_standins::stand_in_store::StandInStore;
use oleander_rollout::prelude::*;
use oleander_rollout::runtime;
use oleander_rollout::store::store_client::StoreClient;
use oleander_rollout::store::store_health::StoreHealth;

/// Wait of the watch.
const WATCH_WAIT: Millis = Millis(600);
/// Time after which another call is made.
const CALL_AFTER: Millis = Millis(400);

#[test]
fn a_watch_that_ends_does_not_make_the_last_success_older() {
    let store = StandInStore::spawn();
    runtime::run(async {
        let client = StoreClient::new(store.addr(), StoreHealth::default());
        let watch = client.watch("servers", 1, WATCH_WAIT);
        let call = async {
            sleep(CALL_AFTER).await;
            client.get("servers", "x").await
        };
        let (watched, called) = futures_util::future::join(watch, call).await;
        assert!(watched.is_ok() && called.is_ok());
        assert!(client.last_success_age() < WATCH_WAIT);
    });
}
