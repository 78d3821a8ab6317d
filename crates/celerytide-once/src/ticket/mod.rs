//! Tickets and their text form `tk1.{instance}.{incarnation}.{nonce}`.
//!
//! The incarnation has 16 lower-case hex digits and the nonce has 32, so that a ticket has exactly one text.

use std::fmt;

use celerytide_types::{Incarnation, InstanceId, TicketId, data};
use rand::Rng;
use snafu::{OptionExt, Snafu, ensure};

const PREFIX: &str = "tk1";
const INCARNATION_DIGITS: usize = 16;
const NONCE_DIGITS: usize = 32;
const MAX_INSTANCE_BYTES: usize = 64;

data! {
    /// Identifies one incarnation of one entry process.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct IssuerId {
        /// Instance of the process.
        pub instance: InstanceId,
        /// Incarnation of the process; never zero in a valid ticket.
        pub incarnation: Incarnation,
    }

    /// A ticket for one at-most-once action.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct Ticket {
        /// Process that issued the ticket, and the only one that may run the action.
        #[serde(rename = "home")]
        pub issuer: IssuerId,
        /// Random number that other callers can't guess.
        pub nonce: u128,
    }
}

/// Why a text is not a ticket.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum TicketError {
    /// The text has a wrong prefix or not four parts.
    #[snafu(display("not a ticket: expected {PREFIX}.INSTANCE.INCARNATION.NONCE"))]
    Shape,
    /// The instance is empty, too long, or has characters other than letters, digits, `-`, `_`, `.`.
    #[snafu(display("bad instance in ticket"))]
    Instance,
    /// The incarnation is not 16 lower-case hex digits, or zero.
    #[snafu(display("bad incarnation in ticket"))]
    Incarnation,
    /// The nonce is not 32 lower-case hex digits.
    #[snafu(display("bad nonce in ticket"))]
    Nonce,
}

impl IssuerId {
    /// Whether a ticket can name this process.
    pub fn is_valid(&self) -> bool {
        self.incarnation != 0 && instance_is_valid(&self.instance)
    }
}

impl Ticket {
    /// Generates a ticket of `issuer` with a random nonce.
    pub fn generate(issuer: &IssuerId, rng: &mut impl Rng) -> Ticket {
        Ticket {
            issuer: issuer.clone(),
            nonce: rng.random(),
        }
    }

    /// Parses a ticket's text.
    ///
    /// # Errors
    /// [`TicketError`] names the invalid part.
    pub fn parse(text: &str) -> Result<Ticket, TicketError> {
        let rest = text
            .strip_prefix(PREFIX)
            .and_then(|rest| rest.strip_prefix('.'))
            .context(ShapeSnafu)?;
        let (rest, nonce) = rest.rsplit_once('.').context(ShapeSnafu)?;
        let (instance, incarnation) = rest.rsplit_once('.').context(ShapeSnafu)?;
        ensure!(instance_is_valid(instance), InstanceSnafu);
        let incarnation = parse_hex(incarnation, INCARNATION_DIGITS).context(IncarnationSnafu)?;
        let incarnation = Incarnation::try_from(incarnation).ok().context(IncarnationSnafu)?;
        ensure!(incarnation != 0, IncarnationSnafu);
        let nonce = parse_hex(nonce, NONCE_DIGITS).context(NonceSnafu)?;
        let issuer = IssuerId {
            instance: instance.to_owned(),
            incarnation,
        };
        Ok(Ticket { issuer, nonce })
    }

    /// Text of the ticket.
    pub fn id(&self) -> TicketId {
        self.to_string()
    }
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let IssuerId { instance, incarnation } = &self.issuer;
        write!(f, "{PREFIX}.{instance}.{incarnation:016x}.{:032x}", self.nonce)
    }
}

fn instance_is_valid(instance: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    !instance.is_empty() && instance.len() <= MAX_INSTANCE_BYTES && instance.bytes().all(is_allowed)
}

fn parse_hex(text: &str, digits: usize) -> Option<u128> {
    let is_lower_hex = |b: u8| matches!(b, b'0'..=b'9' | b'a'..=b'f');
    let is_valid = text.len() == digits && text.bytes().all(is_lower_hex);
    if !is_valid {
        return None;
    }
    u128::from_str_radix(text, 16).ok()
}
