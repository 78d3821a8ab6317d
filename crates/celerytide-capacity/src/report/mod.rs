//! Measured values by size, as JSON and as a Markdown table with a fitted line for each column.

use std::fmt::{Display, Write};

use celerytide_load::machine::Machine;

use crate::{
    error::{Error, SizesSnafu},
    fit::{Line, Point},
    proc,
};

celerytide_types::data! {
    /// One value.
    pub struct Value {
        /// What it is, with its unit.
        pub name: String,
        /// The value.
        pub value: f64,
    }

    /// What was measured at one size.
    pub struct Row {
        /// The size.
        pub size: usize,
        /// The values, the same names in each row.
        pub values: Vec<Value>,
        /// Load averages at the end of this size.
        pub load: String,
    }

    /// A column's line.
    pub struct Fitted {
        /// The column.
        pub name: String,
        /// Its line.
        pub line: Line,
    }

    /// One subcommand's results.
    pub struct Report {
        /// What was measured.
        pub title: String,
        /// What the size counts.
        pub size: String,
        /// The machine.
        pub machine: Machine,
        /// By size.
        pub rows: Vec<Row>,
        /// By column.
        pub lines: Vec<Fitted>,
    }
}

impl Row {
    /// A row without values, with the load averages of now.
    pub fn new(size: usize) -> Self {
        Self {
            size,
            values: Vec::new(),
            load: proc::load(),
        }
    }

    /// The row with one more value.
    #[must_use]
    pub fn with(mut self, name: &str, value: f64) -> Self {
        let name = name.to_owned();
        self.values.push(Value { name, value });
        self
    }
}

impl Report {
    /// Fits the columns of the rows.
    pub fn new(title: &str, size: &str, rows: Vec<Row>) -> Self {
        let names: Vec<String> = rows.first().map(names).unwrap_or_default();
        let line = |name: &String| {
            let line = Line::through(&points(&rows, name))?;
            let name = name.clone();
            Some(Fitted { name, line })
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

    /// The Markdown table.
    pub fn markdown(&self) -> String {
        let names = self.rows.first().map(names).unwrap_or_default();
        let mut text = format!("### {}\n\n", self.title);
        add(&mut text, &self.size, names.iter().map(String::as_str), "load average");
        add(&mut text, "---", names.iter().map(|_| "---"), "---");
        for row in &self.rows {
            let values = row.values.iter().map(|value| short(value.value));
            let load = row.load.split(' ').next().unwrap_or_default();
            add(&mut text, &row.size.to_string(), values, load);
        }
        let line = |name: &String| self.lines.iter().find(|fitted| &fitted.name == name);
        let of = |name, get: Get| line(name).map_or(String::new(), |fitted| short(get(&fitted.line)));
        let kinds: [(&str, Get); 3] = [
            ("for each one more", |line| line.slope),
            ("at none", |line| line.at_zero),
            ("explained by the line", |line| line.explained),
        ];
        for (kind, get) in kinds {
            add(&mut text, kind, names.iter().map(|name| of(name, get)), "");
        }
        text
    }
}

type Get = fn(&Line) -> f64;

fn add<T: Display>(text: &mut String, first: &str, cells: impl Iterator<Item = T>, last: &str) {
    // Writing to a string does not fail.
    let _ = write!(text, "| {first} |");
    for cell in cells {
        let _ = write!(text, " {cell} |");
    }
    let _ = writeln!(text, " {last} |");
}

/// Sizes with commas between them.
pub fn sizes(text: &str) -> Result<Vec<usize>, Error> {
    let sizes: Option<Vec<usize>> = text.split(',').map(|size| size.trim().parse().ok()).collect();
    match sizes {
        Some(sizes) => Ok(sizes),
        None => SizesSnafu { text }.fail(),
    }
}

fn names(row: &Row) -> Vec<String> {
    row.values.iter().map(|value| value.name.clone()).collect()
}

fn points(rows: &[Row], name: &str) -> Vec<Point> {
    let point = |row: &Row| {
        let value = row.values.iter().find(|value| value.name == name)?.value;
        let size = row.size as f64;
        value.is_finite().then_some(Point { size, value })
    };
    rows.iter().filter_map(point).collect()
}

/// Four significant digits.
fn short(value: f64) -> String {
    const DIGITS: i32 = 4;
    if value == 0.0 || !value.is_finite() {
        return format!("{value}");
    }
    let whole = value.abs().log10().floor() as i32 + 1;
    let decimals = usize::try_from(DIGITS - whole).unwrap_or(0);
    format!("{value:.decimals$}")
}
