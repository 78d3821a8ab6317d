//! Who owns a pool, since when.

use crate::{Incarnation, Version};

crate::data! {
    /// Who owns a pool, since which list; ordered by list first. Entries follow the highest term they saw.
    #[derive(Copy, Eq, PartialOrd, Ord, Hash)]
    pub struct Term {
        /// Version of the instance list by which the owner owns.
        pub list_version: Version,
        /// The owner's incarnation, or one above that of an earlier life of the same instance.
        pub incarnation: Incarnation,
    }
}
