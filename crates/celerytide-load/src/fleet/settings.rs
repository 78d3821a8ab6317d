//! Settings of the daemons of each instance.

use std::{net::SocketAddr, time::Duration};

use celerytide_manifest::{
    DispatchSettings, DispatchTimeouts, EntrySettings, EntryTimeouts, HttpLimits, LogSettings, Platform,
};
use celerytide_standin::launch::{self, free_addr};
use celerytide_types::{InstanceId, ZoneId};

use super::Deployment;

/// Maximum random delay before the first read; short, because all processes share one machine.
const START_JITTER: Duration = Duration::from_millis(100);
const WATCH_WAIT: Duration = Duration::from_secs(20);
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Listening addresses of one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceAddresses {
    /// Instance id.
    pub id: InstanceId,
    /// Zone of the instance.
    pub zone: ZoneId,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Operator address of the entry process.
    pub entry_operator: SocketAddr,
    /// Operator address of the dispatch process.
    pub dispatch_operator: SocketAddr,
    /// Peer address of the entry process.
    pub entry_peer: SocketAddr,
    /// Peer address of the dispatch process.
    pub dispatch_peer: SocketAddr,
}

impl InstanceAddresses {
    /// Allocates free addresses for the instance with this index.
    pub fn allocate(deployment: &Deployment, index: usize) -> Result<Self, launch::Error> {
        Ok(Self {
            id: format!("i-{index}"),
            zone: deployment.zone(index),
            caller: free_addr()?,
            entry_operator: free_addr()?,
            dispatch_operator: free_addr()?,
            entry_peer: free_addr()?,
            dispatch_peer: free_addr()?,
        })
    }
}

/// Creates the settings of an instance's entry process.
pub fn entry(deployment: &Deployment, instance: &InstanceAddresses, config: SocketAddr) -> EntrySettings {
    EntrySettings {
        instance: instance.id.clone(),
        zone: instance.zone.clone(),
        region: deployment.region.clone(),
        caller_address: instance.caller,
        operator_address: instance.entry_operator,
        peer_address: instance.entry_peer,
        platform: platform(config),
        limits: HttpLimits {
            memory_mb: deployment.entry_memory_mb,
            ..HttpLimits::default()
        },
        timeouts: EntryTimeouts::default(),
        log: LogSettings::default(),
    }
}

/// Creates the settings of an instance's dispatch process.
pub fn dispatch(deployment: &Deployment, instance: &InstanceAddresses, config: SocketAddr) -> DispatchSettings {
    DispatchSettings {
        instance: instance.id.clone(),
        zone: instance.zone.clone(),
        region: deployment.region.clone(),
        operator_address: instance.dispatch_operator,
        peer_address: instance.dispatch_peer,
        platform: platform(config),
        policy: deployment.policy,
        timeouts: DispatchTimeouts {
            hold: deployment.hold,
            ..DispatchTimeouts::default()
        },
        log: LogSettings::default(),
    }
}

fn platform(config: SocketAddr) -> Platform {
    Platform {
        config_service: vec![config],
        watch_wait: WATCH_WAIT,
        read_timeout: READ_TIMEOUT,
        start_jitter: START_JITTER,
        peers: Vec::new(),
    }
}
