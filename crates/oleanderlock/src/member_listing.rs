//! An instance as the platform lists it.

/// One row of the platform's instance list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberListing {
    /// Name of the instance.
    pub name: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Whether the platform is about to stop it.
    pub leaving: bool,
}
