//! The configuration in force, with which another one is compared.

use bpaf::Bpaf;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The configuration in force, with which another one is compared.
#[derive(Bpaf, Clone, Debug, PartialEq, Eq)]
pub enum Against {
    /// That of a file.
    File(
        /// Compare with the configuration in FILE
        #[bpaf(long("against"), argument("FILE"))]
        PathBuf,
    ),
    /// That of the platform's store.
    Store(
        /// Compare with the configuration in the platform's store at ADDR
        #[bpaf(long("against-store"), argument("ADDR"))]
        SocketAddr,
    ),
}
