//! Forwards a request: picks an endpoint, sends it, and says its final word.
//!
//! A request that may run at most once is sent again only while it is certain that it did not run: no connection, an
//! answer that says so, or another endpoint at the address. One that may be repeated is also sent again after a failure,
//! as far as its route's attempts and the budget of repeats allow.

mod headers;
mod refuse;
mod send;
mod stream;
mod whole;

use std::rc::Rc;
use std::time::Duration;

use celerytide_catalog::Service;
use celerytide_http::server::{Handler, Request, Responder};
use celerytide_types::{BootTime, now_boot};
use http::StatusCode;
use tokio_util::sync::CancellationToken;
use tracing::info;

use crate::edge::{Edge, NoPick};
use crate::health::Sign;
use crate::intake::{self, Denial, Intake};
use crate::metrics::{Ended, OfRoute};
use crate::names::{Wire, kind_word};
use crate::stop;

use refuse::{Back, Refusal, refuse};
use send::{Beside, Reached, Sent};

/// Least time for which a request is sent to an endpoint; with less left it could not end.
const LEAST: Duration = Duration::from_millis(15);
/// Cause of a request that came after the signal to stop.
const STOPPING: &str = "stopping";
/// Cause of a request that ran out of time.
const DEADLINE: &str = "deadline";
/// Sends that did not run, beyond the attempts of the route, before a request is refused.
const MAX_REJECTED: u32 = 2;

/// Serves callers.
pub struct Callers<W: Wire>(pub Rc<Edge<W>>);

impl<W: Wire> Handler for Callers<W> {
    async fn handle(&self, req: Request, out: Responder, cx: CancellationToken) {
        let edge = &self.0;
        edge.busy.set(edge.busy.get() + 1);
        serve(edge, req, out, cx).await;
        edge.busy.set(edge.busy.get() - 1);
    }
}

async fn serve<W: Wire>(edge: &Rc<Edge<W>>, req: Request, out: Responder, cx: CancellationToken) {
    let began = now_boot();
    let Some(read) = cx.run_until_cancelled(read(edge, &req, began)).await else {
        return info!(
            path = req.uri.path(),
            "forward: the caller left before its request was read"
        );
    };
    let intake = match read {
        Ok(intake) => intake,
        Err(denial) => {
            let refusal = Refusal::denied(denial);
            let position = edge.view.borrow().position();
            info!(
                path = req.uri.path(),
                cause = refusal.cause,
                config = edge.view.borrow().catalog().version(),
                era = position.era,
                revision = position.revision,
                "refuse: not forwarded"
            );
            return refuse(out, &refusal).await;
        }
    };
    let mut run = Run {
        edge,
        intake: &intake,
        req: &req,
        tried: Vec::new(),
        ran: 0,
        rejected: 0,
        arrived: false,
        endpoint: String::new(),
        first_byte: None,
        gap: Gap::default(),
    };
    // Dropping the work closes the endpoint's connection, so that it stops too.
    // Boxed: it is large, and those that wait for it would move it several times for each request.
    let work = Box::pin(run.forward(out));
    let ended = match cx.run_until_cancelled(work).await {
        Some(ended) => ended,
        None => End::of("caller-left", 0),
    };
    run.note(&ended);
}

/// Reads what the request is, by a configuration that is known to be the newest where that matters.
async fn read<W: Wire>(edge: &Rc<Edge<W>>, req: &Request, began: BootTime) -> Result<Intake, Denial> {
    let has_config = edge.view.borrow().has_config();
    if has_config && !edge.serves(began) {
        edge.until(|now| edge.serves(now)).await;
    }
    let by_newest = |edge: &Edge<W>| {
        let catalog = edge.view.borrow().catalog().clone();
        intake::read(req, &catalog, &edge.wire, began)
    };
    match by_newest(edge) {
        Err(Denial::NoRoute | Denial::NoCustomer) if !edge.is_sure(now_boot()) => {
            edge.until(|now| edge.is_sure(now)).await;
            by_newest(edge)
        }
        read => read,
    }
}

/// When a caller may come back whose request has no endpoint.
fn back(none: NoPick) -> Back {
    match none {
        NoPick::NoEndpoint | NoPick::Leaving | NoPick::Overload => Back::Later,
        NoPick::Pause(until) => Back::Behind(until.since(now_boot())),
    }
}

/// How a request ended.
struct End {
    cause: &'static str,
    status: u16,
}

impl End {
    fn of(cause: &'static str, status: u16) -> End {
        End { cause, status }
    }
}

/// A request on its way.
struct Run<'a, W: Wire> {
    edge: &'a Rc<Edge<W>>,
    intake: &'a Intake,
    req: &'a Request,
    tried: Vec<String>,
    /// Endpoints on which it may have run.
    ran: u32,
    /// Sends that certainly did not run.
    rejected: u32,
    /// Whether a send reached an endpoint: another one is a repeat then.
    arrived: bool,
    endpoint: String,
    /// Time from the start to the first byte of an answer.
    first_byte: Option<Duration>,
    /// The longest time between two events.
    gap: Gap,
}

/// Time between two events of a stream.
#[derive(Debug, Clone, Copy, Default)]
struct Gap {
    lasted: Duration,
    /// When it began, from the start of the request.
    began: Duration,
    /// What this instance had at the endpoint when it ended.
    beside: Beside,
}

