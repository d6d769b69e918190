//! Start-up of the executor that the HTTP servers run on.

use trillium_smol::async_global_executor::{GlobalExecutorConfig, init_with_config};

/// Threads of the executor when the command line names none.
pub const DEFAULT_THREADS: usize = 2;

/// Starts the executor with `threads` threads; later calls change nothing.
pub fn init(threads: usize) {
    let cfg = GlobalExecutorConfig::default()
        .with_min_threads(threads)
        .with_max_threads(threads);
    init_with_config(cfg);
}
