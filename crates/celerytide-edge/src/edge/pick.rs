//! Which endpoint a request is sent to, and its count there.

use std::rc::Rc;
use std::time::Duration;

use celerytide_catalog::{Endpoint, Known, Service, View};
use celerytide_types::{BootTime, now_boot};
use tracing::info;

use super::{Edge, InFlight};
use crate::admit::Capacity;
use crate::health::Standing;
use crate::intake::Intake;
use crate::names::{Prompt, Wire};
use crate::notice::Standing as Said;
use crate::peers::Instances;
use crate::place::{Ask, Candidate, Choice, Facts, choose, shared};
use crate::split::{self, Size};

/// Most endpoints of a service that may be out at once, as a share.
const MAX_OUT: f64 = 0.4;

/// An endpoint that was chosen, with the request counted there.
pub struct Pick<W: Wire> {
    /// Its entry.
    pub endpoint: Rc<Endpoint>,
    /// The request's count.
    pub flight: InFlight<W>,
    /// When it was chosen.
    pub at: BootTime,
}

/// Why no endpoint was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoPick {
    /// None may get work now.
    NoEndpoint,
    /// Those that could get it leave.
    Leaving,
    /// Those that could get it pause; the first pause ends then.
    Pause(BootTime),
    /// The engines hold as much of this instance as they may.
    Overload,
}

impl NoPick {
    /// Stable machine-readable cause.
    pub fn cause(self) -> &'static str {
        match self {
            NoPick::NoEndpoint => "no-endpoint",
            NoPick::Leaving => "endpoints-leave",
            NoPick::Pause(_) => "endpoints-pause",
            NoPick::Overload => "overload",
        }
    }
}

impl<W: Wire> Edge<W> {
    /// Chooses an endpoint for the request, not among `tried`, and counts the request there.
    pub fn pick(self: &Rc<Self>, intake: &Intake, service: &Service, tried: &[String]) -> Result<Pick<W>, NoPick> {
        let now = now_boot();
        let view = self.view.borrow();
        let instances = self.members.borrow().known(now);
        let bearing = self.bearing(&view, service, tried, &instances, now);
        let size = self.size(&view, intake, service);
        if let Some(choice) = self.trial(intake, &bearing, now) {
            return Ok(self.take(service, &choice, intake, size, now));
        }
        let usable = self.healthy(bearing, now);
        if !self.admits(intake, service, usable.len(), instances.len(), now) {
            return Err(NoPick::Overload);
        }
        let usable = match size {
            // A short request that was sent already may go to any.
            Some(size) if size == Size::Long || tried.is_empty() => self.part(&view, size, service, usable, now),
            _ => usable,
        };
        let choice = self.cheapest(intake, service, &usable, instances.len(), now);
        let choice = choice.ok_or_else(|| self.why_none(&view, service, now))?;
        if is_cold(service, choice.known, now) {
            let id = &choice.known.endpoint.id;
            self.cold.borrow_mut().note(id, service.cold_rate, &instances, now);
        }
        Ok(self.take(service, &choice, intake, size, now))
    }

