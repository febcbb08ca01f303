//! Malformed and arbitrary messages cause no panic.

use pimento_consensus::{Config, Entry, Message, PersistentState, Raft};
use pimento_core::{Time, VmId};
use prost::Message as _;

#[test]
fn decodes_arbitrary_bytes() {
    bolero::check!()
        .with_iterations(2_000)
        .with_type::<Vec<u8>>()
        .for_each(|bytes| {
            drop(Message::decode(bytes.as_slice()));
            drop(Entry::decode(bytes.as_slice()));
        });
}

#[test]
fn handles_arbitrary_messages() {
    let vm = VmId::new("c1").expect("a valid VM name");
    let from = VmId::new("c2").expect("a valid VM name");
    bolero::check!()
        .with_iterations(2_000)
        .with_type::<Vec<u8>>()
        .for_each(|bytes| {
            let Ok(message) = Message::decode(bytes.as_slice()) else {
                return;
            };
            let config = Config::new(vm.clone(), 1, Vec::new());
            let (mut raft, _) = Raft::new(config, PersistentState::default(), Time::ZERO, 1);
            drop(raft.receive(Time::from_millis(1), &from, message));
        });
}
