//! Messages of the replicated log survive arbitrary bytes.

use pimento_consensus::{Config, Entry, Message, PersistentState, Raft};
use pimento_core::{Time, VmId};
use prost::Message as _;

#[test]
fn any_bytes() {
    bolero::check!()
        .with_iterations(2_000)
        .with_type::<Vec<u8>>()
        .for_each(|bytes| {
            drop(Message::decode(bytes.as_slice()));
            drop(Entry::decode(bytes.as_slice()));
        });
}

#[test]
fn received_anyhow() {
    let me = VmId::new("c1").expect("a good name");
    let from = VmId::new("c2").expect("a good name");
    bolero::check!()
        .with_iterations(2_000)
        .with_type::<Vec<u8>>()
        .for_each(|bytes| {
            let Ok(message) = Message::decode(bytes.as_slice()) else {
                return;
            };
            let config = Config::new(me.clone(), 1, Vec::new());
            let (mut raft, _) = Raft::new(config, PersistentState::default(), Time::ZERO, 1);
            drop(raft.receive(Time::from_millis(1), &from, message));
        });
}
