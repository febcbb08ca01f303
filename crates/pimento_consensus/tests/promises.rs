//! A replica sends votes, acknowledgements and read results only once what they
//! depend on is durable or committed.

use bytes::Bytes;
use pimento_consensus::{
    AppendEntries, AppendEntriesReply, Body, Config, Effect, Entry, EntryKind, HardState, Member,
    MemberChange, Members, Message, PersistentState, Raft, RequestVote, RequestVoteReply, Role,
    Snapshot,
};
use pimento_core::{Time, VmId};
use std::time::Duration;

/// Longer than any election timeout.
const ABOVE_ELECTION_TIMEOUT: Duration = Duration::from_secs(3);

fn vm(i: u64) -> VmId {
    VmId::new(format!("vm{i}")).unwrap()
}

/// The ID of a replica's data folder.
fn folder_id(i: u64) -> u64 {
    i + 10
}

fn message(from: u64, term: u64, body: Body) -> Message {
    Message {
        term,
        folder_id: folder_id(from),
        body: Some(body),
    }
}

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index,
        term,
        kind: EntryKind::Command as i32,
        payload: Bytes::from_static(b"command"),
    }
}

/// The first of three voters, with log entries after a snapshot at entry 1.
fn replica(term: u64, entries: Vec<Entry>) -> Raft {
    let member = |i| Member {
        vm: vm(i).into(),
        address: String::new(),
        folder_id: folder_id(i),
        voter: true,
    };
    let snapshot = Snapshot {
        index: 1,
        term: 1,
        members: Members::new((0..3).map(member).collect()),
        data: Bytes::new(),
    };
    let vote = String::new();
    let saved = PersistentState {
        hard_state: HardState { term, vote },
        snapshot: Some(snapshot),
        entries,
    };
    let config = Config::new(vm(0), folder_id(0), Vec::new());
    Raft::new(config, saved, Time::ZERO, 1).0
}

fn vote(voter_folder: u64) -> Body {
    Body::RequestVote(RequestVote {
        pre_vote: false,
        last_index: 1,
        last_term: 1,
        voter_folder,
        leader_transfer: false,
    })
}

fn sends(effects: &[Effect], matches: impl Fn(&Body) -> bool) -> bool {
    effects.iter().any(|effect| match effect {
        Effect::Send { message, .. } => message.body.as_ref().is_some_and(&matches),
        _ => false,
    })
}

fn is_granted_vote(body: &Body) -> bool {
    matches!(body, Body::RequestVoteReply(reply) if reply.granted && !reply.pre_vote)
}

fn write_seq(effects: &[Effect]) -> u64 {
    let seq = effects.iter().find_map(|effect| match effect {
        Effect::Persist(write) => Some(write.seq),
        _ => None,
    });
    seq.expect("the effects contain a write")
}

fn applied_indexes(effects: &[Effect]) -> Vec<u64> {
    let index = |effect: &Effect| match effect {
        Effect::Apply(entry) => Some(entry.index),
        _ => None,
    };
    effects.iter().filter_map(index).collect()
}

#[test]
fn vote_is_durable_before_reply() {
    let mut raft = replica(1, Vec::new());
    let now = Time::ZERO;
    let effects = raft.receive(now, &vm(1), message(1, 2, vote(folder_id(0))));
    assert!(!sends(&effects, is_granted_vote));
    let effects = raft.record_synced(now, write_seq(&effects));
    assert!(sends(&effects, is_granted_vote));
    // One vote per term, and the same reply to a repeated request.
    let effects = raft.receive(now, &vm(2), message(2, 2, vote(folder_id(0))));
    assert!(!sends(&effects, is_granted_vote));
    let effects = raft.receive(now, &vm(1), message(1, 2, vote(folder_id(0))));
    let effects = raft.record_synced(now, write_seq(&effects));
    assert!(sends(&effects, is_granted_vote));
}

#[test]
fn no_vote_after_folder_loss() {
    // The candidate's member list has another data folder for this replica.
    let mut raft = replica(1, Vec::new());
    let effects = raft.receive(Time::ZERO, &vm(1), message(1, 2, vote(folder_id(7))));
    assert_eq!(
        effects
            .iter()
            .filter(|e| matches!(e, Effect::Persist(_)))
            .count(),
        0
    );
    assert!(!sends(&effects, is_granted_vote));
}

#[test]
fn entry_is_durable_before_ack() {
    let mut raft = replica(2, Vec::new());
    let now = Time::ZERO;
    let append = |prev_index, entries| {
        let body = Body::AppendEntries(AppendEntries {
            prev_index,
            prev_term: 1,
            leader_commit: 1,
            round: 1,
            entries,
        });
        message(1, 2, body)
    };
    let acked = |index| move |body: &Body| matches!(body, Body::AppendEntriesReply(r) if r.accepted && r.index >= index);
    let effects = raft.receive(now, &vm(1), append(1, vec![entry(2, 2)]));
    assert!(!sends(&effects, acked(2)));
    let seq = write_seq(&effects);
    // A heartbeat is acknowledged, but only up to the durable entries.
    let effects = raft.receive(now, &vm(1), append(1, Vec::new()));
    assert!(sends(&effects, acked(1)));
    assert!(!sends(&effects, acked(2)));
    let effects = raft.record_synced(now, seq);
    assert!(sends(&effects, acked(2)));
}

