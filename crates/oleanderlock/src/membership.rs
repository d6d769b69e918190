//! Which instances take new work, as one process sees them.
//!
//! The platform's list lags, so direct evidence takes precedence: messages, silence, broken links
//! and an instance's announcement that it leaves. Views are not shared between processes, so a
//! slow observer can mislead only itself. An observer that was paused does not count the pause as
//! silence of others. An observer that receives no message at all assumes that the fault is its
//! own and removes no instance.

use crate::member::Member;
use crate::member_action::MemberAction;
use crate::member_listing::MemberListing;
use crate::member_state::MemberState;
use crate::membership_config::MembershipConfig;
use crate::prelude::*;
use indexmap::IndexMap;

/// The instances that one process knows; holds at most `max_members`.
#[derive(Clone, Debug)]
pub struct Membership {
    cfg: MembershipConfig,
    members: IndexMap<String, Member>,
    ticked_at: Option<Millis>,
    /// Index at which the next round of probes starts, so that all silent instances are probed in
    /// turn.
    next_probe: usize,
}

impl Membership {
    /// Returns an empty view.
    pub fn new(cfg: MembershipConfig) -> Self {
        Self {
            cfg,
            members: IndexMap::new(),
            ticked_at: None,
            next_probe: 0,
        }
    }

    /// Returns an instance; `None` if it is not in the table.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// Returns the names of the instances that take new work.
    pub fn usable(&self) -> impl Iterator<Item = &str> {
        let available = |(_, member): &(&String, &Member)| member.state == MemberState::Available;
        let usable = self.members.iter().filter(available);
        usable.map(|(name, _)| name.as_str())
    }

    /// Applies the platform's list of instances.
    pub fn on_list(&mut self, now: Millis, list: &[MemberListing]) -> Vec<MemberAction> {
        for member in self.members.values_mut() {
            member.listed = false;
        }
        let mut actions = Vec::new();
        for row in list {
            if !self.ensure_member(now, &row.name) {
                continue;
            }
            let member = &mut self.members[&row.name];
            member.listed = true;
            member.domain.clone_from(&row.domain);
            member.leaving |= row.leaving;
            if member.leaving && member.state == MemberState::Available {
                self.set_state(&row.name, MemberState::Leaving, &mut actions);
            }
        }
        self.remove_unlisted(&mut actions);
        actions
    }

    /// Records any message from an instance.
    pub fn on_message(
        &mut self,
        now: Millis,
        name: &str,
        incarnation: Incarnation,
    ) -> Vec<MemberAction> {
        let mut actions = Vec::new();
        if self.ensure_member(now, name) && self.members[name].accept_incarnation(incarnation) {
            self.record_message(now, name, &mut actions);
        }
        actions
    }

    /// Records that an instance announced that it leaves.
    pub fn on_leaving(
        &mut self,
        now: Millis,
        name: &str,
        incarnation: Incarnation,
    ) -> Vec<MemberAction> {
        let mut actions = Vec::new();
        if self.ensure_member(now, name) && self.members[name].accept_incarnation(incarnation) {
            self.members[name].leaving = true;
            self.record_message(now, name, &mut actions);
        }
        actions
    }

    /// Records that the link to an instance broke; the instance is suspected at once.
    pub fn on_link_down(&mut self, now: Millis, name: &str) -> Vec<MemberAction> {
        let mut actions = Vec::new();
        if let Some(member) = self.members.get_mut(name) {
            member.next_probe_at = now;
            member.probe_wait = Millis::ZERO;
            if matches!(member.state, MemberState::Available | MemberState::Leaving) {
                self.set_state(name, MemberState::Suspected, &mut actions);
            }
        }
        actions
    }

    /// Records that the link to an instance was established; a silent instance is probed at the
    /// next tick.
    pub fn on_link_up(&mut self, now: Millis, name: &str) {
        if let Some(member) = self.members.get_mut(name) {
            member.next_probe_at = now;
            member.probe_wait = Millis::ZERO;
        }
    }

    /// Updates the states of silent instances and sends probes. `jitter` is a random number from 0
    /// to 1000; it lengthens the wait before the next probe by up to a quarter.
    pub fn tick(&mut self, now: Millis, jitter: u64) -> Vec<MemberAction> {
        self.discount_pause(now);
        let mut actions = Vec::new();
        let isolated = self.is_isolated(now);
        for index in 0..self.members.len() {
            self.update_state(now, index, isolated, &mut actions);
        }
        self.probe(now, jitter, &mut actions);
        self.remove_unlisted(&mut actions);
        actions
    }

