//! Reports of measured values by size as JSON and as a Markdown table, with a fitted line for each column.

use std::fmt::{Display, Write};

use celerytide_load::machine::Machine;

use crate::{
    error::{Error, InvalidSizesSnafu},
    linear_fit::{Line, Point},
    proc,
};

celerytide_types::data! {
    /// Measured value.
    pub struct Value {
        /// Name of the column, with its unit.
        pub name: String,
        /// Value; NaN if there is none.
        pub value: f64,
    }

    /// Values measured at one size.
    pub struct Row {
        /// Size.
        pub size: usize,
        /// Values, with the same names in each row.
        pub values: Vec<Value>,
        /// Load averages at the end of the measurement.
        pub load: String,
    }

    /// Line fitted to a column.
    pub struct FittedColumn {
        /// Name of the column.
        pub name: String,
        /// Fitted line.
        pub line: Line,
    }

    /// Results of one subcommand.
    pub struct Report {
        /// Title of the table.
        pub title: String,
        /// Unit of the size, for example `instances`.
        pub size: String,
        /// Machine and build.
        pub machine: Machine,
        /// One row per size.
        pub rows: Vec<Row>,
        /// Fitted lines by column.
        pub lines: Vec<FittedColumn>,
    }
}

impl Row {
    /// Creates a row without values, with the current load averages.
    pub fn new(size: usize) -> Self {
        Self {
            size,
            values: Vec::new(),
            load: proc::load_averages(),
        }
    }

    /// Adds a value to the row.
    #[must_use]
    pub fn with(mut self, name: &str, value: f64) -> Self {
        let name = name.to_owned();
        self.values.push(Value { name, value });
        self
    }
}

impl Report {
    /// Creates a report and fits a line to each column.
    pub fn new(title: &str, size: &str, rows: Vec<Row>) -> Self {
        let names: Vec<String> = rows.first().map(column_names).unwrap_or_default();
        let line = |name: &String| {
            let line = Line::fit(&column_points(&rows, name))?;
            let name = name.clone();
            Some(FittedColumn { name, line })
        };
        let lines = names.iter().filter_map(line).collect();
        Self {
            title: title.to_owned(),
            size: size.to_owned(),
            machine: Machine::read(),
            rows,
            lines,
        }
    }

    /// Prints one line of JSON, then the table.
    pub fn print(&self) {
        println!(
            "{}\n\n{}",
            serde_json::to_string(self).unwrap_or_default(),
            self.markdown()
        );
    }

    /// Formats the report as a Markdown table.
    pub fn markdown(&self) -> String {
        let names = self.rows.first().map(column_names).unwrap_or_default();
        let mut text = format!("### {}\n\n", self.title);
        write_row(&mut text, &self.size, names.iter().map(String::as_str), "load average");
        write_row(&mut text, "---", names.iter().map(|_| "---"), "---");
        for row in &self.rows {
            let values = row.values.iter().map(|value| format_value(value.value));
            let load = row.load.split(' ').next().unwrap_or_default();
            write_row(&mut text, &row.size.to_string(), values, load);
        }
        let line = |name: &String| self.lines.iter().find(|fitted| &fitted.name == name);
        let line_cell =
            |name, get: LineValue| line(name).map_or(String::new(), |fitted| format_value(get(&fitted.line)));
        let kinds: [(&str, LineValue); 3] = [
            ("for each one more", |line| line.slope),
            ("at none", |line| line.at_zero),
            ("explained by the line", |line| line.explained),
        ];
        for (kind, get) in kinds {
            write_row(&mut text, kind, names.iter().map(|name| line_cell(name, get)), "");
        }
        text
    }
}

type LineValue = fn(&Line) -> f64;

fn write_row<T: Display>(text: &mut String, first: &str, cells: impl Iterator<Item = T>, last: &str) {
    // Writing to a string does not fail.
    let _ = write!(text, "| {first} |");
    for cell in cells {
        let _ = write!(text, " {cell} |");
    }
    let _ = writeln!(text, " {last} |");
}

/// Parses a comma-separated list of sizes.
pub fn parse_sizes(text: &str) -> Result<Vec<usize>, Error> {
    let sizes: Option<Vec<usize>> = text.split(',').map(|size| size.trim().parse().ok()).collect();
    match sizes {
        Some(sizes) => Ok(sizes),
        None => InvalidSizesSnafu { text }.fail(),
    }
}

fn column_names(row: &Row) -> Vec<String> {
    row.values.iter().map(|value| value.name.clone()).collect()
}

fn column_points(rows: &[Row], name: &str) -> Vec<Point> {
    let point = |row: &Row| {
        let value = row.values.iter().find(|value| value.name == name)?.value;
        let size = row.size as f64;
        value.is_finite().then_some(Point { size, value })
    };
    rows.iter().filter_map(point).collect()
}

/// Formats a value with four significant digits.
fn format_value(value: f64) -> String {
    const SIGNIFICANT_DIGITS: i32 = 4;
    if value == 0.0 || !value.is_finite() {
        return format!("{value}");
    }
    let whole = value.abs().log10().floor() as i32 + 1;
    let decimals = usize::try_from(SIGNIFICANT_DIGITS - whole).unwrap_or(0);
    format!("{value:.decimals$}")
}
