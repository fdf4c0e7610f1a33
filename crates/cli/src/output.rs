use std::io::Write;

use serde::Serialize;

/// Prints a value as one line of JSON.
pub(crate) fn print_json<T: Serialize>(value: &T) {
    match serde_json::to_string(value) {
        Ok(line) => print_line(&line),
        Err(error) => eprintln!("sesamedeal: result cannot be printed: {error}"),
    }
}

/// Prints rows in columns as wide as their widest cell.
pub(crate) fn print_table<const N: usize>(titles: [&str; N], rows: &[[String; N]]) {
    let mut widths = titles.map(str::len);
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.len());
        }
    }
    print_row(&widths, &titles);
    for row in rows {
        print_row(&widths, &row.each_ref().map(String::as_str));
    }
}

fn print_row<const N: usize>(widths: &[usize; N], cells: &[&str; N]) {
    let padded: Vec<String> = widths
        .iter()
        .zip(cells)
        .map(|(width, cell)| format!("{cell:width$}"))
        .collect();
    print_line(padded.join("  ").trim_end());
}

/// Prints a line. A reader that has closed the pipe, such as `head`, wants no more lines.
pub(crate) fn print_line(line: &str) {
    drop(writeln!(std::io::stdout(), "{line}"));
}
