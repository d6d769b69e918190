//! Reads settings files and collects every fault before giving up.

use derive_more::{Display, Error};
use ini::Ini;
use oleanderlock::prelude::*;
use std::collections::BTreeSet;
use std::path::Path;
use std::str::FromStr;

/// One fault of a settings file.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{place}: {problem}")]
pub struct SettingsFault {
    /// Section and key, for example `[agent] name`.
    pub place: String,
    /// What is wrong, and the values that are valid.
    pub problem: String,
}

/// All faults of a settings file.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{}", list(faults))]
pub struct SettingsFaults {
    /// The faults in the order of the keys read.
    pub faults: Vec<SettingsFault>,
}

fn list(faults: &[SettingsFault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// A settings file being read; faults are collected until [`Settings::finish`].
#[derive(Debug)]
pub struct Settings {
    ini: Ini,
    known: BTreeSet<String>,
    faults: Vec<SettingsFault>,
}

impl Settings {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// One fault when the file can't be read or is no INI file.
    pub fn open(path: &Path) -> Result<Self, SettingsFaults> {
        let text = std::fs::read_to_string(path)
            .map_err(|fault| one_fault(path.display().to_string(), fault.to_string()))?;
        Self::parse(&text)
    }

    /// Reads the text of a file.
    ///
    /// # Errors
    ///
    /// One fault when the text is no INI file.
    pub fn parse(text: &str) -> Result<Self, SettingsFaults> {
        let ini = Ini::load_from_str(text)
            .map_err(|fault| one_fault(format!("line {}", fault.line), fault.msg.to_string()))?;
        Ok(Self {
            ini,
            known: BTreeSet::new(),
            faults: Vec::new(),
        })
    }

    /// Returns the text of a key, or `None` when it is not set.
    pub fn text(&mut self, section: &str, key: &str) -> Option<String> {
        self.known.insert(place(section, key));
        self.ini
            .get_from(Some(section), key)
            .map(|value| value.trim().to_owned())
    }

    /// Returns the text of a key that must be set.
    pub fn required(&mut self, section: &str, key: &str) -> String {
        let found = self.text(section, key).unwrap_or_default();
        if found.is_empty() {
            self.fault(section, key, "must be set");
        }
        found
    }

    /// Returns a parsed value, or `default` when the key is not set.
    pub fn parsed<T: FromStr>(&mut self, section: &str, key: &str, default: T, valid: &str) -> T {
        let Some(text) = self.text(section, key) else {
            return default;
        };
        let Ok(value) = text.parse() else {
            self.fault(
                section,
                key,
                &format!("`{text}` is not valid; expected {valid}"),
            );
            return default;
        };
        value
    }

    /// Returns a length of time with its unit (`250ms`, `5s`), or `default` when not set.
    pub fn length(&mut self, section: &str, key: &str, default: Millis) -> Millis {
        let Some(text) = self.text(section, key) else {
            return default;
        };
        let Some(length) = parse_length(&text) else {
            let problem = format!("`{text}` is not valid; expected a length such as 250ms or 5s");
            self.fault(section, key, &problem);
            return default;
        };
        length
    }

    /// Returns the values of a list that is separated by commas.
    pub fn list(&mut self, section: &str, key: &str) -> Vec<String> {
        let text = self.text(section, key).unwrap_or_default();
        let parts = text
            .split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty());
        parts.map(str::to_owned).collect()
    }

    /// Notes a fault; of several faults of one key the first counts.
    pub fn fault(&mut self, section: &str, key: &str, problem: &str) {
        let place = place(section, key);
        if self.faults.iter().all(|fault| fault.place != place) {
            let problem = problem.to_owned();
            self.faults.push(SettingsFault { place, problem });
        }
    }

    /// Notes a fault of a URL that the process could not call.
    pub fn check_url(&mut self, section: &str, key: &str, url: &str) {
        if !url.starts_with("http://") {
            self.fault(section, key, "must have the form http://IP:PORT");
        }
    }

    /// Ends the reading.
    ///
    /// # Errors
    ///
    /// All faults, those of unknown keys included.
    pub fn finish(mut self) -> Result<(), SettingsFaults> {
        self.note_unknown_keys();
        if self.faults.is_empty() {
            Ok(())
        } else {
            Err(SettingsFaults {
                faults: self.faults,
            })
        }
    }

    fn note_unknown_keys(&mut self) {
        let mut seen = BTreeSet::new();
        for (section, properties) in &self.ini {
            let section = section.unwrap_or_default();
            for (key, _) in properties {
                let place = place(section, key);
                let problem = if !self.known.contains(&place) {
                    self.valid_keys(section)
                } else if seen.insert(place.clone()) {
                    continue;
                } else {
                    "is set twice".to_owned()
                };
                self.faults.push(SettingsFault { place, problem });
            }
        }
    }

    /// Says of an unknown key which keys or sections there are.
    fn valid_keys(&self, section: &str) -> String {
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

fn one_fault(place: String, problem: String) -> SettingsFaults {
    SettingsFaults {
        faults: vec![SettingsFault { place, problem }],
    }
}

fn place(section: &str, key: &str) -> String {
    format!("[{section}] {key}")
}

fn parse_length(text: &str) -> Option<Millis> {
    if let Some(number) = text.strip_suffix("ms") {
        return number.trim().parse().ok().map(Millis);
    }
    let seconds = text.strip_suffix('s')?;
    seconds.trim().parse().ok().map(Millis::from_secs)
}
