//! Reads settings files and reports all of their errors at once.

use crate::settings_error::SettingsError;
use crate::settings_errors::SettingsErrors;
use ini::Ini;
use oleanderlock::prelude::*;
use std::collections::BTreeSet;
use std::path::Path;
use std::str::FromStr;

/// A settings file that is being read.
///
/// A getter records an error and returns a default, so that one run reports all errors. The values
/// may be used only after [`Settings::finish`] has succeeded.
#[derive(Debug)]
pub struct Settings {
    ini: Ini,
    /// Places of all keys that were asked for; other keys in the file are unknown.
    known: BTreeSet<String>,
    errors: Vec<SettingsError>,
}

impl Settings {
    /// Reads the file at `path`.
    ///
    /// # Errors
    ///
    /// One error when the file can't be read or is not in INI format.
    pub fn open(path: &Path) -> Result<Self, SettingsErrors> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| one_error(path.display().to_string(), error.to_string()))?;
        Self::parse(&text)
    }

    /// Reads the text of a file.
    ///
    /// # Errors
    ///
    /// One error when the text is not in INI format.
    pub fn parse(text: &str) -> Result<Self, SettingsErrors> {
        let ini = Ini::load_from_str(text)
            .map_err(|error| one_error(format!("line {}", error.line), error.msg.to_string()))?;
        Ok(Self {
            ini,
            known: BTreeSet::new(),
            errors: Vec::new(),
        })
    }

    /// Returns the text of a key, or `None` when it is not set.
    pub fn text(&mut self, section: &str, key: &str) -> Option<String> {
        self.known.insert(place(section, key));
        self.ini
            .get_from(Some(section), key)
            .map(|value| value.trim().to_owned())
    }

    /// Returns the text of a key, or records an error when it is missing or empty.
    pub fn required(&mut self, section: &str, key: &str) -> String {
        let found = self.text(section, key).unwrap_or_default();
        if found.is_empty() {
            self.record_error(section, key, "must be set");
        }
        found
    }

    /// Returns a parsed value, or `default` when the key is not set or is invalid.
    ///
    /// `valid` describes the accepted values in the error message.
    pub fn parsed<T: FromStr>(&mut self, section: &str, key: &str, default: T, valid: &str) -> T {
        let Some(text) = self.text(section, key) else {
            return default;
        };
        let Ok(value) = text.parse() else {
            self.record_error(
                section,
                key,
                &format!("`{text}` is not valid; expected {valid}"),
            );
            return default;
        };
        value
    }

    /// Returns a duration with its unit (`250ms`, `5s`), or `default` when it is not set or invalid.
    pub fn duration(&mut self, section: &str, key: &str, default: Millis) -> Millis {
        let Some(text) = self.text(section, key) else {
            return default;
        };
        let Some(duration) = parse_duration(&text) else {
            let problem = format!("`{text}` is not valid; expected a length such as 250ms or 5s");
            self.record_error(section, key, &problem);
            return default;
        };
        duration
    }

    /// Returns the non-empty values of a comma-separated list; empty when the key is not set.
    pub fn list(&mut self, section: &str, key: &str) -> Vec<String> {
        let text = self.text(section, key).unwrap_or_default();
        let parts = text
            .split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty());
        parts.map(str::to_owned).collect()
    }

    /// Records an error of a key; only the first error of each key is kept.
    pub fn record_error(&mut self, section: &str, key: &str, problem: &str) {
        let place = place(section, key);
        if self.errors.iter().all(|error| error.place != place) {
            let problem = problem.to_owned();
            self.errors.push(SettingsError { place, problem });
        }
    }

    /// Records an error unless the URL begins with `http://`.
    pub fn check_url(&mut self, section: &str, key: &str, url: &str) {
        if !url.starts_with("http://") {
            self.record_error(section, key, "must have the form http://IP:PORT");
        }
    }

    /// Checks for unknown and repeated keys, and ends reading.
    ///
    /// # Errors
    ///
    /// All errors of the file, those of unknown and repeated keys included.
    pub fn finish(mut self) -> Result<(), SettingsErrors> {
        self.record_unknown_keys();
        if self.errors.is_empty() {
            Ok(())
        } else {
            Err(SettingsErrors {
                errors: self.errors,
            })
        }
    }

    fn record_unknown_keys(&mut self) {
        let mut seen = BTreeSet::new();
        for (section, properties) in &self.ini {
            let section = section.unwrap_or_default();
            for (key, _) in properties {
                let place = place(section, key);
                let problem = if !self.known.contains(&place) {
                    self.unknown_key_message(section)
                } else if seen.insert(place.clone()) {
                    continue;
                } else {
                    "is set twice".to_owned()
                };
                self.errors.push(SettingsError { place, problem });
            }
        }
    }

    /// Returns the message for an unknown key: the valid keys of its section, or the valid sections
    /// when the section is unknown too.
    fn unknown_key_message(&self, section: &str) -> String {
        let prefix = place(section, "");
        let keys = self.known.iter();
        let keys = keys.filter_map(|known| known.strip_prefix(&prefix));
        let keys: Vec<&str> = keys.collect();
        if keys.is_empty() {
            let names = self
                .known
                .iter()
                .filter_map(|known| known.split(' ').next());
            let names: BTreeSet<&str> = names.collect();
            let names: Vec<&str> = names.into_iter().collect();
            return format!("unknown section; valid sections: {}", names.join(", "));
        }
        format!("unknown key; valid keys: {}", keys.join(", "))
    }
}

fn one_error(place: String, problem: String) -> SettingsErrors {
    SettingsErrors {
        errors: vec![SettingsError { place, problem }],
    }
}

fn place(section: &str, key: &str) -> String {
    format!("[{section}] {key}")
}

fn parse_duration(text: &str) -> Option<Millis> {
    if let Some(number) = text.strip_suffix("ms") {
        return number.trim().parse().ok().map(Millis);
    }
    let seconds = text.strip_suffix('s')?;
    seconds.trim().parse().ok().map(Millis::from_secs)
}
