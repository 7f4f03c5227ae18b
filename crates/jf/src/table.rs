//! Tables that a person can read.

use serde_json::Value;

/// Prints the named fields of each row under their names.
pub(crate) fn show(title: &str, fields: &[&str], rows: &[Value]) {
    println!("{title}:");
    let lines: Vec<Vec<String>> =
        rows.iter().map(|row| fields.iter().map(|it| cell(&row[*it])).collect()).collect();
    let width = |at: usize| {
        let cells = lines.iter().map(|it| it[at].chars().count());
        cells.chain([fields[at].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..fields.len()).map(width).collect();
    let head: Vec<String> = fields.iter().map(|it| (*it).to_owned()).collect();
    print_row(&head, &widths);
    lines.iter().for_each(|it| print_row(it, &widths));
}

fn print_row(cells: &[String], widths: &[usize]) {
    let padded: Vec<String> =
        cells.iter().zip(widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
    println!("  {}", padded.join("  ").trim_end());
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(cell).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}
