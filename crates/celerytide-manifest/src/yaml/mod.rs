//! Parses a YAML document into a tree of nodes with positions, so that faults can name line and column.

use std::fmt;
use std::ops::Range;

use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_saphyr::options::{DuplicateKeyPolicy, NonFiniteFloatPolicy};
use serde_saphyr::{Location, Spanned};

/// Most nodes of a document; a document of 1 MiB can't have more without aliases.
const MAX_NODES: usize = 1024 * 1024;

/// Most parser events that aliases may replay; bounds the expansion of nested aliases.
const MAX_ALIAS_EVENTS: usize = 200_000;

/// Line and column in a document, each from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Position {
    pub(crate) line: usize,
    pub(crate) column: usize,
}

/// A value and its position.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) position: Position,
    pub(crate) content: Content,
    /// Byte range of its text; for an alias, that of its anchor.
    byte_range: Range<usize>,
}

/// Value of a node.
#[derive(Debug)]
pub(crate) enum Content {
    Null,
    Bool(bool),
    Integer(i128),
    Float(f64),
    Text(String),
    List(Vec<Node>),
    Object(Vec<Entry>),
}

/// A key and value of an object.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) key: String,
    pub(crate) key_position: Position,
    pub(crate) value: Node,
}

/// Error: a text is not valid YAML.
#[derive(Debug)]
pub(crate) struct SyntaxError {
    pub(crate) position: Position,
    pub(crate) message: String,
}

/// Parses one YAML document.
pub(crate) fn parse(text: &str) -> Result<Node, SyntaxError> {
    let options = serde_saphyr::options! {
        budget: serde_saphyr::budget! {
            max_nodes: MAX_NODES,
            max_events: 2 * MAX_NODES,
        },
        alias_limits: serde_saphyr::alias_limits! { max_total_replayed_events: MAX_ALIAS_EVENTS },
        duplicate_keys: DuplicateKeyPolicy::PassThrough,
        non_finite_float_policy: NonFiniteFloatPolicy::PassThrough,
        strict_booleans: true,
        emit_comments: false,
    };
    serde_saphyr::from_str_with_options(text, options).map_err(|error| SyntaxError {
        position: error.location().map_or(Position { line: 1, column: 1 }, position_of),
        message: strip_position(&error.without_snippet().to_string()),
    })
}

impl Node {
    /// The first entry with that key.
    pub(crate) fn entry(&self, key: &str) -> Option<&Entry> {
        match &self.content {
            Content::Object(entries) => entries.iter().find(|entry| entry.key == key),
            _ => None,
        }
    }

    /// Position of the field at `path`, or of its nearest parent that the document has.
    pub(crate) fn locate(&self, path: &str) -> Position {
        let mut node = self;
        for segment in path.split(['.', '[']) {
            let next = match segment.strip_suffix(']') {
                Some(index) => node.element(index),
                None => node.entry(segment).map(|entry| &entry.value),
            };
            match next {
                Some(next) => node = next,
                None => break,
            }
        }
        node.position
    }

    /// A scalar's text as written in the document, without tag and anchor.
    pub(crate) fn source_text<'t>(&self, text: &'t str) -> Option<&'t str> {
        let source_text = text.get(self.byte_range.clone())?;
        source_text.split_whitespace().next_back()
    }

    fn element(&self, index: &str) -> Option<&Node> {
        match &self.content {
            Content::List(nodes) => nodes.get(index.parse::<usize>().ok()?),
            _ => None,
        }
    }
}

impl Content {
    /// Whether the value is a number or a boolean.
    pub(crate) fn is_number_or_bool(&self) -> bool {
        matches!(self, Content::Bool(_) | Content::Integer(_) | Content::Float(_))
    }

    /// Description of the value for fault messages.
    pub(crate) fn describe(&self) -> String {
        match self {
            Content::Null => "nothing".to_owned(),
            Content::Bool(value) => format!("the truth value {value}"),
            Content::Integer(value) => format!("the number {value}"),
            Content::Float(value) => format!("the number {value}"),
            Content::Text(_) => "text".to_owned(),
            Content::List(_) => "a list".to_owned(),
            Content::Object(_) => "a block of fields".to_owned(),
        }
    }
}

fn position_of(at: Location) -> Position {
    Position {
        line: usize::try_from(at.line()).unwrap_or(usize::MAX).max(1),
        column: usize::try_from(at.column()).unwrap_or(usize::MAX).max(1),
    }
}

fn range_of(at: Location) -> Range<usize> {
    let offset = |bytes: Option<u64>| bytes.and_then(|bytes| usize::try_from(bytes).ok()).unwrap_or(0);
    let (start, len) = (offset(at.span().byte_offset()), offset(at.span().byte_len()));
    start..start.saturating_add(len)
}

/// First line of the library's message without its position, which a fault states separately.
fn strip_position(text: &str) -> String {
    let line = text.lines().next().unwrap_or_default();
    let end = line.rfind(" at line ").unwrap_or(line.len());
    line[..end].trim().to_owned()
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Node, D::Error> {
        let spanned = Spanned::<Content>::deserialize(deserializer)?;
        Ok(Node {
            position: position_of(spanned.referenced),
            byte_range: range_of(spanned.defined),
            content: spanned.value,
        })
    }
}

impl<'de> Deserialize<'de> for Content {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Content, D::Error> {
        deserializer.deserialize_any(ContentVisitor)
    }
}

struct ContentVisitor;

impl<'de> Visitor<'de> for ContentVisitor {
    type Value = Content;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("any YAML value")
    }

    fn visit_unit<E>(self) -> Result<Content, E> {
        Ok(Content::Null)
    }

    fn visit_none<E>(self) -> Result<Content, E> {
        Ok(Content::Null)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<Content, D::Error> {
        Content::deserialize(deserializer)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Content, E> {
        Ok(Content::Bool(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Content, E> {
        Ok(Content::Integer(value.into()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Content, E> {
        Ok(Content::Integer(value.into()))
    }

    fn visit_i128<E>(self, value: i128) -> Result<Content, E> {
        Ok(Content::Integer(value))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Content, E> {
        Ok(Content::Float(value))
    }

    fn visit_str<E>(self, value: &str) -> Result<Content, E> {
        Ok(Content::Text(value.to_owned()))
    }

    fn visit_string<E>(self, value: String) -> Result<Content, E> {
        Ok(Content::Text(value))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Content, A::Error> {
        let mut nodes = Vec::new();
        while let Some(node) = seq.next_element()? {
            nodes.push(node);
        }
        Ok(Content::List(nodes))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Content, A::Error> {
        let mut entries = Vec::new();
        while let Some(key) = map.next_key::<Spanned<String>>()? {
            entries.push(Entry {
                key: key.value,
                key_position: position_of(key.referenced),
                value: map.next_value()?,
            });
        }
        Ok(Content::Object(entries))
    }
}
