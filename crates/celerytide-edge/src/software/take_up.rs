//! Whether a stream that a caller takes up may go on, and at which software.

use celerytide_types::data;

use super::Software;

data! {
    /// What one instance knows of the software that began a stream.
    #[derive(Copy, Eq)]
    pub enum Knowledge {
        /// It was told, or passed the first event on itself.
        Begun(Software),
        /// It has seen all that was published while the stream can have begun, and that was one software.
        Sole(Software),
        /// More than one software was published in that time.
        Several,
        /// It started too recently, or doesn't hear from the store, and so can't tell.
        Unsure,
    }
}

/// What the instances that were asked replied.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Replies {
    /// What those know that replied.
    pub known: Vec<Knowledge>,
    /// Number of those that were silent; a machine that refuses the connection isn't, since no instance lives there.
    pub silent: usize,
}

impl Replies {
    /// Whether a response of the store is needed: some were silent, and none of the others knows where the stream began. Those
    /// that reply may be cut off together.
    pub fn need_store(&self) -> bool {
        let is_known = self.known.iter().any(|known| matches!(known, Knowledge::Begun(_)));
        self.silent > 0 && !is_known
    }

    /// Whether more were silent than replied: this instance may be cut off, and others may know of newer software.
    fn are_few(&self) -> bool {
        self.silent > self.known.len()
    }
}

/// Why a stream may not go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Doubt {
    /// Several versions serve or served, and nobody knows which one began the stream.
    Several,
    /// Nobody has seen for long enough what was published.
    Unsure,
}

impl Doubt {
    /// Machine-readable cause, a stable text.
    pub fn cause(self) -> &'static str {
        match self {
            Doubt::Several => "stream-unknown",
            Doubt::Unsure => "versions-unknown",
        }
    }
}

/// The software at which a stream goes on, by what this instance and others know. A wrong one joins the text of two
/// versions without a sign, so that any doubt is a no.
pub fn decide(own: Knowledge, others: &Replies) -> Result<Software, Doubt> {
    let all = || others.known.iter().chain([&own]).copied();
    let begun = all().filter_map(|known| match known {
        Knowledge::Begun(software) => Some(software),
        _ => None,
    });
    if let Some(software) = agreed(begun)? {
        return Ok(software);
    }
    if all().any(|known| known == Knowledge::Several) {
        return Err(Doubt::Several);
    }
    if others.are_few() {
        return Err(Doubt::Unsure);
    }
    let sole = all().filter_map(|known| match known {
        Knowledge::Sole(software) => Some(software),
        _ => None,
    });
    agreed(sole)?.ok_or(Doubt::Unsure)
}

/// The one software that is named, if any.
fn agreed(mut named: impl Iterator<Item = Software>) -> Result<Option<Software>, Doubt> {
    let first = named.next();
    if named.any(|other| Some(other) != first) {
        return Err(Doubt::Several);
    }
    Ok(first)
}
