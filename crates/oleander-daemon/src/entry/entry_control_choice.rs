//! Handlers that place an attempt: the choice of an endpoint, retries, and agents named by keys.

use crate::entry::choose_call::ChooseCall;
use crate::entry::entry_control::{EntryControl, SETTLE_LIMIT};
use crate::entry::locate_call::LocateCall;
use crate::entry::no_route::NoRoute;
use crate::entry::route::Route;
use crate::prelude::*;
use oleanderlock::choice_request::ChoiceRequest;
use oleanderlock::policy::Policy;
use oleanderlock::retry_budget::RetryDecision;
use oleanderlock::trainer_preference::TrainerPreference;

/// Time after which a caller may retry when no endpoint takes work.
const NO_ENDPOINT_RETRY: Millis = Millis(500);
/// Longest wait for the first report of an agent that a key names.
const LOCATE_LIMIT: Millis = Millis(500);

impl EntryControl {
    /// Answers a request for an endpoint; a retry needs a share of the retry budget and waits for
    /// its backoff first.
    pub(crate) fn choose(&mut self, now: Millis, call: ChooseCall) {
        match self.decide(now, &call) {
            RetryDecision::Retry(Millis::ZERO) => {
                if let Some(call) = self.hold_for_version(now, call) {
                    self.answer(now, call);
                }
            }
            RetryDecision::Retry(after) => self.retries.hold(now.plus(after), call),
            RetryDecision::GiveUp(refusal) => {
                let _ = call.reply.try_send(Err(NoRoute {
                    kind: refusal.error,
                    retry_after: refusal.retry_after,
                }));
            }
        }
    }

    fn hold_for_version(&mut self, now: Millis, call: ChooseCall) -> Option<ChooseCall> {
        let contract = self.config.contracts().of_class(&call.class);
        let is_product = self.cx.cfg.policy == Policy::Product;
        let Some(contract) = contract.filter(|_| is_product) else {
            return Some(call);
        };
        let newest = self.agents.newest_version(&call.target);
        self.version_holds.hold(now, contract, newest, call)
    }

    fn decide(&mut self, now: Millis, call: &ChooseCall) -> RetryDecision {
        let Some(contract) = self.config.contracts().of_class(&call.class) else {
            return RetryDecision::Retry(Millis::ZERO);
        };
        let has_candidate = self.agents.has_candidate(&call.target, &call.excluded);
        self.retries.decide(now, contract, call, has_candidate)
    }

    /// Answers a request for an endpoint, or holds it back if none is found before all agents have
    /// reported.
    fn answer(&mut self, now: Millis, call: ChooseCall) {
        let answer = self.route(now, &call);
        if answer.is_err() && !self.is_settled(now) {
            self.held_calls.push(call);
            return;
        }
        if answer.is_err() {
            self.cx.metrics.count_event("no-route");
        }
        let _ = call.reply.try_send(answer);
    }

    /// Answers the requests that were held back, as far as they can be answered now.
    pub(crate) fn answer_held(&mut self, now: Millis) {
        for call in std::mem::take(&mut self.held_calls) {
            self.answer(now, call);
        }
    }

    /// Answers the retries whose backoff is over, and the samples that need not wait any longer for
    /// their version.
    pub(crate) fn answer_due(&mut self, now: Millis) {
        while let Some(call) = self.retries.pop_due(now) {
            self.answer(now, call);
        }
        for call in self
            .version_holds
            .take_due(now, |target| self.agents.newest_version(target))
        {
            self.answer(now, call);
        }
    }

    /// Returns whether all agents in use that are not leaving have reported, or [`SETTLE_LIMIT`]
    /// has passed since the entry was opened.
    pub(crate) fn is_settled(&self, now: Millis) -> bool {
        let is_past_limit = now.since(self.opened_at) >= SETTLE_LIMIT;
        is_past_limit || self.agents.all_reported()
    }

    fn route(&mut self, now: Millis, call: &ChooseCall) -> Result<Route, NoRoute> {
        let contract = self.config.contracts().of_class(&call.class);
        let preference = contract.map_or(TrainerPreference::Idle, |contract| contract.preference);
        let req = ChoiceRequest {
            target: &call.target,
            prefix: call.prefix,
            deadline: call.deadline,
            kind: call.kind,
            preference,
            excluded: &call.excluded,
            draw: rand::random(),
        };
        if !self.agents.serves(&call.target) {
            return Err(no_route(ErrorKind::UnknownTarget));
        }
        let without_exclusions = ChoiceRequest {
            excluded: &[],
            ..req
        };
        let route = self.agents.choose(now, &req);
        let route = route.or_else(|| self.agents.choose(now, &without_exclusions));
        route.ok_or(no_route(ErrorKind::NoEndpoint))
    }

    /// Answers a request for an incarnation; an agent outside of the subset is dialled first, and
    /// the request waits for its report.
    pub(crate) fn locate(&mut self, now: Millis, call: LocateCall) {
        if let Some(route) = self.agents.locate(now, call.incarnation) {
            let _ = call.reply.try_send(Some(route));
            return;
        }
        let actions = self.agents.use_on_demand(&call.agent);
        self.apply_actions(actions);
        self.locating.push(call);
    }

    /// Answers the requests for incarnations that have reported, and those that have waited for
    /// [`LOCATE_LIMIT`].
    pub(crate) fn answer_locating(&mut self, now: Millis) {
        for call in std::mem::take(&mut self.locating) {
            let route = self.agents.locate(now, call.incarnation);
            if route.is_some() || now.since(call.asked_at) >= LOCATE_LIMIT {
                let _ = call.reply.try_send(route);
                continue;
            }
            self.locating.push(call);
        }
    }
}

fn no_route(kind: ErrorKind) -> NoRoute {
    NoRoute {
        kind,
        retry_after: NO_ENDPOINT_RETRY,
    }
}
