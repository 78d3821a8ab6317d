//! Types and bounds of single fields, compiled from a JSON Schema, and the check of a document against them.

mod compile;
mod validate;

pub(crate) use compile::compile;
pub(crate) use validate::validate;

use crate::formats::Format;

/// Type and bounds of a value.
#[derive(Debug, Clone)]
pub(crate) enum Shape {
    /// A mapping with no other fields than these.
    Object(Vec<FieldShape>),
    /// A list whose items have one shape.
    List { item: Box<Shape>, min_items: usize },
    /// Text in a format.
    Text(Format),
    /// One of these texts.
    Choice(Vec<String>),
    /// An integer in an inclusive range.
    Integer { min: i128, max: i128 },
    /// A number in a range.
    Number(NumberRange),
    /// A boolean.
    Bool,
}

/// One field of an object.
#[derive(Debug, Clone)]
pub(crate) struct FieldShape {
    pub(crate) name: String,
    pub(crate) required: bool,
    pub(crate) shape: Shape,
}

/// Range of a number.
#[derive(Debug, Clone, Copy)]
pub(crate) struct NumberRange {
    pub(crate) min: f64,
    /// Whether `min` itself is out of range.
    pub(crate) is_min_exclusive: bool,
    pub(crate) max: f64,
}

impl NumberRange {
    fn contains(self, value: f64) -> bool {
        if !value.is_finite() {
            return false;
        }
        let is_above_min = if self.is_min_exclusive {
            value > self.min
        } else {
            value >= self.min
        };
        is_above_min && value <= self.max
    }

    fn allowed(self) -> String {
        match (self.is_min_exclusive, self.max.is_finite()) {
            (true, false) => format!("a number above {}", self.min),
            (true, true) => format!("a number above {} and up to {}", self.min, self.max),
            (false, false) => format!("a number of at least {}", self.min),
            (false, true) => format!("a number from {} to {}", self.min, self.max),
        }
    }
}

impl Shape {
    /// What the value may be, for fault messages.
    pub(crate) fn allowed(&self) -> String {
        match self {
            Shape::Object(fields) => format!("a block with the fields {}", field_names(fields)),
            Shape::List { min_items: 0, .. } => "a list".to_owned(),
            Shape::List { min_items, .. } => format!("a list of at least {min_items}"),
            Shape::Text(format) => format.allowed().to_owned(),
            Shape::Choice(choices) => format!("one of {}", choices.join(", ")),
            Shape::Integer { min, max } if min == max => format!("{min}"),
            Shape::Integer { min, max } if *max == u64::MAX.into() => format!("a whole number of at least {min}"),
            Shape::Integer { min, max } => format!("a whole number from {min} to {max}"),
            Shape::Number(range) => range.allowed(),
            Shape::Bool => "true or false".to_owned(),
        }
    }
}

/// The fields' names, for fault messages.
pub(crate) fn field_names(fields: &[FieldShape]) -> String {
    let names: Vec<&str> = fields.iter().map(|field| field.name.as_str()).collect();
    names.join(", ")
}
