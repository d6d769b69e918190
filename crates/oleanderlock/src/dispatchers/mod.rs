//! Decisions on registered dispatchers, each of which may be gone: a machine that is replaced doesn't
//! remove what it has registered. No wait and no cost grows with their number.

pub mod absences;
pub mod candidacy;
pub mod peer_reach;
