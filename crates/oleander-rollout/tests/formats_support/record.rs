//! Recorded texts, one line each, and the comparison with what the build writes.

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Between the name of a line and its text; in neither, because a tab in a text is escaped.
const SEPARATOR: &str = "\t";

/// Reads a recorded text into its type and writes it again.
type Again = Box<dyn Fn(&str) -> Result<String, String>>;

/// One line of a record.
pub struct Line {
    name: String,
    text: String,
    again: Option<Again>,
}

/// A text that the process writes.
pub fn text(name: impl Into<String>, text: impl ToString) -> Line {
    Line {
        name: name.into(),
        text: escape(&text.to_string()),
        again: None,
    }
}

/// A value that is written as JSON and read again: no field may get lost on the way.
pub fn json<T: Serialize + DeserializeOwned + 'static>(name: &str, example: &T) -> Line {
    let again = |recorded: &str| -> Result<String, String> {
        let value: T = serde_json::from_str(recorded).map_err(|fault| fault.to_string())?;
        serde_json::to_string(&value).map_err(|fault| fault.to_string())
    };
    Line {
        name: name.to_owned(),
        text: serde_json::to_string(example).expect("it has a JSON form"),
        again: Some(Box::new(again)),
    }
}

/// The names and types of a JSON value whose numbers and texts differ from run to run.
pub fn shape(value: &Value) -> String {
    match value {
        Value::Null => "null".to_owned(),
        Value::Bool(_) => "bool".to_owned(),
        Value::Number(_) => "number".to_owned(),
        Value::String(_) => "text".to_owned(),
        Value::Array(items) => {
            let shapes: BTreeSet<String> = items.iter().map(shape).collect();
            format!("[{}]", shapes.into_iter().collect::<Vec<_>>().join(" "))
        }
        Value::Object(fields) => {
            let fields = fields
                .iter()
                .map(|(name, field)| format!("{name}:{}", shape(field)));
            format!("{{{}}}", fields.collect::<Vec<_>>().join(" "))
        }
    }
}

/// Where a record stands.
pub fn path(crate_folder: &str, record: &str) -> PathBuf {
    Path::new(crate_folder)
        .join("tests/formats")
        .join(format!("{record}.txt"))
}

/// Fails with every line that differs from the record.
pub fn check(file: &Path, lines: &[Line]) {
    let recorded = fs::read_to_string(file);
    let recorded = recorded.unwrap_or_else(|fault| panic!("{}: {fault}", file.display()));
    let recorded: Vec<(&str, &str)> = recorded
        .lines()
        .map(|line| {
            line.split_once(SEPARATOR)
                .expect("a name, a tab and a text")
        })
        .collect();
    let mut faults = Vec::new();
    for (name, text) in &recorded {
        if !lines.iter().any(|line| line.name == *name) {
            faults.push(format!("`{name}` is recorded, but not written: {text}"));
        }
    }
    for line in lines {
        let Some((_, text)) = recorded.iter().find(|(name, _)| *name == line.name) else {
            faults.push(format!("`{}` is not recorded: {}", line.name, line.text));
            continue;
        };
        if *text != line.text {
            let (name, now) = (&line.name, &line.text);
            faults.push(format!("`{name}`:\n  recorded {text}\n  now      {now}"));
        }
        if let Some(again) = &line.again {
            match again(text) {
                Ok(now) if now == *text => {}
                Ok(now) => faults.push(format!(
                    "`{}` read and written again:\n  recorded {text}\n  now      {now}",
                    line.name
                )),
                Err(fault) => faults.push(format!("`{}` can't be read: {fault}", line.name)),
            }
        }
    }
    let names: BTreeSet<&str> = lines.iter().map(|line| line.name.as_str()).collect();
    assert_eq!(names.len(), lines.len(), "two lines have the same name");
    assert!(
        faults.is_empty(),
        "{}: {} differences\n{}",
        file.display(),
        faults.len(),
        faults.join("\n")
    );
}

/// Writes a record.
pub fn write(file: &Path, lines: &[Line]) {
    let all: Vec<String> = lines
        .iter()
        .map(|line| format!("{}{SEPARATOR}{}\n", line.name, line.text))
        .collect();
    fs::write(file, all.concat()).expect("the record is written");
}

fn escape(text: &str) -> String {
    text.replace('\\', "\\\\")
        .replace('\n', "\\n")
        .replace('\r', "\\r")
        .replace('\t', "\\t")
}
