//! Reads sections of the manifest.

use std::net::SocketAddr;

use celerytide_manifest::{SECTION_MAX_BYTES, section_key};
use tokio_util::sync::CancellationToken;

use super::WatchOptions;
use super::read::{ReadError, Response, Source};

const OK: u16 = 200;

/// Reads the section with this digest once; `None` if the service doesn't have it or it isn't UTF-8.
///
/// # Errors
/// [`ReadError`] if no complete response arrived.
pub async fn read_section<S: Source>(
    source: &S,
    opts: &WatchOptions,
    addr: SocketAddr,
    digest: &str,
    cx: &CancellationToken,
) -> Result<Option<String>, ReadError> {
    opts.counters.sections.inc();
    let path = format!("/v1/kv/{}?raw", section_key(digest));
    let response = source
        .read(addr, &path, opts.read_timeout, SECTION_MAX_BYTES, cx)
        .await?;
    Ok(section_text(response))
}

fn section_text(response: Response) -> Option<String> {
    let body = Some(response.body).filter(|_| response.status == OK)?;
    String::from_utf8(body).ok()
}