    /// Adds the instance if it is unknown; returns false when the table is full.
    fn ensure_member(&mut self, now: Millis, name: &str) -> bool {
        if self.members.contains_key(name) {
            return true;
        }
        if self.members.len() >= self.cfg.max_members {
            return false;
        }
        let member = Member::new(now, "", false);
        self.members.insert(name.to_owned(), member);
        true
    }

    fn record_message(&mut self, now: Millis, name: &str, actions: &mut Vec<MemberAction>) {
        let member = &mut self.members[name];
        member.last_message_at = now;
        member.probe_wait = Millis::ZERO;
        member.probed = false;
        let state = member.reachable_state();
        self.set_state(name, state, actions);
    }

    fn set_state(&mut self, name: &str, state: MemberState, actions: &mut Vec<MemberAction>) {
        let member = &mut self.members[name];
        if member.state == state {
            return;
        }
        member.state = state;
        let name = name.to_owned();
        actions.push(MemberAction::Changed { name, state });
    }

    /// Shifts the silence timers of all instances by a pause of the observer.
    fn discount_pause(&mut self, now: Millis) {
        let passed = self.ticked_at.map_or(Millis::ZERO, |at| now.since(at));
        self.ticked_at = Some(now);
        if passed <= self.cfg.pause_threshold {
            return;
        }
        for member in self.members.values_mut() {
            member.last_message_at = member.last_message_at.plus(passed).min(now);
        }
    }

    /// Returns whether no instance sent a message within `suspect_after`, which points to a fault
    /// of the observer.
    fn is_isolated(&self, now: Millis) -> bool {
        let silent = |member: &Member| now.since(member.last_message_at) >= self.cfg.suspect_after;
        self.members.values().all(silent)
    }

    fn update_state(
        &mut self,
        now: Millis,
        index: usize,
        isolated: bool,
        actions: &mut Vec<MemberAction>,
    ) {
        let (name, member) = self
            .members
            .get_index(index)
            .expect("the index is in range");
        let silence = now.since(member.last_message_at);
        let state = match member.state {
            MemberState::Available | MemberState::Leaving if silence >= self.cfg.suspect_after => {
                MemberState::Suspected
            }
            MemberState::Suspected
                if silence >= self.cfg.gone_after && member.probed && !isolated =>
            {
                MemberState::Gone
            }
            state => state,
        };
        let name = name.clone();
        self.set_state(&name, state, actions);
    }

    /// Sends up to `probes_per_tick` probes to the silent instances, in turn.
    fn probe(&mut self, now: Millis, jitter: u64, actions: &mut Vec<MemberAction>) {
        let count = self.members.len();
        let mut sent = 0;
        for step in 0..count {
            let index = (self.next_probe + step) % count;
            let (name, member) = self
                .members
                .get_index_mut(index)
                .expect("the index is in range");
            let silent = matches!(member.state, MemberState::Suspected | MemberState::Gone);
            if !silent || member.next_probe_at > now {
                continue;
            }
            if sent == self.cfg.probes_per_tick {
                self.next_probe = index;
                return;
            }
            sent += 1;
            member.probed = true;
            let doubled = member.probe_wait.plus(member.probe_wait);
            member.probe_wait = doubled.clamp(self.cfg.probe_min, self.cfg.probe_max);
            let spread = Millis(member.probe_wait.0 * jitter.min(1000) / 4000);
            member.next_probe_at = now.plus(member.probe_wait).plus(spread);
            let name = name.clone();
            actions.push(MemberAction::Probe { name });
        }
    }

    /// Removes silent instances that the list does not name.
    fn remove_unlisted(&mut self, actions: &mut Vec<MemberAction>) {
        self.members.retain(|name, member| {
            let silent = matches!(member.state, MemberState::Suspected | MemberState::Gone);
            let keeps = member.listed || !silent;
            if !keeps && member.state != MemberState::Gone {
                let name = name.clone();
                let state = MemberState::Gone;
                actions.push(MemberAction::Changed { name, state });
            }
            keeps
        });
    }
}
