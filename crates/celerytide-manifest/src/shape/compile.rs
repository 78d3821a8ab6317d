//! Compiles a JSON Schema to shapes.

use serde_json::Value;
use snafu::{OptionExt, Snafu};

use super::{FieldShape, NumberRange, Shape};
use crate::formats::Format;

/// A part of a schema that can't be compiled.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    /// The schema uses a construct that the checks don't support.
    #[snafu(display("no check is known for the schema {schema}"))]
    NoShape {
        /// Text of the unsupported part.
        schema: String,
    },
}

/// Compiles a root schema.
pub(crate) fn compile(root: &Value) -> Result<Shape, Error> {
    shape_of(root, root)
}

fn shape_of(root: &Value, schema: &Value) -> Result<Shape, Error> {
    if let Some(target) = schema["$ref"].as_str() {
        let pointer = target.trim_start_matches('#');
        let schema = root.pointer(pointer).context(no_shape(schema))?;
        return shape_of(root, schema);
    }
    if let Some(values) = enum_values(schema) {
        return Ok(Shape::Choice(values));
    }
    match schema["type"].as_str() {
        Some("object") => object_of(root, schema),
        Some("array") => list_of(root, schema),
        Some("string") => text_of(schema),
        Some("integer") => Ok(integer_of(schema)),
        Some("number") => Ok(Shape::Number(range_of(schema))),
        Some("boolean") => Ok(Shape::Bool),
        _ => no_shape(schema).fail(),
    }
}

fn no_shape(schema: &Value) -> NoShapeSnafu<String> {
    NoShapeSnafu {
        schema: schema.to_string(),
    }
}

fn enum_values(schema: &Value) -> Option<Vec<String>> {
    if let Some(values) = schema["enum"].as_array() {
        return values.iter().map(|value| value.as_str().map(str::to_owned)).collect();
    }
    let variants = schema["oneOf"].as_array()?;
    variants
        .iter()
        .map(|variant| variant["const"].as_str().map(str::to_owned))
        .collect()
}

fn object_of(root: &Value, schema: &Value) -> Result<Shape, Error> {
    let properties = schema["properties"].as_object().context(no_shape(schema))?;
    let required = schema["required"].as_array().map_or(&[][..], Vec::as_slice);
    let mut fields = Vec::with_capacity(properties.len());
    for (name, property) in properties {
        fields.push(FieldShape {
            name: name.clone(),
            required: required.iter().any(|entry| entry == name),
            shape: shape_of(root, property)?,
        });
    }
    Ok(Shape::Object(fields))
}

fn list_of(root: &Value, schema: &Value) -> Result<Shape, Error> {
    let min_items = schema["minItems"].as_u64().unwrap_or(0);
    Ok(Shape::List {
        item: Box::new(shape_of(root, &schema["items"])?),
        min_items: usize::try_from(min_items).unwrap_or(usize::MAX),
    })
}

fn text_of(schema: &Value) -> Result<Shape, Error> {
    let name = schema["format"].as_str().context(no_shape(schema))?;
    let format = Format::from_name(name).context(no_shape(schema))?;
    Ok(Shape::Text(format))
}

fn integer_of(schema: &Value) -> Shape {
    let type_max = match schema["format"].as_str() {
        Some("uint32") => u32::MAX.into(),
        _ => u64::MAX.into(),
    };
    Shape::Integer {
        min: schema["minimum"].as_u64().map_or(0, i128::from),
        max: schema["maximum"].as_u64().map_or(type_max, i128::from),
    }
}

fn range_of(schema: &Value) -> NumberRange {
    let exclusive_min = schema["exclusiveMinimum"].as_f64();
    let min = exclusive_min.or(schema["minimum"].as_f64());
    NumberRange {
        min: min.unwrap_or(f64::MIN),
        is_min_exclusive: exclusive_min.is_some(),
        max: schema["maximum"].as_f64().unwrap_or(f64::INFINITY),
    }
}
