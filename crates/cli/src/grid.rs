//! Output of rows as aligned columns of text.

/// Lays out rows below a heading. Columns are two spaces apart; rows have no trailing spaces.
pub(crate) fn render<const N: usize>(heading: [&str; N], rows: &[[String; N]]) -> String {
    let heading = heading.map(str::to_owned);
    let lines = || std::iter::once(&heading).chain(rows);
    let width = |column: usize| lines().map(|row| row[column].chars().count()).max();
    let widths: [usize; N] = std::array::from_fn(|column| width(column).unwrap_or(0));
    let line = |row: &[String; N]| {
        let cells = row.iter().zip(widths);
        let cells: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        cells.join("  ").trim_end().to_owned() + "\n"
    };
    lines().map(line).collect()
}

/// Formats a value, or `-` if there is none.
pub(crate) fn cell(value: Option<impl ToString>) -> String {
    value.map_or("-".to_owned(), |value| value.to_string())
}

/// Formats a number of things, such as `1 target` or `2 targets`.
pub(crate) fn count(number: usize, thing: &str) -> String {
    match number {
        1 => format!("1 {thing}"),
        _ => format!("{number} {thing}s"),
    }
}

/// Joins values with spaces, or returns `-` if there are none.
pub(crate) fn join<T: ToString>(values: impl IntoIterator<Item = T>) -> String {
    let values: Vec<String> = values.into_iter().map(|value| value.to_string()).collect();
    match values.is_empty() {
        true => "-".to_owned(),
        false => values.join(" "),
    }
}

/// Formats milliseconds since the Unix epoch as a UTC time, such as `2026-01-31 23:59:59`.
pub(crate) fn time(written_ms: u64) -> String {
    let seconds = written_ms / 1_000;
    let (year, month, day) = date(seconds / 86_400);
    let (hour, minute, second) = (seconds / 3_600 % 24, seconds / 60 % 60, seconds % 60);
    format!("{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{second:02}")
}

/// Converts days since 1970-01-01 to a Gregorian date.
fn date(mut days: u64) -> (u64, u64, u64) {
    let leap = |year: u64| {
        year.is_multiple_of(4) && (!year.is_multiple_of(100) || year.is_multiple_of(400))
    };
    // Every 400 years have 146,097 days. Skipping them first bounds the loop below.
    let mut year = 1970 + days / 146_097 * 400;
    days %= 146_097;
    while days >= 365 + u64::from(leap(year)) {
        days -= 365 + u64::from(leap(year));
        year += 1;
    }
    let february = 28 + u64::from(leap(year));
    let mut month = 1;
    for length in [31, february, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31] {
        if days < length {
            break;
        }
        days -= length;
        month += 1;
    }
    (year, month, days + 1)
}
