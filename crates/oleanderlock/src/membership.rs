//! Which instances are there, as one process sees them.
//!
//! The platform's list lags, so direct evidence goes before it: messages, silence, broken links
//! and an instance's own word that it leaves. A view is never passed on: one slow observer can
//! mislead only itself. An observer that was paused does not count the pause as silence of others,
//! and one that hears nobody holds the fault its own and removes none.

use crate::member::{Member, MemberState};
use crate::membership_config::MembershipConfig;
use crate::prelude::*;
use indexmap::IndexMap;

/// One row of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Name of the instance.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Whether the platform is about to stop it.
    pub leaving: bool,
}

/// What the owner has to do or may want to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberAction {
    /// Send a message that the instance answers at once.
    Probe {
        /// Name of the instance.
        name: String,
    },
    /// An instance has another state.
    Changed {
        /// Name of the instance.
        name: String,
        /// Its state now.
        state: MemberState,
    },
}

/// The instances that one process knows; holds at most `max_members`.
#[derive(Clone, Debug)]
pub struct Membership {
    cfg: MembershipConfig,
    members: IndexMap<String, Member>,
    ticked_at: Option<Millis>,
    /// Where the next round of probes starts, so that each silent instance has its turn.
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

    /// Returns what is known of an instance.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// Returns the names of the instances that take new work.
    pub fn usable(&self) -> impl Iterator<Item = &str> {
        let there = |(_, member): &(&String, &Member)| member.state == MemberState::There;
        let usable = self.members.iter().filter(there);
        usable.map(|(name, _)| name.as_str())
    }

    /// Takes the platform's list.
    pub fn on_list(&mut self, now: Millis, list: &[Listed]) -> Vec<MemberAction> {
        for member in self.members.values_mut() {
            member.listed = false;
        }
        let mut actions = Vec::new();
        for row in list {
            if !self.admit(now, &row.name) {
                continue;
            }
            let member = &mut self.members[&row.name];
            member.listed = true;
            member.domain.clone_from(&row.domain);
            member.leaving |= row.leaving;
            if member.leaving && member.state == MemberState::There {
                self.set_state(&row.name, MemberState::Leaving, &mut actions);
            }
        }
        self.forget_unlisted(&mut actions);
        actions
    }

    /// Takes any message of an instance.
    pub fn on_heard(
        &mut self,
        now: Millis,
        name: &str,
        incarnation: Incarnation,
    ) -> Vec<MemberAction> {
        let mut actions = Vec::new();
        if self.admit(now, name) && self.members[name].meet(incarnation) {
            self.mark_heard(now, name, &mut actions);
        }
        actions
    }

    /// Takes the word of an instance that it leaves.
    pub fn on_leaving(
        &mut self,
        now: Millis,
        name: &str,
        incarnation: Incarnation,
    ) -> Vec<MemberAction> {
        let mut actions = Vec::new();
        if self.admit(now, name) && self.members[name].meet(incarnation) {
            self.members[name].leaving = true;
            self.mark_heard(now, name, &mut actions);
        }
        actions
    }

    /// Takes the news that the link to an instance broke.
    pub fn on_link_broken(&mut self, now: Millis, name: &str) -> Vec<MemberAction> {
        let mut actions = Vec::new();
        if let Some(member) = self.members.get_mut(name) {
            member.probe_at = now;
            member.probe_wait = Millis::ZERO;
            if matches!(member.state, MemberState::There | MemberState::Leaving) {
                self.set_state(name, MemberState::Suspected, &mut actions);
            }
        }
        actions
    }

    /// Takes the news that the link to an instance stands; it is probed at the next tick.
    pub fn on_link_up(&mut self, now: Millis, name: &str) {
        if let Some(member) = self.members.get_mut(name) {
            member.probe_at = now;
            member.probe_wait = Millis::ZERO;
        }
    }

    /// Judges silence and sends probes; `jitter` is drawn from 0 to 1000 for each tick.
    pub fn tick(&mut self, now: Millis, jitter: u64) -> Vec<MemberAction> {
        self.excuse_pause(now);
        let mut actions = Vec::new();
        let isolated = self.is_isolated(now);
        for at in 0..self.members.len() {
            self.judge(now, at, isolated, &mut actions);
        }
        self.probe(now, jitter, &mut actions);
        self.forget_unlisted(&mut actions);
        actions
    }

    /// Makes sure that the instance has a place; returns false when the table is full.
    fn admit(&mut self, now: Millis, name: &str) -> bool {
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

    fn mark_heard(&mut self, now: Millis, name: &str, actions: &mut Vec<MemberAction>) {
        let member = &mut self.members[name];
        member.heard_at = now;
        member.probe_wait = Millis::ZERO;
        member.probed = false;
        let state = member.state_when_heard();
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

    /// Shifts all silence timers by a pause of the observer.
    fn excuse_pause(&mut self, now: Millis) {
        let passed = self.ticked_at.map_or(Millis::ZERO, |at| now.since(at));
        self.ticked_at = Some(now);
        if passed <= self.cfg.pause {
            return;
        }
        for member in self.members.values_mut() {
            member.heard_at = member.heard_at.plus(passed).min(now);
        }
    }

    /// Tells whether nobody was heard of late, which points to a fault of the observer.
    fn is_isolated(&self, now: Millis) -> bool {
        let silent = |member: &Member| now.since(member.heard_at) >= self.cfg.suspect;
        self.members.values().all(silent)
    }

    fn judge(&mut self, now: Millis, at: usize, isolated: bool, actions: &mut Vec<MemberAction>) {
        let (name, member) = self.members.get_index(at).expect("within the table");
        let silence = now.since(member.heard_at);
        let state = match member.state {
            MemberState::There | MemberState::Leaving if silence >= self.cfg.suspect => {
                MemberState::Suspected
            }
            MemberState::Suspected if silence >= self.cfg.gone && member.probed && !isolated => {
                MemberState::Gone
            }
            state => state,
        };
        let name = name.clone();
        self.set_state(&name, state, actions);
    }

    /// Sends as many probes as one tick allows, to the silent instances in turn.
    fn probe(&mut self, now: Millis, jitter: u64, actions: &mut Vec<MemberAction>) {
        let count = self.members.len();
        let mut sent = 0;
        for step in 0..count {
            let at = (self.next_probe + step) % count;
            let (name, member) = self.members.get_index_mut(at).expect("within the table");
            let silent = matches!(member.state, MemberState::Suspected | MemberState::Gone);
            if !silent || member.probe_at > now {
                continue;
            }
            if sent == self.cfg.probes_per_tick {
                self.next_probe = at;
                return;
            }
            sent += 1;
            member.probed = true;
            let doubled = member.probe_wait.plus(member.probe_wait);
            member.probe_wait = doubled.clamp(self.cfg.probe_min, self.cfg.probe_max);
            let spread = Millis(member.probe_wait.0 * jitter.min(1000) / 4000);
            member.probe_at = now.plus(member.probe_wait).plus(spread);
            let name = name.clone();
            actions.push(MemberAction::Probe { name });
        }
    }

    /// Drops instances that the list does not name and that are silent.
    fn forget_unlisted(&mut self, actions: &mut Vec<MemberAction>) {
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
