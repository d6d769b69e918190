//! Kinds of calls to the store.

use strum::{Display, IntoStaticStr, VariantArray};

/// Kinds of calls with separate rates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr, VariantArray)]
#[strum(serialize_all = "lowercase")]
pub enum StoreCall {
    /// A read or a watch.
    Read,
    /// A conditional write.
    Write,
}
