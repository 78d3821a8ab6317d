//! The term of a pool's owner.

use crate::{Incarnation, Version};

crate::data! {
    /// Identifies one period of ownership of a pool; ordered by list version first. Entries follow the highest term
    /// that they have seen.
    #[derive(Copy, Eq, PartialOrd, Ord, Hash)]
    pub struct Term {
        /// Version of the instance list from which the ownership follows.
        pub list_version: Version,
        /// Incarnation of the owner, or one more than that of an earlier process of the same instance.
        pub incarnation: Incarnation,
    }
}
