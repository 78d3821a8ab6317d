//! Streams that begin, and streams that callers take up.

use std::rc::Rc;
use std::time::Duration;

use celerytide_catalog::{Route, Service};
use celerytide_types::{BootTime, ServiceId, now_boot};
use tracing::info;

use super::{Edge, StoreAccess};
use crate::metrics::TakeUpLabel;
use crate::peers::streams::{StreamRequest, ask};
use crate::protocol::Protocol;
use crate::request::{RoutedRequest, TakeUp};
use crate::software::{self, Doubt, Knowledge, Replies, Software, StreamName, decide, stream_name};

/// Longest wait for a response of the store before a stream is taken up.
const STORE_WAIT: Duration = Duration::from_millis(500);
/// How often a stream is told in a small fleet; a datagram may be lost.
const TOLD_TIMES: u32 = 2;

impl<P: Protocol> Edge<P> {
    /// What this instance knows of a stream of one of `services` that began within `window`.
    pub fn knowledge(
        &self,
        stream: Option<StreamName>,
        services: &[ServiceId],
        window: Duration,
        now: BootTime,
    ) -> Knowledge {
        if let Some(software) = stream.and_then(|stream| self.streams.borrow().software(stream)) {
            return Knowledge::Begun(software);
        }
        let history = self.history.borrow();
        // A watch ends within this time.
        let silence = self.settings.bounds.recovery_time();
        let responded_at = self.store_responded_at.get();
        let hears_store = responded_at.is_some_and(|at| now.since(at) < silence);
        match history.within(services, window, now).as_slice() {
            [] => Knowledge::Unsure,
            [sole] if hears_store && history.covers(window, now) => Knowledge::Sole(*sole),
            [_] => Knowledge::Unsure,
            _ => Knowledge::Several,
        }
    }

    /// Whether the store responds now; its response is in the view then. An instance that follows another one doesn't ask.
    async fn store_responds(&self) -> bool {
        if self.store_access.get() == StoreAccess::Following {
            return true;
        }
        let asked_at = now_boot();
        self.store_wanted_at.set(Some(asked_at));
        self.store_wanted.notify_waiters();
        let has_responded = || self.store_responded_at.get().is_some_and(|at| at > asked_at);
        let is_over = |now: BootTime| now.since(asked_at) >= STORE_WAIT;
        self.wait_until(|now| has_responded() || is_over(now)).await;
        has_responded()
    }

    /// The software at which a stream goes on that a caller takes up.
    pub async fn resolve_take_up(&self, request: &RoutedRequest, take_up: &TakeUp) -> Result<Software, Doubt> {
        let stream = take_up.first_request.as_deref().map(stream_name);
        let services = services(&request.route);
        let window = software::window(&request.route);
        let own = self.knowledge(stream, &services, window, now_boot());
        let others = if matches!(own, Knowledge::Begun(_)) {
            Replies::default()
        } else {
            ask(self, &StreamRequest::new(stream, services.clone(), window)).await
        };
        let needs_store = others.need_store() && decide(own, &others).is_ok();
        let is_in_touch = !needs_store || self.store_responds().await;
        let own = self.knowledge(stream, &services, window, now_boot());
        let decided = if is_in_touch {
            decide(own, &others)
        } else {
            Err(Doubt::Unsure)
        };
        let outcome = match decided {
            Ok(_) => "goes-on",
            Err(doubt) => doubt.cause(),
        };
        self.counters.take_ups.get_or_create(&TakeUpLabel { outcome }).inc();
        info!(
            request = request.id,
            first = take_up.first_request,
            ?own,
            ?others,
            is_in_touch,
            outcome,
            "stream: taken up"
        );
        decided
    }

    /// The service of the route that has this software, if an endpoint of it is known.
    pub fn service_with(&self, route: &Route, bound: Software) -> Option<Rc<Service>> {
        let view = self.view.borrow();
        let known = view.endpoints().find(|known| software::fits(known, Some(bound)))?;
        let service = &known.endpoint.service;
        let is_of_route = route.backends.iter().any(|backend| backend.service == *service);
        is_of_route.then(|| view.catalog().service(service).cloned())?
    }

    /// Records the first event of a stream, and tells others where more than one software serves.
    pub fn record_stream(&self, request: &RoutedRequest, bound: Software, version: &str) {
        let now = now_boot();
        let first = request
            .take_up
            .as_ref()
            .and_then(|take_up| take_up.first_request.as_deref());
        let stream = stream_name(first.unwrap_or(&request.id));
        self.streams.borrow_mut().begin(stream, bound, now);
        let window = software::window(&request.route);
        let alone = self.knowledge(None, &services(&request.route), window, now);
        if matches!(alone, Knowledge::Sole(_)) {
            return;
        }
        info!(request = request.id, version, ?alone, "stream: begins");
        let times = self.told_times(now);
        self.streams.borrow_mut().tell(stream, times);
        // The caller may take it up elsewhere a moment after its first event.
        self.stream_news.notify_one();
    }

    /// Notes which software is published now. When one is new, others are told of the streams that began before.
    pub(super) fn update_history(&self, now: BootTime) {
        let view = self.view.borrow();
        let is_new = self.history.borrow_mut().update(view.endpoints(), now);
        if !is_new {
            return;
        }
        let windows = view.catalog().routes().map(|route| software::window(route));
        if let Some(window) = windows.max() {
            let times = self.told_times(now);
            self.streams.borrow_mut().tell_all(window, times, now);
        }
    }

    fn told_times(&self, now: BootTime) -> u32 {
        if self.members.borrow().is_large(now) {
            1
        } else {
            TOLD_TIMES
        }
    }
}

fn services(route: &Route) -> Vec<ServiceId> {
    route.backends.iter().map(|backend| backend.service.clone()).collect()
}
