//! The queue of things to come.

use pimento_core::Time;
use std::{cmp::Reverse, collections::BinaryHeap};

/// What happens at a node.
pub enum Event {
    /// The core's clock ticks.
    Tick(usize),
    /// An encoded message arrives.
    Message(usize, Vec<u8>),
    /// Rules of a version have been fetched from another node.
    Pulled(usize, u64),
}

/// Events in the order of their times.
#[derive(Default)]
pub struct Queue {
    heap: BinaryHeap<Reverse<(Time, usize)>>,
    events: Vec<Option<Event>>,
    spare: Vec<usize>,
}

impl Queue {
    pub fn put(&mut self, at: Time, event: Event) {
        let slot = self.spare.pop().unwrap_or(self.events.len());
        if slot == self.events.len() {
            self.events.push(None);
        }
        self.events[slot] = Some(event);
        self.heap.push(Reverse((at, slot)));
    }

    /// The next event, if it happens by `end`.
    pub fn next(&mut self, end: Time) -> Option<(Time, Event)> {
        let Reverse((at, slot)) = self.heap.peek().copied()?;
        if at > end {
            return None;
        }
        self.heap.pop();
        self.spare.push(slot);
        self.events[slot].take().map(|event| (at, event))
    }
}
