//! Settings of the check of API keys.

use oleander_base::settings::Settings;
use oleanderlock::prelude::*;
use oleanderlock::workspaces::key_policy::KeyPolicy;

/// Default of [`KeySettings::confirm_within`].
const CONFIRM_WITHIN_DEFAULT: Millis = Millis::from_secs(5);
/// Default of [`KeySettings::config_within`].
const CONFIG_WITHIN_DEFAULT: Millis = Millis::from_secs(3);

/// Settings of the check of API keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeySettings {
    /// Whether keys are refused while the configuration is not confirmed.
    pub strict: bool,
    /// Time without confirmation of the configuration after which that applies.
    pub confirm_within: Millis,
    /// Time within which a change of the configuration must be in force.
    pub config_within: Millis,
}

impl KeySettings {
    /// Reads the settings.
    pub fn read(settings: &mut Settings) -> Self {
        Self {
            strict: settings.parsed("keys", "strict", false, "true or false"),
            confirm_within: settings.duration("keys", "confirm_within", CONFIRM_WITHIN_DEFAULT),
            config_within: settings.duration("keys", "config_within", CONFIG_WITHIN_DEFAULT),
        }
    }

    /// Returns the rules that follow from the settings.
    pub fn policy(&self) -> KeyPolicy {
        KeyPolicy {
            strict: self.strict,
            confirm_within: self.confirm_within,
            config_within: self.config_within,
        }
    }
}
