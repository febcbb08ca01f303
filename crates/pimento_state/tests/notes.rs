//! Release notes in the replicated state: each number is accepted with one
//! content only.

use bolero::check;
use pimento_rules::{Items, Note, Region, Rules};
use pimento_state::{Command, Effect, NoteResult, Op, State};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};

const SEED_COUNT: u64 = 200;

/// Creates a note whose content differs by operator.
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

fn propose(state: &mut State, index: u64, note: &Note) -> NoteResult {
    let outcome = state.apply(index, &Command::note(index, note));
    assert_eq!(outcome.index, index);
    let Some(Effect::Note(outcome)) = outcome.effect else {
        panic!("the outcome of a note has another kind");
    };
    outcome.kind.expect("an outcome without a kind")
}

/// Operators concurrently propose notes with the same numbers, and resend notes
/// after lost replies.
fn run_race(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut state = State::default();
    let mut accepted: Vec<Note> = Vec::new();
    for index in 1..60 {
        let version = accepted.len() as u64;
        let number = rng.random_range(version.saturating_sub(2)..version + 3);
        let note = note(number, rng.random_range(0..3));
        let digest = note.digest();
        let version_before = state.rules().version;
        let existing = (number as usize).checked_sub(1);
        let existing = existing.and_then(|i| accepted.get(i)).cloned();
        match (propose(&mut state, index, &note), existing) {
            (NoteResult::Accepted(record), None) => {
                assert_eq!(record.digest(), Some(digest));
                assert_eq!(record.number, version + 1);
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
            (NoteResult::Gap(expected), None) => assert_eq!(expected, version + 1),
            (NoteResult::Forgotten(_), None) => assert_eq!(number, 0),
            (other, _) => panic!("{other:?} for note {number} after {version}"),
        }
        assert!(state.rules().version >= version_before);
        if rng.random_bool(0.1) {
            let restored = State::restore(&state.snapshot()).expect("a valid snapshot");
            assert_eq!(restored, state);
            state = restored;
        }
    }
    let expected = accepted
        .iter()
        .try_fold(Rules::default(), |r, n| r.apply(n));
    assert_eq!(Ok(Rules::clone(state.rules())), expected);
}

#[test]
fn racing_operators() {
    (0..SEED_COUNT).for_each(run_race);
    let check = check!().with_type::<u64>();
    check.with_iterations(50).for_each(|seed| run_race(*seed));
}

#[test]
fn resent_note_gets_first_record() {
    let mut state = State::default();
    let NoteResult::Accepted(first) = propose(&mut state, 1, &note(1, 1)) else {
        panic!("the first note is accepted");
    };
    propose(&mut state, 2, &note(2, 1));
    assert_eq!(
        propose(&mut state, 9, &note(1, 1)),
        NoteResult::AlreadyAccepted(first)
    );
}

#[test]
fn refusal_names_field() {
    let mut state = State::default();
    let mut invalid = note(1, 1);
    invalid.added.regions[0].reserve = 101;
    let NoteResult::Refused(refusal) = propose(&mut state, 1, &invalid) else {
        panic!("the reserve is out of range");
    };
    assert_eq!(refusal.field, "added.regions[0].reserve");
    assert_eq!(state.rules().version, 0);
}

#[test]
fn noop_changes_nothing() {
    let mut state = State::default();
    let command = Command::new(5, Op::Noop(()));
    assert_eq!(state.apply(3, &command).effect, None);
    assert_eq!(state, State::default());
}

#[test]
fn history_lists_accepted_notes() {
    let mut state = State::default();
    propose(&mut state, 1, &note(1, 1));
    propose(&mut state, 2, &note(2, 2));
    let numbers: Vec<u64> = state.history().map(|record| record.number).collect();
    assert_eq!(numbers, [1, 2]);
    assert_eq!(state.note(2), Some(note(2, 2)));
    assert_eq!(state.note(3), None);
    assert_eq!(state.note(0), None);
}
