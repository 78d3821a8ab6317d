//! First pass of a check: each field by itself.
//!
//! A faulty value is replaced by a placeholder of its shape, so that the document can still be deserialized and the
//! checks between fields still run. Those checks skip replaced fields.

use std::collections::HashSet;

use serde_json::{Map, Value};

use super::{FieldShape, Shape, field_names};
use crate::formats::Format;
use crate::report::Report;
use crate::yaml::{Content, Entry, Node};

/// Checks each field of `node`, parsed from `text`, by itself; returns the document with each faulty value replaced.
pub(crate) fn validate(shape: &Shape, node: &Node, text: &str, report: &mut Report<'_>) -> Value {
    let mut validator = Validator {
        report,
        text,
        path: String::new(),
    };
    validator.check_value(shape, node)
}

struct Validator<'r, 'n> {
    report: &'r mut Report<'n>,
    /// Text of the document, from which numbers are read as written.
    text: &'r str,
    path: String,
}

impl Validator<'_, '_> {
    fn check_value(&mut self, shape: &Shape, node: &Node) -> Value {
        match (shape, &node.content) {
            (Shape::Object(fields), Content::Object(entries)) => self.check_object(fields, entries, node),
            (Shape::List { item, min_items }, Content::List(nodes)) => {
                if nodes.len() < *min_items {
                    self.report_and_replace(shape, node, "too few entries".to_owned());
                }
                self.check_list(item, nodes)
            }
            (Shape::Text(format), Content::Text(text)) => self.check_text(*format, text, node),
            (Shape::Text(format), found) if format.accepts_numbers() && found.is_number_or_bool() => {
                let source_text = node.source_text(self.text).unwrap_or_default();
                self.check_text(*format, source_text, node)
            }
            (Shape::Choice(choices), Content::Text(text)) => match choices.contains(text) {
                true => Value::from(text.as_str()),
                false => self.report_and_replace(shape, node, format!("{text:?} is unknown")),
            },
            (Shape::Integer { min, max }, Content::Integer(value)) => match integer(*value, *min, *max) {
                Some(value) => value,
                None => self.report_and_replace(shape, node, format!("{value} is out of range")),
            },
            (Shape::Number(range), Content::Integer(_) | Content::Float(_)) => {
                let value = number(&node.content);
                match range.contains(value) {
                    true => Value::from(value),
                    false => self.report_and_replace(shape, node, format!("{value} is out of range")),
                }
            }
            (Shape::Bool, Content::Bool(value)) => Value::from(*value),
            (_, found) => self.report_and_replace(shape, node, mismatch(shape, found)),
        }
    }

    fn check_text(&mut self, format: Format, text: &str, node: &Node) -> Value {
        match format.fault(text) {
            Some(message) => self.report_and_replace(&Shape::Text(format), node, message),
            None => Value::from(text),
        }
    }

    fn check_object(&mut self, fields: &[FieldShape], entries: &[Entry], node: &Node) -> Value {
        let mut seen = HashSet::with_capacity(entries.len());
        for entry in entries {
            if !seen.insert(entry.key.as_str()) {
                self.reject_key(entry, "repeated field", "each field once".to_owned());
            } else if !fields.iter().any(|field| field.name == entry.key) {
                self.reject_key(entry, "unknown field", format!("one of {}", field_names(fields)));
            }
        }
        let mut object = Map::with_capacity(fields.len());
        for field in fields {
            let depth = self.path.len();
            self.push_field(&field.name);
            if let Some(value) = self.check_field(field, node) {
                object.insert(field.name.clone(), value);
            }
            self.path.truncate(depth);
        }
        Value::Object(object)
    }

    fn check_field(&mut self, field: &FieldShape, node: &Node) -> Option<Value> {
        match node.entry(&field.name) {
            Some(entry) => Some(self.check_value(&field.shape, &entry.value)),
            None if field.required => Some(self.report_and_replace(&field.shape, node, "missing".to_owned())),
            None => None,
        }
    }

    fn check_list(&mut self, item: &Shape, nodes: &[Node]) -> Value {
        let mut values = Vec::with_capacity(nodes.len());
        for (i, node) in nodes.iter().enumerate() {
            let depth = self.path.len();
            self.path.push_str(&format!("[{i}]"));
            values.push(self.check_value(item, node));
            self.path.truncate(depth);
        }
        Value::Array(values)
    }

    fn reject_key(&mut self, entry: &Entry, message: &str, allowed: String) {
        let depth = self.path.len();
        self.push_field(&entry.key);
        self.report
            .add_at(entry.key_position, &self.path, message.to_owned(), allowed);
        self.path.truncate(depth);
    }

    fn report_and_replace(&mut self, shape: &Shape, node: &Node, message: String) -> Value {
        self.report.add_at(node.position, &self.path, message, shape.allowed());
        self.report.mark_replaced(&self.path);
        placeholder(shape)
    }

    fn push_field(&mut self, name: &str) {
        if !self.path.is_empty() {
            self.path.push('.');
        }
        self.path.push_str(name);
    }
}

fn integer(value: i128, min: i128, max: i128) -> Option<Value> {
    if value < min || value > max {
        return None;
    }
    u64::try_from(value).ok().map(Value::from)
}

fn number(content: &Content) -> f64 {
    match content {
        Content::Integer(value) => *value as f64,
        Content::Float(value) => *value,
        _ => f64::NAN,
    }
}

fn mismatch(shape: &Shape, found: &Content) -> String {
    let mismatch_hint = match shape {
        Shape::Text(format) if found.is_number_or_bool() => format.mismatch_hint(),
        _ => "",
    };
    format!("found {}{mismatch_hint}", found.describe())
}

fn placeholder(shape: &Shape) -> Value {
    match shape {
        Shape::Object(fields) => {
            let required = fields.iter().filter(|field| field.required);
            let entries = required.map(|field| (field.name.clone(), placeholder(&field.shape)));
            Value::Object(entries.collect())
        }
        Shape::List { .. } => Value::Array(Vec::new()),
        Shape::Text(format) => Value::from(format.placeholder()),
        Shape::Choice(choices) => choices
            .first()
            .map_or(Value::Null, |choice| Value::from(choice.as_str())),
        Shape::Integer { min, .. } => u64::try_from(*min).map_or(Value::Null, Value::from),
        Shape::Number(range) => Value::from(if range.is_min_exclusive {
            range.min + 1.0
        } else {
            range.min
        }),
        Shape::Bool => Value::from(false),
    }
}
