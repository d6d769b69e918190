//! Line numbers of sections and keys, which the INI parser does not report.

/// The line of one section header or key.
#[derive(Clone, Debug, PartialEq, Eq)]
struct IniLine {
    section: String,
    /// Empty for a section header.
    key: String,
    /// Counted from one.
    line: usize,
}

/// Index of the lines of section headers and keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IniLines {
    lines: Vec<IniLine>,
}

impl IniLines {
    /// Indexes the section headers and keys of `text`.
    pub fn parse(text: &str) -> Self {
        let mut lines = Vec::new();
        let mut section = String::new();
        for (index, row) in text.lines().enumerate() {
            let row = row.trim();
            let Some(key) = key_of(row, &mut section) else {
                continue;
            };
            lines.push(IniLine {
                section: section.clone(),
                key,
                line: index + 1,
            });
        }
        Self { lines }
    }

    /// Returns the line of the `nth` occurrence, counted from zero, of `key` in `section`; an empty
    /// `key` stands for the section header. Returns 1 if there is no such occurrence.
    pub fn line(&self, section: &str, key: &str, nth: usize) -> usize {
        let same = |found: &&IniLine| found.section == section && found.key == key;
        let found = self.lines.iter().filter(same).nth(nth);
        found.map_or(1, |found| found.line)
    }
}

/// Returns the key of a row; for a section header, sets `section` and returns an empty key.
/// Returns `None` for comments and other rows.
fn key_of(row: &str, section: &mut String) -> Option<String> {
    if row.starts_with([';', '#']) {
        return None;
    }
    if let Some(header) = row.strip_prefix('[') {
        let end = header.find(']').unwrap_or(header.len());
        *section = header[..end].trim().to_owned();
        return Some(String::new());
    }
    let end = row.find(['=', ':'])?;
    Some(row[..end].trim().to_owned())
}
