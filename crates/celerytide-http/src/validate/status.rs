//! Checks the status of a response, whoever decoded it.

use std::ops::RangeInclusive;

use http::StatusCode;

use super::ProtocolError;

/// Statuses that belong to one of the five classes of responses. The type of the library goes up to 999.
const STATUSES: RangeInclusive<u16> = 100..=599;

/// Returns the status with this number, or an error if it belongs to no class of responses.
pub fn response_status(number: u16) -> Result<StatusCode, ProtocolError> {
    if !STATUSES.contains(&number) {
        return Err(ProtocolError::Status);
    }
    StatusCode::from_u16(number).map_err(|_| ProtocolError::Status)
}
