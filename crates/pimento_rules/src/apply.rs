//! Putting a release note in force.

use crate::{Block, Blocks, Domain, FieldError, Link, Note, NoteError, Rules, blocks::Edit};
use std::fmt::Display;

/// The most regions, failure domains, links and services each.
const MAX_NAMED: usize = 4_096;

/// The most address blocks.
const MAX_BLOCKS: usize = 4_000_000;

impl Rules {
    /// The rules after a note; these rules stay as they are.
    ///
    /// The whole note is checked before anything is built, and the tables that
    /// it does not touch are shared or copied as they are.
    ///
    /// # Errors
    ///
    /// Returns a [`NoteError`] that names the path of the first field at fault.
    pub fn apply(&self, note: &Note) -> Result<Self, NoteError> {
        let expected = self.version.saturating_add(1);
        if note.number != expected {
            let found = note.number;
            return Err(NoteError::Number { found, expected });
        }
        note.check()?;
        let rules = Self {
            version: note.number,
            regions: regions(self, note)?,
            domains: domains(self, note)?,
            links: links(self, note)?,
            services: services(self, note)?,
            blocks: Blocks::default(),
        };
        check_names(&rules, note)?;
        check_in_use(self, &rules, note)?;
        let blocks = blocks(self, &rules, note)?;
        Ok(Self { blocks, ..rules })
    }
}

/// What a note does to the things of one kind.
struct Change<'a, T, K> {
    kind: &'static str,
    added: &'a [T],
    changed: &'a [T],
    withdrawn: &'a [K],
}

/// What happens to one thing.
enum Op<'a, T> {
    Add(&'a T),
    Change(&'a T),
    Withdraw,
}

impl<'a, T, K: Ord + Clone> Change<'a, T, K> {
    /// Lists the changes by key, each with its path in the note.
    fn ops(
        &self,
        key: impl Fn(&T) -> K,
        show: impl Fn(&K) -> String,
    ) -> Result<Vec<(K, Place<'a, T>)>, NoteError> {
        let added = self.added.iter().map(|item| (key(item), Op::Add(item)));
        let changed = self
            .changed
            .iter()
            .map(|item| (key(item), Op::Change(item)));
        let withdrawn = self.withdrawn.iter().map(|k| (k.clone(), Op::Withdraw));
        let mut ops: Vec<(K, Place<'a, T>)> = Vec::new();
        ops.extend(number("added", added));
        ops.extend(number("changed", changed));
        ops.extend(number("withdrawn", withdrawn));
        ops.sort_by(|x, y| x.0.cmp(&y.0));
        let twice = ops.windows(2).find(|pair| pair[0].0 == pair[1].0);
        if let Some([(_, first), (name, again)]) = twice {
            let fault = FieldError::Duplicate(show(name), first.path(self.kind));
            return Err(NoteError::at(again.path(self.kind), fault));
        }
        Ok(ops)
    }
}

/// A change and where it stands in the note.
struct Place<'a, T> {
    list: &'static str,
    index: usize,
    op: Op<'a, T>,
}

impl<T> Place<'_, T> {
    fn path(&self, kind: &str) -> String {
        format!("{}.{kind}[{}]", self.list, self.index)
    }

    /// Checks the change against whether the thing exists.
    fn check(&self, kind: &str, exists: bool, show: impl FnOnce() -> String) -> Checked {
        let fault = match (&self.op, exists) {
            (Op::Add(_), true) => FieldError::Exists(show()),
            (Op::Change(_) | Op::Withdraw, false) => FieldError::Missing(show()),
            _ => return Ok(()),
        };
        Err(NoteError::at(self.path(kind), fault))
    }
}

type Checked = Result<(), NoteError>;

