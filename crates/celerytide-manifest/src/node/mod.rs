//! A YAML document as a tree whose nodes know where they stand.

use std::fmt;
use std::ops::Range;

use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_saphyr::options::{DuplicateKeyPolicy, NonFiniteFloatPolicy};
use serde_saphyr::{Location, Spanned};

/// Most nodes of a document; a document of 1 MiB cannot hold more without aliases.
const NODES_MAX: usize = 1024 * 1024;

/// Most parser events that a document's aliases may repeat.
const ALIAS_EVENTS_MAX: usize = 200_000;

/// A place in a document, from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Place {
    pub(crate) line: usize,
    pub(crate) column: usize,
}

/// One value and its place.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) place: Place,
    pub(crate) content: Content,
    /// Where its text stands, in bytes; an alias's is that of its anchor.
    source: Range<usize>,
}

/// What a node holds.
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

/// One entry of an object.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) key: String,
    pub(crate) key_place: Place,
    pub(crate) value: Node,
}

/// Why a text is not a document.
#[derive(Debug)]
pub(crate) struct SyntaxError {
    pub(crate) place: Place,
    pub(crate) message: String,
}

/// Parses one YAML document.
pub(crate) fn parse(text: &str) -> Result<Node, SyntaxError> {
    let options = serde_saphyr::options! {
        budget: serde_saphyr::budget! {
            max_nodes: NODES_MAX,
            max_events: 2 * NODES_MAX,
        },
        alias_limits: serde_saphyr::alias_limits! { max_total_replayed_events: ALIAS_EVENTS_MAX },
        duplicate_keys: DuplicateKeyPolicy::PassThrough,
        non_finite_float_policy: NonFiniteFloatPolicy::PassThrough,
        strict_booleans: true,
        emit_comments: false,
    };
    serde_saphyr::from_str_with_options(text, options).map_err(|error| SyntaxError {
        place: error.location().map_or(Place { line: 1, column: 1 }, place_of),
        message: without_place(&error.without_snippet().to_string()),
    })
}

impl Node {
    /// The entry of that key.
    pub(crate) fn entry(&self, key: &str) -> Option<&Entry> {
        match &self.content {
            Content::Object(entries) => entries.iter().find(|entry| entry.key == key),
            _ => None,
        }
    }

    /// The place of the field at `path`, or of its nearest parent that stands in the document.
    pub(crate) fn locate(&self, path: &str) -> Place {
        let mut node = self;
        for step in path.split(['.', '[']) {
            let next = match step.strip_suffix(']') {
                Some(index) => node.element(index),
                None => node.entry(step).map(|entry| &entry.value),
            };
            match next {
                Some(next) => node = next,
                None => break,
            }
        }
        node.place
    }

    /// A scalar as it is written in the document's text, without tag and anchor.
    pub(crate) fn written<'t>(&self, text: &'t str) -> Option<&'t str> {
        let written = text.get(self.source.clone())?;
        written.split_whitespace().next_back()
    }

    fn element(&self, index: &str) -> Option<&Node> {
        match &self.content {
            Content::List(nodes) => nodes.get(index.parse::<usize>().ok()?),
            _ => None,
        }
    }
}

impl Content {
    /// Whether it is a number or a truth value.
    pub(crate) fn is_number_or_bool(&self) -> bool {
        matches!(self, Content::Bool(_) | Content::Integer(_) | Content::Float(_))
    }

    /// The kind of content, for messages.
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

fn place_of(at: Location) -> Place {
    Place {
        line: usize::try_from(at.line()).unwrap_or(usize::MAX).max(1),
        column: usize::try_from(at.column()).unwrap_or(usize::MAX).max(1),
    }
}

fn range_of(at: Location) -> Range<usize> {
    let index = |bytes: Option<u64>| bytes.and_then(|bytes| usize::try_from(bytes).ok()).unwrap_or(0);
    let (start, len) = (index(at.span().byte_offset()), index(at.span().byte_len()));
    start..start.saturating_add(len)
}

/// The library ends its first line with the place, which a fault states by itself.
fn without_place(text: &str) -> String {
    let line = text.lines().next().unwrap_or_default();
    let end = line.rfind(" at line ").unwrap_or(line.len());
    line[..end].trim().to_owned()
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Node, D::Error> {
        let spanned = Spanned::<Content>::deserialize(deserializer)?;
        Ok(Node {
            place: place_of(spanned.referenced),
            source: range_of(spanned.defined),
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
                key_place: place_of(key.referenced),
                value: map.next_value()?,
            });
        }
        Ok(Content::Object(entries))
    }
}