/// What comes after a send.
enum Next {
    /// Another endpoint is tried.
    Again,
    /// The request is given up.
    GiveUp(&'static str),
}

impl<W: Wire> Run<'_, W> {
    async fn forward(&mut self, out: Responder) -> End {
        let edge = self.edge;
        let since = edge.stopping_since.get().map(|at| now_boot().since(at));
        if !stop::takes(since) {
            return self.give_up(out, STOPPING).await;
        }
        let Some(service) = edge.draw_service(&self.intake.route) else {
            return self.give_up(out, "no-service").await;
        };
        edge.budget.borrow_mut().note_request(&service.id, now_boot());
        loop {
            if self.left() < LEAST {
                return self.give_up(out, DEADLINE).await;
            }
            let pick = match edge.pick(self.intake, &service, &self.tried) {
                Ok(pick) => pick,
                Err(none) => return self.give_up_for(out, none.cause(), back(none)).await,
            };
            if self.arrived && !edge.take_repeat(&service.id) {
                return self.give_up(out, "no-repeat-left").await;
            }
            self.tried.push(pick.endpoint.id.clone());
            self.endpoint.clone_from(&pick.endpoint.id);
            let sent = send::send(self, &service, pick, None).await;
            let next = match sent {
                Sent::Answer(reached) if self.passes(&reached) => return self.pass(out, reached, &service).await,
                Sent::Answer(reached) => {
                    reached.end(Sign::Bad);
                    self.arrived = true;
                    self.ran += 1;
                    self.after_failure("endpoint-failed")
                }
                Sent::Rejected(cause) => {
                    self.arrived = true;
                    self.rejected += 1;
                    self.after_rejection(cause)
                }
                Sent::Unreached(cause) => {
                    self.rejected += 1;
                    self.after_rejection(cause)
                }
                Sent::Broken(cause) => {
                    self.arrived = true;
                    self.ran += 1;
                    self.after_failure(cause)
                }
            };
            if let Next::GiveUp(cause) = next {
                return self.give_up(out, cause).await;
            }
        }
    }

    /// Whether an answer goes to the caller: all but a failure that may be mended by another endpoint.
    fn passes(&self, reached: &Reached<W>) -> bool {
        let failed = reached.answer.status.is_server_error();
        !failed || !self.may_run_again()
    }

    /// Whether the request may run at one more endpoint than those where it ran, the current one included.
    fn may_run_again(&self) -> bool {
        let route = &self.intake.route;
        route.kind.is_idempotent() && self.ran + 1 < route.most_runs && self.left() > LEAST * 2
    }

    fn after_rejection(&self, cause: &'static str) -> Next {
        if self.rejected > MAX_REJECTED {
            return Next::GiveUp(cause);
        }
        Next::Again
    }

    fn after_failure(&self, cause: &'static str) -> Next {
        let route = &self.intake.route;
        if self.left() < LEAST {
            return Next::GiveUp(DEADLINE);
        }
        if route.kind.is_idempotent() && self.ran < route.most_runs {
            return Next::Again;
        }
        Next::GiveUp(cause)
    }

    /// Time until the caller, or the route, no longer waits, or the process has to end.
    fn left(&self) -> Duration {
        let grace = self.edge.settings.bounds.grace();
        let last = self.edge.stopping_since.get().map(|at| stop::last_answers(at, grace));
        let deadline = self.intake.deadline;
        last.map_or(deadline, |last| deadline.min(last)).since(now_boot())
    }

    async fn pass(&mut self, out: Responder, reached: Box<Reached<W>>, service: &Rc<Service>) -> End {
        let stream = self.intake.route.kind.is_stream() && reached.answer.status == StatusCode::OK;
        if stream {
            return stream::pass(self, out, reached, service).await;
        }
        whole::pass(self, out, reached).await
    }

    /// Says that the request is given up: not run if that is certain, failed otherwise.
    async fn give_up(&self, out: Responder, cause: &'static str) -> End {
        let back = if cause == STOPPING { Back::AtOnce } else { Back::Later };
        self.give_up_for(out, cause, back).await
    }

    async fn give_up_for(&self, out: Responder, cause: &'static str, back: Back) -> End {
        let refusal = if self.ran == 0 {
            Refusal::not_run(cause, self.left(), back)
        } else if cause == DEADLINE {
            Refusal::failed(StatusCode::GATEWAY_TIMEOUT, cause)
        } else {
            Refusal::failed(StatusCode::BAD_GATEWAY, cause)
        };
        let status = refusal.status.as_u16();
        refuse(out, &refusal).await;
        End::of(cause, status)
    }

    fn note(&self, end: &End) {
        let edge = self.edge;
        let took = now_boot().since(self.intake.began);
        edge.counters.whole.observe(took.as_secs_f64());
        let label = Ended {
            outcome: end.cause,
            status: end.status,
        };
        edge.counters.ended.get_or_create(&label).inc();
        if !self.gap.lasted.is_zero() {
            let route = self.intake.route.name.clone();
            let of_route = edge.counters.gap.get_or_create(&OfRoute { route });
            of_route.observe(self.gap.lasted.as_secs_f64());
        }
        let position = edge.view.borrow().position();
        let customer = self.intake.customer.as_ref().map(|c| c.id.as_str());
        info!(
            request = self.intake.id,
            route = self.intake.route.name,
            kind = kind_word(self.intake.route.kind),
            customer,
            endpoint = self.endpoint,
            tried = self.tried.len(),
            ran = self.ran,
            cause = end.cause,
            status = end.status,
            first_ms = self.first_byte.map(|t| t.as_millis() as u64),
            gap_ms = self.gap.lasted.as_millis() as u64,
            gap_at_ms = self.gap.began.as_millis() as u64,
            gap_unread = self.gap.beside.unread,
            gap_running = self.gap.beside.running,
            prompt = self.intake.prompt.tokens,
            ms = took.as_millis() as u64,
            left_ms = self.left().as_millis() as u64,
            era = position.era,
            revision = position.revision,
            "forward: ended"
        );
    }
}
