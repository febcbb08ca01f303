//! The control role: consensus, storage and replicated state behind one actor.
