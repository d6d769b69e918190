//! Output as text or JSON.

use serde_json::Value;

/// Prints one result to standard output: `json` on one line, or `text` unless it is empty.
pub fn print(as_json: bool, json: &Value, text: &str) {
    if as_json {
        println!("{json}");
    } else if !text.is_empty() {
        println!("{}", text.trim_end());
    }
}

/// Formats rows in columns that are as wide as their widest cell.
pub fn table<const N: usize>(head: [&str; N], rows: &[[String; N]]) -> String {
    let mut widths = head.map(str::len);
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.len());
        }
    }
    let head = head.map(str::to_owned);
    let lines = std::iter::once(&head)
        .chain(rows)
        .map(|row| line(row, &widths));
    lines.collect::<Vec<String>>().join("\n")
}

fn line<const N: usize>(row: &[String; N], widths: &[usize; N]) -> String {
    let cells = row
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:width$}"));
    cells
        .collect::<Vec<String>>()
        .join("  ")
        .trim_end()
        .to_owned()
}
