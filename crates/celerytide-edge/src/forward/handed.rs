//! Requests that a peer serves for this instance.

use celerytide_catalog::Service;
use celerytide_http::server::{ChunkWriter, Responder, ResponsePart};
use celerytide_types::now_boot;
use http::StatusCode;
use tracing::info;

use super::refusal::{Refusal, refuse};
use super::{DEADLINE, End, Forwarding, MIN_TIME_LEFT, Origin};
use crate::peers::handover::{HandedOver, Offer, hand_over};
use crate::protocol::Protocol;

/// Cause of a request that a peer served, or refused.
pub(super) const HANDED_OVER: &str = "handed-over";
/// Cause of a request that a peer took and didn't finish.
const PEER_BROKE_OFF: &str = "peer-broke-off";

impl<P: Protocol> Forwarding<'_, P> {
    /// Lets a peer serve the request if this instance reaches no endpoint of the service; gives the responder back if none takes it.
    pub(super) async fn hand_over_if_cut_off(&mut self, out: Responder, service: &Service) -> Result<End, Responder> {
        if self.edge.is_cut_off(&service.id) {
            return self.hand_over(out, service).await;
        }
        Err(out)
    }

    /// Lets a peer serve a request that reached no endpoint and has not run.
    pub(super) async fn hand_over_unreached(&mut self, out: Responder, service: &Service) -> Result<End, Responder> {
        let has_not_run = self.may_have_run_count == 0 && !self.reached_endpoint;
        if has_not_run && self.edge.with_reach(&service.id, |reach| reach.may_help(now_boot())) {
            return self.hand_over(out, service).await;
        }
        Err(out)
    }

    async fn hand_over(&mut self, out: Responder, service: &Service) -> Result<End, Responder> {
        if self.origin != Origin::Caller {
            return Err(out);
        }
        while self.time_left() >= MIN_TIME_LEFT {
            let offer = Offer {
                req: self.req,
                id: &self.request.id,
                service: &service.id,
                attempts: self.may_have_run_count,
                deadline: now_boot().after(self.time_left()),
            };
            let Some(handed) = hand_over(self.edge, &offer).await else {
                break;
            };
            if handed.first.is_some() || !self.may_hand_over_again(&handed, service) {
                return Ok(self.relay_handed(out, handed, service).await);
            }
        }
        Err(out)
    }

    /// Whether a request that a peer took and didn't finish goes to another one. Counts its attempt then, and the peer isn't
    /// asked for a while.
    fn may_hand_over_again(&mut self, handed: &HandedOver, service: &Service) -> bool {
        if !self.may_run_again() || !self.edge.take_retry(&service.id) {
            return false;
        }
        info!(request = self.request.id, peer = %handed.peer, "handover: the peer didn't finish; another one is asked");
        self.may_have_run_count += 1;
        self.edge
            .with_reach(&service.id, |reach| reach.peers.note_declined(handed.peer, now_boot()));
        true
    }

    async fn relay_handed(&mut self, out: Responder, mut handed: HandedOver, service: &Service) -> End {
        info!(request = self.request.id, peer = %handed.peer, "handover: a peer has the request");
        self.endpoint = handed.peer.to_string();
        match handed.first.take() {
            Some(ResponsePart::Whole { status, headers, body }) => {
                if self.edge.protocol.promises_not_run(status) {
                    self.edge
                        .with_reach(&service.id, |reach| reach.note_no_help(now_boot()));
                }
                // The caller may have disconnected.
                let _ = out.whole(status, headers, body).await;
                End::new(HANDED_OVER, status.as_u16())
            }
            Some(ResponsePart::Head { status, headers }) => match out.stream(status, headers).await {
                Ok(writer) => relay_chunks(writer, handed, status).await,
                Err(_) => End::new("caller-left", status.as_u16()),
            },
            Some(ResponsePart::Chunk(_) | ResponsePart::End) | None => self.fail_handed(out).await,
        }
    }

    /// Ends a request that the peer may have run.
    async fn fail_handed(&mut self, out: Responder) -> End {
        self.may_have_run_count += 1;
        let (status, cause) = if self.time_left() < MIN_TIME_LEFT {
            (StatusCode::GATEWAY_TIMEOUT, DEADLINE)
        } else {
            (StatusCode::BAD_GATEWAY, PEER_BROKE_OFF)
        };
        refuse(out, &Refusal::failed(status, cause)).await;
        End::new(cause, status.as_u16())
    }
}

/// Relays a body in chunks; one that breaks off is ended without its regular end.
async fn relay_chunks(mut out: ChunkWriter, mut handed: HandedOver, status: StatusCode) -> End {
    loop {
        match handed.next().await {
            Some(ResponsePart::Chunk(data)) => {
                if out.send(data).await.is_err() {
                    return End::new("caller-left", status.as_u16());
                }
            }
            Some(ResponsePart::End) => {
                // The caller may have disconnected.
                let _ = out.finish().await;
                return End::new(HANDED_OVER, status.as_u16());
            }
            Some(ResponsePart::Whole { .. } | ResponsePart::Head { .. }) | None => {
                return End::new(PEER_BROKE_OFF, status.as_u16());
            }
        }
    }
}
