//! Reads of sections of the manifest.

use std::net::SocketAddr;

use celerytide_manifest::{SECTION_MAX_BYTES, section_key};
use tokio_util::sync::CancellationToken;

use super::WatchOptions;
use super::read::{Answer, ReadError, Source};

const OK: u16 = 200;

/// Reads the section of that digest once; `None` if the service has none.
///
/// # Errors
/// [`ReadError`] if no whole answer came.
pub async fn read_section<S: Source>(
    source: &S,
    opts: &WatchOptions,
    addr: SocketAddr,
    digest: &str,
    cx: &CancellationToken,
) -> Result<Option<String>, ReadError> {
    opts.counters.sections.inc();
    let path = format!("/v1/kv/{}?raw", section_key(digest));
    let answer = source
        .read(addr, &path, opts.read_timeout, SECTION_MAX_BYTES, cx)
        .await?;
    Ok(text_of(answer))
}

fn text_of(answer: Answer) -> Option<String> {
    let body = Some(answer.body).filter(|_| answer.status == OK)?;
    String::from_utf8(body).ok()
}
