//! The event queue of the simulation.

use pimento_core::Time;
use std::{cmp::Reverse, collections::BinaryHeap};

/// An event at a node; the first field is the node.
pub enum Event {
    /// The membership core gets its periodic tick.
    Tick(usize),
    /// An encoded message arrives.
    Message(usize, Vec<u8>),
    /// A pull of rules up to this version has finished.
    PullFinished(usize, u64),
}

/// A priority queue of events ordered by time.
#[derive(Default)]
pub struct Queue {
    heap: BinaryHeap<Reverse<(Time, usize)>>,
    events: Vec<Option<Event>>,
    free_slots: Vec<usize>,
}

impl Queue {
    pub fn push(&mut self, at: Time, event: Event) {
        let slot = self.free_slots.pop().unwrap_or(self.events.len());
        if slot == self.events.len() {
            self.events.push(None);
        }
        self.events[slot] = Some(event);
        self.heap.push(Reverse((at, slot)));
    }

    /// Removes and returns the next event, if it is due by `end`.
    pub fn pop_until(&mut self, end: Time) -> Option<(Time, Event)> {
        let Reverse((at, slot)) = self.heap.peek().copied()?;
        if at > end {
            return None;
        }
        self.heap.pop();
        self.free_slots.push(slot);
        self.events[slot].take().map(|event| (at, event))
    }
}
