//! Finds the texts in the sources of a crate, for what no call can produce.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

/// A piece of a source file.
enum Piece {
    /// The text between quotes, as it is written in the source.
    Text(String),
    /// A character that is neither in a text nor in a comment.
    Code(char),
}

/// Returns the texts of a crate with their counts: all but those in comments, attributes of serde,
/// strum and lints, and messages of `expect` and assertions. Names of variables in `{...}` are left out.
pub fn texts(crate_folder: &Path) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for source in sources(&crate_folder.join("src")) {
        let mut code = String::new();
        for piece in pieces(&source) {
            match piece {
                Piece::Code(c) if c.is_whitespace() => {}
                Piece::Code(c) => code.push(c),
                Piece::Text(text) => {
                    if !is_left_out(&code) {
                        *counts.entry(without_variables(&text)).or_default() += 1;
                    }
                    code.push('"');
                }
            }
        }
    }
    counts
}

/// Returns the log events `KIND KEY KEY...` of a crate with their counts. An event is a call with
/// a level and then the kind; its keys stand as `KEY=` in the texts up to the end of the call.
pub fn events(crate_folder: &Path) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for source in sources(&crate_folder.join("src")) {
        let all = pieces(&source);
        let mut code = String::new();
        for (at, piece) in all.iter().enumerate() {
            match piece {
                Piece::Code(c) if c.is_whitespace() => {}
                Piece::Code(c) => code.push(*c),
                Piece::Text(kind) => {
                    let levels = ["Error,", "Warn,", "Info,", "Debug,"];
                    if levels
                        .iter()
                        .any(|level| code.ends_with(&format!("Level::{level}")))
                    {
                        let event = format!("{kind}{}", keys(&all[at + 1..]));
                        *counts.entry(event).or_default() += 1;
                    }
                    code.push('"');
                }
            }
        }
    }
    counts
}

fn keys(rest: &[Piece]) -> String {
    let mut depth = 0;
    let mut keys = String::new();
    for piece in rest {
        match piece {
            Piece::Code('(') => depth += 1,
            Piece::Code(')') if depth == 0 => break,
            Piece::Code(')') => depth -= 1,
            Piece::Code(_) => {}
            Piece::Text(text) => {
                for word in text.split_whitespace() {
                    if let Some((key, _)) = word.split_once('=') {
                        keys.push_str(&format!(" {key}"));
                    }
                }
            }
        }
    }
    keys
}

fn sources(folder: &Path) -> Vec<String> {
    let mut found = Vec::new();
    let entries = fs::read_dir(folder).unwrap_or_else(|_| panic!("{}", folder.display()));
    for entry in entries {
        let path = entry.expect("a file").path();
        if path.is_dir() {
            found.extend(sources(&path));
        } else if path.extension().is_some_and(|end| end == "rs") {
            found.push(fs::read_to_string(&path).expect("a source file"));
        }
    }
    found
}

/// Whether a text behind `code` never leaves the process, or names what a type's record holds.
fn is_left_out(code: &str) -> bool {
    let attribute = code.rfind("#[").or_else(|| code.rfind("#!["));
    let attribute = attribute
        .map(|from| &code[from..])
        .filter(|text| !text.contains(']'));
    let kept_back = [
        "serde", "strum", "allow", "expect", "cfg", "path", "doc", "must_use",
    ];
    attribute.is_some_and(|text| {
        let name = text.trim_start_matches(['#', '!', '[']);
        kept_back.iter().any(|kept| name.starts_with(kept))
    }) || code.ends_with(".expect(")
        || code
            .rfind(';')
            .map_or(code, |from| &code[from..])
            .contains("assert!(")
}

fn pieces(source: &str) -> Vec<Piece> {
    let chars: Vec<char> = source.chars().collect();
    let mut found = Vec::new();
    let mut at = 0;
    while at < chars.len() {
        let rest = &chars[at..];
        let before = at.checked_sub(1).map_or(' ', |before| chars[before]);
        if rest.starts_with(&['/', '/']) {
            at += rest.iter().position(|c| *c == '\n').unwrap_or(rest.len());
        } else if let Some(fence) = raw_fence(rest).filter(|_| !is_word(before)) {
            let body = at + fence + 2;
            let mut end: Vec<char> = vec!['"'];
            end.extend(std::iter::repeat_n('#', fence));
            let length = chars[body..]
                .windows(end.len())
                .position(|part| part == end)
                .expect("the end of a raw text");
            found.push(Piece::Text(chars[body..body + length].iter().collect()));
            at = body + length + end.len();
        } else if rest[0] == '"' {
            let length = text_length(&rest[1..]);
            let text: String = rest[1..=length].iter().collect();
            found.push(Piece::Text(join_lines(&text)));
            at += length + 2;
        } else if rest.starts_with(&['\'', '\\']) {
            at += 3 + rest[3..].iter().position(|c| *c == '\'').unwrap_or(0) + 1;
        } else if rest.len() > 2 && rest[0] == '\'' && rest[2] == '\'' {
            at += 3;
        } else {
            found.push(Piece::Code(rest[0]));
            at += 1;
        }
    }
    found
}

fn is_word(c: char) -> bool {
    c.is_alphanumeric() || c == '_'
}

/// Returns the number of `#` of a raw text that starts here.
fn raw_fence(rest: &[char]) -> Option<usize> {
    let after = rest.strip_prefix(&['r'])?;
    let fence = after.iter().take_while(|c| **c == '#').count();
    (after.get(fence) == Some(&'"')).then_some(fence)
}

fn text_length(body: &[char]) -> usize {
    let mut at = 0;
    while body[at] != '"' {
        at += if body[at] == '\\' { 2 } else { 1 };
    }
    at
}

/// Joins the lines of a text that goes on behind a backslash.
fn join_lines(text: &str) -> String {
    let mut parts = text.split("\\\n");
    let first = parts.next().unwrap_or_default().to_owned();
    parts.fold(first, |joined, part| joined + part.trim_start())
}

/// Leaves out names of variables and constants: `{versions:?}` becomes `{:?}`.
fn without_variables(text: &str) -> String {
    let mut left = String::new();
    let mut rest = text;
    while let Some(from) = rest.find('{') {
        let (before, inner) = rest.split_at(from);
        left.push_str(before);
        let end = inner.find('}');
        let name_end = inner[1..].find(|c| !is_word(c)).unwrap_or(0) + 1;
        match end {
            Some(end) if inner[name_end..].starts_with([':', '}']) => {
                let form: String = inner[name_end..=end]
                    .split_inclusive(|c| !is_word(c))
                    .map(|part| match part.strip_suffix('$') {
                        Some(name) => {
                            let digits = name.chars().take_while(char::is_ascii_digit);
                            format!("{}$", digits.collect::<String>())
                        }
                        None => part.to_owned(),
                    })
                    .collect();
                left.push('{');
                left.push_str(&form);
                rest = &inner[end + 1..];
            }
            _ => {
                let length = if inner.starts_with("{{") { 2 } else { 1 };
                left.push_str(&inner[..length]);
                rest = &inner[length..];
            }
        }
    }
    left + rest
}
