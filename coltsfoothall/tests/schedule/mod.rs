//! When the instances of a fleet send each other heartbeats and digests.

use std::time::Duration;

use coltsfoothall::batch;
use coltsfoothall::clock::Time;
use coltsfoothall::forward::peer::MAX_HEARTBEATS_PER_BATCH;
use coltsfoothall::forward::role::CONTACTS;

/// Milliseconds between two turns of an instance.
pub const TURN: u64 = 100;
/// Turns between two messages of an instance on standby, and between two to it.
const STANDBY_TURNS: usize = 10;
/// Share of the datagrams that are lost.
pub const LOSS: f64 = 0.01;

/// Start of a turn.
pub fn time(turn: u64) -> Time {
    Time::START + Duration::from_millis(turn * TURN)
}

/// A fleet whose first instances are active, and the others on standby.
#[derive(Debug, Clone, Copy)]
pub struct Schedule {
    pub active: usize,
    pub standby: usize,
}

/// Fleets of 9, 77 and 985 instances.
pub const FLEETS: [Schedule; 3] = [schedule(9, 0), schedule(77, 0), schedule(60, 925)];

const fn schedule(active: usize, standby: usize) -> Schedule {
    Schedule { active, standby }
}

impl Schedule {
    pub fn len(self) -> usize {
        self.active + self.standby
    }

    /// Turns in which an active instance sends heartbeats to all others.
    pub fn batches(self) -> usize {
        batch::count(self.active, MAX_HEARTBEATS_PER_BATCH)
    }

    /// Active instances that one on standby reports to.
    fn contacts(self, standby: usize) -> impl Iterator<Item = usize> {
        (0..CONTACTS).map(move |n| (standby + n) % self.active)
    }

    /// The recipients of an instance in a turn, and the number of its round.
    pub fn recipients(self, turn: u64, from: usize) -> (Vec<usize>, usize) {
        let number = turn as usize + from;
        if from >= self.active {
            let due = number.is_multiple_of(STANDBY_TURNS);
            let contacts = self.contacts(from).filter(|_| due);
            return (contacts.collect(), number / STANDBY_TURNS);
        }
        let others: Vec<usize> = (0..self.active).filter(|to| *to != from).collect();
        let mut to = batch::select(&others, MAX_HEARTBEATS_PER_BATCH, number);
        to.extend((self.active..self.len()).filter(|standby| {
            (number + standby).is_multiple_of(STANDBY_TURNS)
                && self.contacts(*standby).any(|contact| contact == from)
        }));
        (to, number / self.batches())
    }
}
