//! Features that a deployment asks for.

use oleander_base::settings::Settings;

/// Features that a deployment asks for by the contracts that are in force there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FeatureSettings {
    /// Choose endpoints so that many processes load them evenly.
    pub even_load: bool,
    /// Bound the bytes that wait in this process.
    pub bounded_bytes: bool,
}

impl FeatureSettings {
    /// Reads the settings.
    pub fn read(settings: &mut Settings) -> Self {
        let contracts = settings.list("deployment", "contracts");
        let has = |name: &str| contracts.iter().any(|contract| contract == name);
        Self {
            even_load: has("pool"),
            bounded_bytes: has("pressure"),
        }
    }
}