/// Elects the replica; returns its term.
fn elect(raft: &mut Raft, now: Time) -> u64 {
    raft.tick(now);
    let term = raft.status().term + 1;
    let reply = |pre_vote| {
        Body::RequestVoteReply(RequestVoteReply {
            pre_vote,
            granted: true,
        })
    };
    let effects = raft.receive(now, &vm(1), message(1, term, reply(true)));
    let seq = write_seq(&effects);
    // The vote of another replica is no quorum until the own vote is durable.
    let effects = raft.receive(now, &vm(1), message(1, term, reply(false)));
    assert!(!effects.contains(&Effect::BecameLeader));
    let effects = raft.record_synced(now, seq);
    assert!(effects.contains(&Effect::BecameLeader));
    let seq = write_seq(&effects);
    raft.record_synced(now, seq);
    term
}

#[test]
fn ignores_votes_of_non_members() {
    // Only votes of members from their known data folder count.
    let mut raft = replica(3, Vec::new());
    let now = Time::ZERO + ABOVE_ELECTION_TIMEOUT;
    raft.tick(now);
    let granted_reply = |from| {
        let reply = RequestVoteReply {
            pre_vote: true,
            granted: true,
        };
        message(from, 4, Body::RequestVoteReply(reply))
    };
    raft.receive(now, &vm(3), granted_reply(3));
    let mut other_folder = granted_reply(2);
    other_folder.folder_id = folder_id(7);
    raft.receive(now, &vm(2), other_folder);
    assert_eq!(raft.status().role, Role::PreCandidate);
    raft.receive(now, &vm(2), granted_reply(2));
    assert_eq!(raft.status().role, Role::Candidate);
}

#[test]
fn commits_only_entries_of_current_term() {
    // An entry of an older term may still be replaced although a quorum has it;
    // only an entry of the leader's own term commits it.
    let mut raft = replica(3, vec![entry(2, 2)]);
    let now = Time::ZERO + ABOVE_ELECTION_TIMEOUT;
    let term = elect(&mut raft, now);
    let reply = |index| {
        let body = Body::AppendEntriesReply(AppendEntriesReply {
            accepted: true,
            index,
            round: 0,
        });
        message(1, term, body)
    };
    let effects = raft.receive(now, &vm(1), reply(2));
    assert_eq!(applied_indexes(&effects), []);
    let effects = raft.receive(now, &vm(1), reply(3));
    assert_eq!(applied_indexes(&effects), [2, 3]);
}

#[test]
fn ignores_ack_from_other_folder() {
    // An acknowledgement counts only from the member's known data folder.
    let mut raft = replica(3, vec![entry(2, 2)]);
    let now = Time::ZERO + ABOVE_ELECTION_TIMEOUT;
    let term = elect(&mut raft, now);
    let body = Body::AppendEntriesReply(AppendEntriesReply {
        accepted: true,
        index: 3,
        round: 1,
    });
    let mut reply = message(1, term, body);
    reply.folder_id = folder_id(7);
    let effects = raft.receive(now, &vm(1), reply);
    assert_eq!(applied_indexes(&effects), []);
}

#[test]
fn no_read_before_commit_in_term() {
    // A new leader knows the commit index only once its own first entry is
    // committed.
    let mut raft = replica(3, vec![entry(2, 2)]);
    let now = Time::ZERO + ABOVE_ELECTION_TIMEOUT;
    let term = elect(&mut raft, now);
    raft.read_index(now, 7);
    let reply = |index, round| {
        let body = Body::AppendEntriesReply(AppendEntriesReply {
            accepted: true,
            index,
            round,
        });
        message(1, term, body)
    };
    let ready = Effect::ReadReady { id: 7 };
    let mut effects = raft.receive(now, &vm(1), reply(2, 1));
    effects.extend(raft.receive(now, &vm(1), reply(2, 2)));
    assert!(!effects.contains(&ready));
    let effects = raft.receive(now, &vm(1), reply(3, 2));
    assert!(effects.contains(&ready));
}

#[test]
fn replaced_entries_are_not_durable() {
    // Entries that a new leader replaces were durable, but their replacements
    // are not until they are synced.
    let mut raft = replica(3, vec![entry(2, 2), entry(3, 2)]);
    let now = Time::ZERO;
    let append = |entries| {
        let body = Body::AppendEntries(AppendEntries {
            prev_index: 1,
            prev_term: 1,
            leader_commit: 1,
            round: 1,
            entries,
        });
        message(1, 3, body)
    };
    let acked =
        |body: &Body| matches!(body, Body::AppendEntriesReply(r) if r.accepted && r.index > 1);
    let effects = raft.receive(now, &vm(1), append(vec![entry(2, 3), entry(3, 3)]));
    assert!(!sends(&effects, acked));
    let seq = write_seq(&effects);
    let effects = raft.receive(now, &vm(1), append(Vec::new()));
    assert!(!sends(&effects, acked));
    let effects = raft.record_synced(now, seq);
    assert!(sends(&effects, acked));
}

#[test]
fn no_change_before_commit_in_term() {
    // A membership change before an entry of the leader's own term is committed
    // could overlap with a change by an older leader.
    let mut raft = replica(3, vec![entry(2, 2)]);
    let now = Time::ZERO + ABOVE_ELECTION_TIMEOUT;
    let term = elect(&mut raft, now);
    let add = MemberChange::Add {
        vm: vm(3),
        address: String::new(),
    };
    let is_rejected = |effects: &[Effect]| {
        effects
            .iter()
            .any(|effect| matches!(effect, Effect::Rejected { .. }))
    };
    let effects = raft.change_members(now, 1, add.clone());
    assert!(is_rejected(&effects));
    let body = Body::AppendEntriesReply(AppendEntriesReply {
        accepted: true,
        index: 3,
        round: 0,
    });
    raft.receive(now, &vm(1), message(1, term, body));
    let effects = raft.change_members(now, 2, add);
    assert!(!is_rejected(&effects));
}