    /// Usable endpoints that aren't cold, or of which this instance has a part.
    fn bearing<'a>(
        &self,
        view: &'a View,
        service: &'a Service,
        tried: &[String],
        instances: &Instances,
        now: BootTime,
    ) -> Vec<&'a Known> {
        let cold = self.cold.borrow();
        let notices = self.notices.borrow();
        let bears = |known: &&Known| {
            if notices.standing(&known.endpoint, now) != Said::Open {
                return false;
            }
            let id = &known.endpoint.id;
            !is_cold(service, known, now) || cold.allows(id, service.cold_rate, instances, now)
        };
        let untried = view
            .usable(&service.id, now)
            .filter(|known| !tried.contains(&known.endpoint.id));
        untried.filter(bears).collect()
    }

    /// How the request counts where engines are divided: like the other prompts about its document, so that one part of
    /// the engines reads that.
    fn size(&self, view: &View, intake: &Intake, service: &Service) -> Option<Size> {
        service.engine_slots?;
        let pause = view.catalog().tightest_pause(&service.id)?;
        let per_s = self.loads.borrow().read_rate(&service.id);
        let own = f64::from(intake.prompt.tokens);
        let document = shared(&intake.prompt).last();
        let alike = document.and_then(|part| self.heat.borrow().tokens(part.id));
        Some(split::size(alike.unwrap_or(own), pause, per_s))
    }

    /// Endpoints of the part that reads such prompts.
    fn part<'a>(
        &self,
        view: &'a View,
        size: Size,
        service: &Service,
        usable: Vec<&'a Known>,
        now: BootTime,
    ) -> Vec<&'a Known> {
        let ids: Vec<&str> = view.usable(&service.id, now).map(|k| k.endpoint.id.as_str()).collect();
        let elsewhere = self.digests.borrow().work(&service.id, now);
        let parts = self.split.borrow_mut().parts(&service.id, ids.len(), elsewhere, now);
        if parts.moved {
            let (long, engines) = (parts.readers, ids.len());
            info!(
                service = service.id,
                long,
                engines,
                wanted = parts.wanted,
                per_s = self.loads.borrow().read_rate(&service.id),
                ?elsewhere,
                "split: parts moved"
            );
        }
        if !(1..ids.len()).contains(&parts.readers) {
            return usable;
        }
        let readers = split::readers(&service.id, &ids, parts.readers);
        let fits = |known: &&&Known| {
            let reads = readers.contains(&known.endpoint.id.as_str());
            reads == (size == Size::Long)
        };
        let part: Vec<&Known> = usable.iter().filter(fits).copied().collect();
        if part.is_empty() { usable } else { part }
    }

    /// Why no endpoint may get the request.
    fn why_none(&self, view: &View, service: &Service, now: BootTime) -> NoPick {
        let notices = self.notices.borrow();
        let usable = view.usable(&service.id, now);
        let said: Vec<Said> = usable.map(|k| notices.standing(&k.endpoint, now)).collect();
        let pauses = said.iter().filter_map(|s| match s {
            Said::Pauses(until) => Some(*until),
            Said::Open | Said::Leaves => None,
        });
        match pauses.min() {
            _ if said.contains(&Said::Open) => NoPick::NoEndpoint,
            Some(until) => NoPick::Pause(until),
            None if said.is_empty() => NoPick::NoEndpoint,
            None => NoPick::Leaving,
        }
    }

    fn standing(&self, known: &Known, now: BootTime) -> Standing {
        let loads = self.loads.borrow();
        loads
            .get(&known.endpoint.id)
            .map_or(Standing::In, |load| load.health.standing(now))
    }

    /// An endpoint that was out and may be tried again with this request.
    fn trial<'a>(&self, intake: &Intake, bearing: &[&'a Known], now: BootTime) -> Option<Choice<'a>> {
        if !intake.route.kind.is_idempotent() {
            return None;
        }
        let known = bearing
            .iter()
            .find(|known| self.standing(known, now) == Standing::Trial)?;
        self.loads.borrow_mut().entry(&known.endpoint.id).health.begin_trial();
        Some(Choice {
            known,
            missing: intake.prompt.tokens,
            ahead: 0,
        })
    }

    /// Endpoints that work; all of them if too many are out, since then it isn't they that are at fault.
    fn healthy<'a>(&self, bearing: Vec<&'a Known>, now: BootTime) -> Vec<&'a Known> {
        let works = |known: &&&Known| self.standing(known, now) == Standing::In;
        let healthy: Vec<&Known> = bearing.iter().filter(works).copied().collect();
        let enough = healthy.len() as f64 >= bearing.len() as f64 * (1.0 - MAX_OUT);
        if enough { healthy } else { bearing }
    }

    fn cheapest<'a>(
        &self,
        intake: &Intake,
        service: &Service,
        usable: &[&'a Known],
        instances: usize,
        now: BootTime,
    ) -> Option<Choice<'a>> {
        let candidate = |known: &&'a Known| Candidate {
            near: known.endpoint.zone == self.settings.zone,
            known,
        };
        let candidates: Vec<Candidate<'a>> = usable.iter().map(candidate).collect();
        let elsewhere = self.digests.borrow().sums(instances - 1, now);
        let ask = Ask {
            service,
            prompt: &intake.prompt,
            target: intake.route.target,
            homes: self.homes(intake, service, instances, now),
        };
        let facts = Facts {
            loads: &self.loads.borrow(),
            elsewhere: &elsewhere,
            draw: &self.settings.instance,
            now,
        };
        choose(&candidates, ask, facts)
    }

    /// Engines that should hold the deepest shared part of the request's prompt.
    fn homes(&self, intake: &Intake, service: &Service, instances: usize, now: BootTime) -> usize {
        let Some(part) = shared(&intake.prompt).last() else {
            return 1;
        };
        let own = intake.prompt.parts.last().map_or(0, |own| own.tokens);
        let per_s = self.loads.borrow().read_rate(&service.id);
        let takes = Duration::from_secs_f64(f64::from(own) / per_s.max(1.0));
        self.heat.borrow().homes(part.id, instances, takes, now)
    }

    fn admits(&self, intake: &Intake, service: &Service, engines: usize, instances: usize, now: BootTime) -> bool {
        let Some(held) = service.engine_tokens else {
            return true;
        };
        let capacity = Capacity {
            tokens: held as f64 * engines as f64,
            elsewhere: self.digests.borrow().held(&service.id, instances - 1, now),
            instances,
        };
        let tokens = tokens_of(&intake.prompt);
        self.held.borrow().admits(&service.id, tokens, capacity, intake.urgency)
    }

    fn take(
        self: &Rc<Self>,
        service: &Service,
        choice: &Choice<'_>,
        intake: &Intake,
        size: Option<Size>,
        now: BootTime,
    ) -> Pick<W> {
        let tokens = tokens_of(&intake.prompt);
        if let Some(size) = size {
            let per_s = self.loads.borrow().read_rate(&service.id);
            let reading = Duration::from_secs_f64(f64::from(choice.missing) / per_s.max(1.0));
            let output = intake.prompt.most_output;
            self.split.borrow_mut().note(&service.id, size, reading, output, now);
        }
        if let Some(part) = shared(&intake.prompt).last() {
            self.heat.borrow_mut().note(part.id, intake.prompt.tokens, now);
        }
        self.held.borrow_mut().begin(&service.id, tokens);
        let ticket = self.loads.borrow_mut().begin(&service.id, choice, &intake.prompt, now);
        Pick {
            endpoint: choice.known.endpoint.clone(),
            flight: InFlight {
                edge: self.clone(),
                ticket,
                service: service.id.clone(),
                tokens,
                output: intake.prompt.most_output,
                slots: service.engine_slots.unwrap_or(0),
                begun: None,
                pause: self.view.borrow().catalog().tightest_pause(&service.id),
                gap: Duration::ZERO,
            },
            at: now,
        }
    }
}

fn is_cold(service: &Service, known: &Known, now: BootTime) -> bool {
    service.cold_rate > 0.0 && known.cold_until.is_some_and(|until| now < until)
}

/// Tokens of a prompt and its answer.
fn tokens_of(prompt: &Prompt) -> f64 {
    f64::from(prompt.tokens) + f64::from(prompt.most_output)
}
