//! Streams that have begun and that a peer continues, since this instance reaches no endpoint any more.
//!
//! The peer gets the request as a caller would send it that takes up the stream: with the id of the last event and that of
//! the request that brought the first one. Its events are checked like those of an endpoint.

use celerytide_catalog::Service;
use celerytide_http::server::{ChunkWriter, Request, ResponsePart};
use celerytide_http::validate::Framing;
use celerytide_types::now_boot;
use http::{HeaderMap, HeaderValue, StatusCode};
use tracing::info;

use super::handed::HANDED_OVER;
use super::{End, Forwarding, MIN_TIME_LEFT, Origin};
use crate::events::EventSplitter;
use crate::peers::handover::{HandedOver, Offer, hand_over};
use crate::protocol::Protocol;

/// How a peer's continuation of a stream ended.
enum PeerEnd {
    /// With the regular end of the stream.
    Whole,
    /// The peer refused the request, which has not run there.
    NotRun,
    /// The peer broke off or failed, or its events don't continue the stream.
    MayHaveRun,
    /// The caller disconnected.
    Gone,
}

impl<P: Protocol> Forwarding<'_, P> {
    /// Lets a peer continue the stream; gives the writer back if it doesn't reach the end.
    pub(super) async fn go_on_at_peer(
        &mut self,
        mut out: ChunkWriter,
        service: &Service,
        status: StatusCode,
    ) -> Result<End, ChunkWriter> {
        if self.origin != Origin::Caller || !self.may_go_on() || self.time_left() < MIN_TIME_LEFT {
            return Err(out);
        }
        if !self.edge.take_retry(&service.id) {
            info!(request = self.request.id, "stream: no repeat left to go on at a peer");
            return Err(out);
        }
        let Some(handed) = self.offer_rest(service).await else {
            return Err(out);
        };
        self.endpoint = handed.peer.to_string();
        match self.copy_handed(handed, &mut out).await {
            PeerEnd::Whole => {
                // The caller may have disconnected.
                let _ = out.finish().await;
                Ok(End::new(HANDED_OVER, status.as_u16()))
            }
            PeerEnd::Gone => Ok(End::new("caller-left", status.as_u16())),
            PeerEnd::NotRun => Err(out),
            PeerEnd::MayHaveRun => {
                // The peer may have used all attempts that were left.
                self.may_have_run_count = self.request.route.max_attempts;
                Err(out)
            }
        }
    }

    /// Offers the rest of the stream to peers; `None` if none takes it.
    async fn offer_rest(&self, service: &Service) -> Option<HandedOver> {
        let req = Request {
            method: self.req.method.clone(),
            uri: self.req.uri.clone(),
            headers: self.headers_to_take_up(),
            body: self.req.body.clone(),
            peer: self.req.peer,
        };
        let offer = Offer {
            req: &req,
            id: &self.request.id,
            service: &service.id,
            attempts: self.may_have_run_count,
            deadline: now_boot().after(self.time_left()),
        };
        hand_over(self.edge, &offer).await
    }

    /// Headers of a request that takes up the stream.
    fn headers_to_take_up(&self) -> HeaderMap {
        let names = self.edge.protocol.header_names();
        let mut headers = self.req.headers.clone();
        let last = self.continuity.last_event().map(HeaderValue::from_bytes);
        if let Some(Ok(last)) = last {
            headers.insert(names.last_event.clone(), last);
        }
        let taken_up = self.request.take_up.as_ref().and_then(|t| t.first_request.as_deref());
        let first = HeaderValue::from_str(taken_up.unwrap_or(&self.request.id));
        if let Ok(first) = first
            && self.has_events
        {
            headers.insert(names.first_request.clone(), first);
        }
        headers
    }

    /// Passes on the events of a peer.
    async fn copy_handed(&mut self, mut handed: HandedOver, out: &mut ChunkWriter) -> PeerEnd {
        match handed.first.take() {
            Some(ResponsePart::Head { status, headers })
                if self.continuity.accepts(status, &headers, Framing::Chunked) => {}
            Some(ResponsePart::Whole { status, .. }) => {
                info!(request = self.request.id, peer = %handed.peer, %status, "stream: a peer doesn't go on");
                return if self.edge.protocol.promises_not_run(status) {
                    PeerEnd::NotRun
                } else {
                    PeerEnd::MayHaveRun
                };
            }
            _ => return PeerEnd::MayHaveRun,
        }
        info!(request = self.request.id, peer = %handed.peer, "stream: goes on at a peer");
        let mut splitter = EventSplitter::default();
        let part = self.copy_handed_events(&mut handed, out, &mut splitter).await;
        self.continuity.end_response(splitter.rest_bytes());
        part
    }

    async fn copy_handed_events(
        &mut self,
        handed: &mut HandedOver,
        out: &mut ChunkWriter,
        splitter: &mut EventSplitter,
    ) -> PeerEnd {
        loop {
            let data = match handed.next().await {
                Some(ResponsePart::Chunk(data)) => data,
                Some(ResponsePart::End) if splitter.check_end(self.continuity.lacks_event()).is_ok() => {
                    return PeerEnd::Whole;
                }
                _ => return PeerEnd::MayHaveRun,
            };
            if !splitter.push(&data) {
                return PeerEnd::MayHaveRun;
            }
            while let Some(event) = splitter.next_event() {
                if !self.continuity.push(&event) {
                    return PeerEnd::MayHaveRun;
                }
                self.has_events = true;
                if out.send(event.raw).await.is_err() {
                    return PeerEnd::Gone;
                }
            }
        }
    }
}