fn number<'a, T: 'a, K>(
    list: &'static str,
    ops: impl Iterator<Item = (K, Op<'a, T>)>,
) -> impl Iterator<Item = (K, Place<'a, T>)> {
    ops.enumerate()
        .map(move |(index, (key, op))| (key, Place { list, index, op }))
}

/// Merges a sorted list with the changes of a note.
fn merge<T: Clone, K: Ord + Clone>(
    old: &[T],
    change: &Change<'_, T, K>,
    key: impl Fn(&T) -> K,
    show: impl Fn(&K) -> String,
) -> Result<Vec<T>, NoteError> {
    let ops = change.ops(&key, &show)?;
    let mut out = Vec::with_capacity(old.len() + change.added.len());
    let mut rest = old;
    for (name, place) in &ops {
        let before = rest.partition_point(|item| key(item) < *name);
        out.extend_from_slice(&rest[..before]);
        rest = &rest[before..];
        let exists = rest.first().is_some_and(|item| key(item) == *name);
        place.check(change.kind, exists, || show(name))?;
        rest = &rest[usize::from(exists)..];
        if let Op::Add(item) | Op::Change(item) = place.op {
            out.push(item.clone());
        }
    }
    out.extend_from_slice(rest);
    check_len(change.kind, out.len(), MAX_NAMED)?;
    Ok(out)
}

fn check_len(kind: &str, found: usize, max: usize) -> Checked {
    if found <= max {
        return Ok(());
    }
    let fault = FieldError::TooMany { found, max };
    Err(NoteError::at(format!("added.{kind}"), fault))
}

fn quoted(name: &impl Display) -> String {
    name.to_string()
}

fn regions(rules: &Rules, note: &Note) -> Result<Vec<crate::Region>, NoteError> {
    let change = Change {
        kind: "regions",
        added: &note.added.regions,
        changed: &note.changed.regions,
        withdrawn: &note.withdrawn.regions,
    };
    merge(
        &rules.regions,
        &change,
        |region| region.name.clone(),
        quoted,
    )
}

fn domains(rules: &Rules, note: &Note) -> Result<Vec<Domain>, NoteError> {
    let change = Change {
        kind: "domains",
        added: &note.added.domains,
        changed: &note.changed.domains,
        withdrawn: &note.withdrawn.domains,
    };
    merge(
        &rules.domains,
        &change,
        |domain| domain.name.clone(),
        quoted,
    )
}

fn links(rules: &Rules, note: &Note) -> Result<Vec<Link>, NoteError> {
    let change = Change {
        kind: "links",
        added: &note.added.links,
        changed: &note.changed.links,
        withdrawn: &note.withdrawn.links,
    };
    let key = |link: &Link| (link.a.clone(), link.b.clone());
    merge(&rules.links, &change, key, |(a, b)| format!("{a} to {b}"))
}

fn services(rules: &Rules, note: &Note) -> Result<Vec<crate::Service>, NoteError> {
    let change = Change {
        kind: "services",
        added: &note.added.services,
        changed: &note.changed.services,
        withdrawn: &note.withdrawn.services,
    };
    merge(
        &rules.services,
        &change,
        |service| service.name.clone(),
        quoted,
    )
}

/// Edits the table of blocks, with the domains' names shared.
fn blocks(old: &Rules, new: &Rules, note: &Note) -> Result<Blocks, NoteError> {
    let change = Change {
        kind: "blocks",
        added: &note.added.blocks,
        changed: &note.changed.blocks,
        withdrawn: &note.withdrawn.blocks,
    };
    let ops = change.ops(|block| block.net, quoted)?;
    let mut edits = Vec::with_capacity(ops.len());
    for (net, place) in &ops {
        let exists = old.blocks.get(net).is_some();
        place.check(change.kind, exists, || net.to_string())?;
        let edit = match place.op {
            Op::Add(block) | Op::Change(block) => Edit::Put(Block {
                net: block.net,
                domain: new.shared(block.domain.clone()),
            }),
            Op::Withdraw => Edit::Drop(*net),
        };
        edits.push(edit);
    }
    let blocks = old.blocks.edit(edits);
    check_len(change.kind, blocks.len(), MAX_BLOCKS)?;
    Ok(blocks)
}

/// Checks that every name which the note mentions stands for something.
fn check_names(rules: &Rules, note: &Note) -> Checked {
    for (list, items) in [("added", &note.added), ("changed", &note.changed)] {
        for (i, domain) in items.domains.iter().enumerate() {
            let path = || format!("{list}.domains[{i}].region");
            known("region", &domain.region, rules.region(&domain.region), path)?;
        }
        for (i, link) in items.links.iter().enumerate() {
            let path = |end: &str| format!("{list}.links[{i}].{end}");
            known("region", &link.a, rules.region(&link.a), || path("a"))?;
            known("region", &link.b, rules.region(&link.b), || path("b"))?;
        }
        for (i, block) in items.blocks.iter().enumerate() {
            let path = || format!("{list}.blocks[{i}].domain");
            known("domain", &block.domain, rules.domain(&block.domain), path)?;
        }
    }
    Ok(())
}

fn known<T>(
    kind: &'static str,
    name: &str,
    found: Option<&T>,
    path: impl FnOnce() -> String,
) -> Checked {
    if found.is_some() {
        return Ok(());
    }
    let fault = FieldError::Dangling(kind, name.to_owned());
    Err(NoteError::at(path(), fault))
}

/// Checks that nothing refers to what the note withdraws.
fn check_in_use(old: &Rules, new: &Rules, note: &Note) -> Checked {
    for (i, name) in note.withdrawn.regions.iter().enumerate() {
        let domain = new.domains.iter().find(|domain| domain.region == *name);
        let link = new.links.iter().find(|l| l.a == *name || l.b == *name);
        let user = match (domain, link) {
            (Some(domain), _) => format!("domain {}", domain.name),
            (None, Some(link)) => format!("link {} to {}", link.a, link.b),
            (None, None) => continue,
        };
        let path = format!("withdrawn.regions[{i}]");
        return Err(NoteError::at(
            path,
            FieldError::InUse(name.to_string(), user),
        ));
    }
    check_blocks_left(old, note)
}

/// Checks that no block which stays refers to a withdrawn domain.
fn check_blocks_left(rules: &Rules, note: &Note) -> Checked {
    let gone = &note.withdrawn.domains;
    if gone.is_empty() {
        return Ok(());
    }
    let changed = note.changed.blocks.iter().map(|block| &block.net);
    let mut moved: Vec<_> = note.withdrawn.blocks.iter().chain(changed).collect();
    moved.sort_unstable();
    let stays = |block: &&Block| moved.binary_search(&&block.net).is_err();
    let mut names: Vec<_> = gone.iter().enumerate().map(|(i, name)| (name, i)).collect();
    names.sort_unstable();
    let mut left = rules.blocks.iter().filter(stays);
    let in_use = left.find_map(|block| {
        let found = names.binary_search_by(|(name, _)| (*name).cmp(&block.domain));
        found.ok().map(|at| (names[at], block))
    });
    let Some(((name, i), block)) = in_use else {
        return Ok(());
    };
    let path = format!("withdrawn.domains[{i}]");
    let user = format!("block {}", block.net);
    Err(NoteError::at(
        path,
        FieldError::InUse(name.to_string(), user),
    ))
}
