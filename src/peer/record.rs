//! What is known of one VM, and how words on it join.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::ids::{DataCentre, Generation, VmId};
use crate::peer::membership::MemberState;
use crate::store::{Instance, InstanceState};

/// Peers that must have lost a VM before their word makes it silent here.
const WITNESSES: usize = 2;
/// Rounds in which a new leaving word goes first.
pub(super) const HOT_ROUNDS: u32 = 10;

/// A generation with its leaving mark; the greater one wins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Word {
    pub(super) generation: Generation,
    pub(super) leaving: bool,
}

impl Word {
    /// What the platform's list says.
    pub(super) fn of(instance: &Instance) -> Self {
        Self {
            generation: instance.generation,
            leaving: instance.state == InstanceState::Leaving,
        }
    }
}

/// What is known of one VM.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) word: Word,
    pub(super) address: Option<SocketAddr>,
    pub(super) centre: Option<DataCentre>,
    pub(super) listed: bool,
    pub(super) touched: Instant,
    pub(super) heard: Option<Instant>,
    pub(super) lost: Option<Instant>,
    pub(super) hearsay: Option<Instant>,
    pub(super) witnesses: BTreeSet<VmId>,
    pub(super) claimed: Option<Instant>,
    pub(super) hot: u32,
    pub(super) told: u64,
}

impl Record {
    pub(super) fn open(now: Instant) -> Self {
        Self {
            word: Word::default(),
            address: None,
            centre: None,
            listed: false,
            touched: now,
            heard: None,
            lost: None,
            hearsay: None,
            witnesses: BTreeSet::new(),
            claimed: None,
            hot: 0,
            told: 0,
        }
    }

    // A new generation starts with a clean sheet: what was seen of the old one says nothing of it.
    pub(super) fn merge(&mut self, word: Word, now: Instant) -> bool {
        if word <= self.word {
            return false;
        }
        if word.generation > self.word.generation {
            self.heard = None;
            self.lost = None;
            self.hearsay = None;
            self.clear_claims();
        }
        self.word = word;
        self.touched = now;
        self.hot = if word.leaving { HOT_ROUNDS } else { 0 };
        word.leaving
    }

    pub(super) fn clear_claims(&mut self) {
        self.witnesses.clear();
        self.claimed = None;
    }

    pub(super) fn state(&self, silence: Duration, now: Instant) -> MemberState {
        let fresh = |at: Instant| now.saturating_duration_since(at) <= silence;
        let heard = self.heard.is_some_and(fresh);
        if !self.listed && !heard {
            return MemberState::Gone;
        }
        if self.word.leaving {
            return MemberState::Leaving;
        }
        if self.lost > self.heard || self.lost_by_peers(silence) {
            return MemberState::Silent;
        }
        MemberState::Live
    }

    pub(super) fn lost_by_peers(&self, silence: Duration) -> bool {
        let Some(claimed) = self.claimed else {
            return false;
        };
        let newest = self.heard.max(self.hearsay);
        let refuted = newest.is_some_and(|at| at + silence >= claimed);
        self.witnesses.len() >= WITNESSES && !refuted
    }
}
