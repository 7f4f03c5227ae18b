//! Prints JSON values as tables.

use serde_json::Value;

/// Prints a title and a table with one column for each of `fields`.
pub(crate) fn print(title: &str, fields: &[&str], rows: &[Value]) {
    println!("{title}:");
    let cells: Vec<Vec<String>> =
        rows.iter().map(|row| fields.iter().map(|it| format_cell(&row[*it])).collect()).collect();
    let width = |at: usize| {
        let lengths = cells.iter().map(|it| it[at].chars().count());
        lengths.chain([fields[at].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..fields.len()).map(width).collect();
    let header: Vec<String> = fields.iter().map(|it| (*it).to_owned()).collect();
    print_row(&header, &widths);
    cells.iter().for_each(|it| print_row(it, &widths));
}

fn print_row(cells: &[String], widths: &[usize]) {
    let padded: Vec<String> =
        cells.iter().zip(widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
    println!("  {}", padded.join("  ").trim_end());
}

fn format_cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(format_cell).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}
