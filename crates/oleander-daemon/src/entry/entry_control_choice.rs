//! What an entry does to place an attempt: choice, retries, and agents named by keys.

use crate::entry::entry_control::{EntryControl, SETTLE_LIMIT};
use crate::entry::entry_event::{ChooseCall, LocateCall, NoRoute, Route};
use crate::prelude::*;
use oleanderlock::choice_request::ChoiceRequest;
use oleanderlock::policy::Policy;
use oleanderlock::retry_budget::RetryDecision;
use oleanderlock::trainer_preference::TrainerPreference;

/// Time to come back when nothing is known of the endpoints.
const NO_ENDPOINT_RETRY: Millis = Millis(500);
/// Longest wait for an agent that a key names and that was not heard yet.
const LOCATE_LIMIT: Millis = Millis(500);

impl EntryControl {
    /// Decides on a retry, if it is one, and answers the request for an endpoint.
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

    /// Answers a request for an endpoint, or holds it back while the agents are not heard yet.
    fn answer(&mut self, now: Millis, call: ChooseCall) {
        let answer = self.route(now, &call);
        if answer.is_err() && !self.is_settled(now) {
            self.held.push(call);
            return;
        }
        if answer.is_err() {
            self.cx.metrics.count_event("no-route");
        }
        let _ = call.reply.try_send(answer);
    }

    pub(crate) fn answer_held(&mut self, now: Millis) {
        for call in std::mem::take(&mut self.held) {
            self.answer(now, call);
        }
    }

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

    /// A new entry knows its agents once all that are listed were heard, or after a while.
    pub(crate) fn is_settled(&self, now: Millis) -> bool {
        let warm = now.since(self.opened) >= SETTLE_LIMIT;
        warm || self.agents.all_reported()
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
        let anywhere = ChoiceRequest {
            excluded: &[],
            ..req
        };
        let route = self.agents.choose(now, &req);
        let route = route.or_else(|| self.agents.choose(now, &anywhere));
        route.ok_or(no_route(ErrorKind::NoEndpoint))
    }

    /// Finds the agent that a key names; one outside of the subset is dialled first.
    pub(crate) fn locate(&mut self, now: Millis, call: LocateCall) {
        if let Some(route) = self.agents.locate(now, call.incarnation) {
            let _ = call.reply.try_send(Some(route));
            return;
        }
        let actions = self.agents.want(&call.agent);
        self.apply_actions(actions);
        self.locating.push(call);
    }

    /// Answers the requests for agents that are known by now, or were waited for long enough.
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
