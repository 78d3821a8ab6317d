//! Parses lists in the format of Consul's health API.

use std::net::{IpAddr, SocketAddr};

use serde::Deserialize;
use snafu::Snafu;

use crate::view::{EndpointEntry, Instance};

const LIVE: &str = "live";
const LEAVING: &str = "leaving";

/// Why a list could not be parsed.
#[derive(Debug, Snafu)]
pub enum ParseError {
    /// The body is not the JSON of a service list.
    #[snafu(display("not a service list: {source}"))]
    Json {
        /// Error of the JSON decoder.
        source: serde_json::Error,
    },
    /// A field of an entry is missing or invalid.
    #[snafu(display("entry {id}: bad or missing {field}"))]
    Entry {
        /// Id of the entry.
        id: String,
        /// Name of the field.
        field: &'static str,
    },
}

#[derive(Deserialize)]
struct ListedService {
    #[serde(rename = "Service")]
    service: Service,
}

#[derive(Deserialize)]
struct Service {
    #[serde(rename = "ID")]
    id: String,
    #[serde(rename = "Address", default)]
    address: String,
    #[serde(rename = "Port", default)]
    port: u16,
    #[serde(rename = "Meta", default)]
    meta: Meta,
}

#[derive(Deserialize, Default)]
struct Meta {
    #[serde(default)]
    zone: String,
    #[serde(default)]
    region: String,
    #[serde(default)]
    state: String,
    #[serde(default)]
    entry_peer: String,
    #[serde(default)]
    dispatch_peer: String,
}

/// Parses the instance list.
///
/// # Errors
/// One invalid entry fails the whole list, since a partial list would make a live instance look removed.
pub fn parse_instances(body: &[u8]) -> Result<Vec<Instance>, ParseError> {
    parse(body)?.into_iter().map(|s| s.instance()).collect()
}

/// Parses the endpoint list.
///
/// # Errors
/// One invalid entry fails the whole list, as in [`parse_instances`].
pub fn parse_endpoints(body: &[u8]) -> Result<Vec<EndpointEntry>, ParseError> {
    parse(body)?.into_iter().map(|s| s.endpoint()).collect()
}

fn parse(body: &[u8]) -> Result<Vec<Service>, ParseError> {
    let services: Vec<ListedService> = serde_json::from_slice(body).map_err(|source| ParseError::Json { source })?;
    Ok(services.into_iter().map(|s| s.service).collect())
}

impl Service {
    fn instance(self) -> Result<Instance, ParseError> {
        let live = self.live()?;
        let address: IpAddr = self.address.parse().map_err(|_| self.bad("Address"))?;
        let caller = SocketAddr::new(address, self.port);
        let entry_peer = self.meta.entry_peer.parse().map_err(|_| self.bad("entry_peer"))?;
        let dispatch_peer = self.meta.dispatch_peer.parse().map_err(|_| self.bad("dispatch_peer"))?;
        for (value, field) in [
            (&self.id, "ID"),
            (&self.meta.zone, "zone"),
            (&self.meta.region, "region"),
        ] {
            if value.is_empty() {
                return Err(self.bad(field));
            }
        }
        let Service {
            id,
            meta: Meta { zone, region, .. },
            ..
        } = self;
        Ok(Instance {
            id,
            zone,
            region,
            live,
            caller,
            entry_peer,
            dispatch_peer,
        })
    }

    fn endpoint(self) -> Result<EndpointEntry, ParseError> {
        if self.id.is_empty() {
            return Err(self.bad("ID"));
        }
        let live = self.live()?;
        Ok(EndpointEntry { id: self.id, live })
    }

    fn live(&self) -> Result<bool, ParseError> {
        match self.meta.state.as_str() {
            LIVE => Ok(true),
            LEAVING => Ok(false),
            _ => Err(self.bad("state")),
        }
    }

    fn bad(&self, field: &'static str) -> ParseError {
        ParseError::Entry {
            id: self.id.clone(),
            field,
        }
    }
}
