//! Requests whose content is withheld: refused when offered, and removed from the queue when a crash makes it so.

use celerytide_types::BootTime;

use super::Pool;
use super::permit::ActivePermit;
use crate::quarantine::Content;
use crate::request::{PermitRequest, PermitRequestId, Refusal, Refused};

impl Pool {
    /// Refuses a request whose content is withheld, until the time is over.
    pub(super) fn refuse_withheld(
        &mut self,
        now: BootTime,
        id: PermitRequestId,
        class: usize,
        req: &PermitRequest,
    ) -> Option<Refused> {
        let retry_after = self.quarantine.remaining(now, req.content?)?;
        let refused = self.refuse(now, id, Some(class), Refusal::CrashesEndpoints);
        Some(Refused { retry_after, ..refused })
    }

    /// Records that the endpoint crashed under the request of a permit.
    pub(super) fn record_crash(&mut self, now: BootTime, active: &ActivePermit) {
        let (Some(content), Some(endpoint)) = (active.content, self.table.get(active.endpoint)) else {
            return;
        };
        // An endpoint that failed gets nothing for this time.
        let span = self.opts.backoff_floor;
        if self.quarantine.record_crash(now, content, &endpoint.plan.id, span) {
            self.shed_withheld(now, content);
        }
    }

    /// Records that the request of a permit was answered.
    pub(super) fn record_answered(&mut self, active: &ActivePermit) {
        if let Some(content) = active.content {
            self.quarantine.record_success(content);
        }
    }

    fn shed_withheld(&mut self, now: BootTime, content: Content) {
        let queued = self.waiting.iter();
        let with_content = queued.filter(|(_, queued)| queued.req.content == Some(content));
        let mut ids: Vec<PermitRequestId> = with_content.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        for id in ids {
            self.shed(now, id, Refusal::CrashesEndpoints);
        }
    }
}
