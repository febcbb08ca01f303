//! Notes through the replicated state: one accepted content a number.

use bolero::check;
use pimento_rules::{Items, Note, Region, Rules};
use pimento_state::{Command, Effect, NoteResult, Op, State};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};

/// Schedules in the fixed set.
const SEEDS: u64 = 200;

/// A note of an operator; each operator lists another region.
fn note(number: u64, operator: u64) -> Note {
    let region = Region {
        name: format!("r-{number}-{operator}")
            .parse()
            .expect("a valid name"),
        reserve: 20,
    };
    Note {
        number,
        added: Items {
            regions: vec![region],
            ..Items::default()
        },
        ..Note::default()
    }
}

fn offer(state: &mut State, index: u64, note: &Note) -> NoteResult {
    let outcome = state.apply(index, &Command::note(index, note));
    assert_eq!(outcome.index, index);
    let Some(Effect::Note(outcome)) = outcome.effect else {
        panic!("a note has a note's outcome");
    };
    outcome.kind.expect("an outcome has a kind")
}

/// Operators race with equal numbers and send again after lost answers.
fn race(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut state = State::default();
    let mut accepted: Vec<Note> = Vec::new();
    for index in 1..60 {
        let last = accepted.len() as u64;
        let number = rng.random_range(last.saturating_sub(2)..last + 3);
        let note = note(number, rng.random_range(0..3));
        let digest = note.digest();
        let before = state.rules().version;
        let known = (number as usize).checked_sub(1);
        let known = known.and_then(|at| accepted.get(at)).cloned();
        match (offer(&mut state, index, &note), known) {
            (NoteResult::Accepted(record), None) => {
                assert_eq!(record.digest(), Some(digest));
                assert_eq!(record.number, last + 1);
                accepted.push(note);
            }
            (NoteResult::AlreadyAccepted(record), Some(first)) => {
                assert_eq!(record.digest(), Some(digest));
                assert_eq!(first, note);
            }
            (NoteResult::Conflict(record), Some(first)) => {
                assert_eq!(record.digest(), Some(first.digest()));
                assert_ne!(first, note);
            }
            (NoteResult::Gap(expected), None) => assert_eq!(expected, last + 1),
            (NoteResult::Forgotten(_), None) => assert_eq!(number, 0),
            (other, _) => panic!("{other:?} for note {number} after {last}"),
        }
        assert!(state.rules().version >= before);
        if rng.random_bool(0.1) {
            let restored = State::restore(&state.snapshot()).expect("a snapshot");
            assert_eq!(restored, state);
            state = restored;
        }
    }
    let all = accepted
        .iter()
        .try_fold(Rules::default(), |r, n| r.apply(n));
    assert_eq!(Ok(Rules::clone(state.rules())), all);
}

#[test]
fn racing_operators() {
    (0..SEEDS).for_each(race);
    let check = check!().with_type::<u64>();
    check.with_iterations(50).for_each(|seed| race(*seed));
}

#[test]
fn first_answer_again() {
    let mut state = State::default();
    let NoteResult::Accepted(first) = offer(&mut state, 1, &note(1, 1)) else {
        panic!("the first note is accepted");
    };
    offer(&mut state, 2, &note(2, 1));
    assert_eq!(
        offer(&mut state, 9, &note(1, 1)),
        NoteResult::AlreadyAccepted(first)
    );
}

#[test]
fn refused_field() {
    let mut state = State::default();
    let mut bad = note(1, 1);
    bad.added.regions[0].reserve = 101;
    let NoteResult::Refused(fault) = offer(&mut state, 1, &bad) else {
        panic!("the reserve is out of range");
    };
    assert_eq!(fault.field, "added.regions[0].reserve");
    assert_eq!(state.rules().version, 0);
}

#[test]
fn noop() {
    let mut state = State::default();
    let command = Command::new(5, Op::Noop(()));
    assert_eq!(state.apply(3, &command).effect, None);
    assert_eq!(state, State::default());
}

#[test]
fn history_and_notes() {
    let mut state = State::default();
    offer(&mut state, 1, &note(1, 1));
    offer(&mut state, 2, &note(2, 2));
    let numbers: Vec<u64> = state.history().map(|record| record.number).collect();
    assert_eq!(numbers, [1, 2]);
    assert_eq!(state.note(2), Some(note(2, 2)));
    assert_eq!(state.note(3), None);
    assert_eq!(state.note(0), None);
}
