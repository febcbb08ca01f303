//! Validation and application of a release note.

use crate::{Block, Blocks, Domain, FieldError, Link, Note, NoteError, Rules, blocks::Edit};
use std::fmt::Display;

/// Maximum number of regions, of failure domains, of links and of services.
const MAX_ITEMS_PER_KIND: usize = 4_096;

/// Maximum number of address blocks.
const MAX_BLOCKS: usize = 4_000_000;

impl Rules {
    /// Returns the rules that result from applying a note to these rules.
    ///
    /// These rules stay unchanged. The note's fields and references are validated
    /// before the table of blocks is edited, and chunks of blocks that the note
    /// does not change are shared, not copied.
    ///
    /// # Errors
    ///
    /// Returns a [`NoteError`] with the path of the first invalid field.
    pub fn apply(&self, note: &Note) -> Result<Self, NoteError> {
        let expected = self.version.saturating_add(1);
        if note.number != expected {
            let found = note.number;
            return Err(NoteError::Number { found, expected });
        }
        note.check()?;
        let rules = Self {
            version: note.number,
            regions: apply_regions(self, note)?,
            domains: apply_domains(self, note)?,
            links: apply_links(self, note)?,
            services: apply_services(self, note)?,
            blocks: Blocks::default(),
        };
        check_references(&rules, note)?;
        check_in_use(self, &rules, note)?;
        let blocks = apply_blocks(self, &rules, note)?;
        Ok(Self { blocks, ..rules })
    }
}

/// The changes of a note to the items of one kind.
struct KindChanges<'a, T, K> {
    kind: &'static str,
    added: &'a [T],
    changed: &'a [T],
    withdrawn: &'a [K],
}

/// A change to one item.
enum Op<'a, T> {
    Add(&'a T),
    Change(&'a T),
    Withdraw,
}

impl<'a, T, K: Ord + Clone> KindChanges<'a, T, K> {
    /// Returns all changes sorted by key, each with its position in the note.
    ///
    /// # Errors
    ///
    /// Returns a [`NoteError`] if two changes have the same key.
    fn ops(
        &self,
        key: impl Fn(&T) -> K,
        show: impl Fn(&K) -> String,
    ) -> Result<Vec<(K, LocatedOp<'a, T>)>, NoteError> {
        let added = self.added.iter().map(|item| (key(item), Op::Add(item)));
        let changed = self
            .changed
            .iter()
            .map(|item| (key(item), Op::Change(item)));
        let withdrawn = self.withdrawn.iter().map(|k| (k.clone(), Op::Withdraw));
        let mut ops: Vec<(K, LocatedOp<'a, T>)> = Vec::new();
        ops.extend(locate_ops("added", added));
        ops.extend(locate_ops("changed", changed));
        ops.extend(locate_ops("withdrawn", withdrawn));
        ops.sort_by(|x, y| x.0.cmp(&y.0));
        let duplicate = ops.windows(2).find(|pair| pair[0].0 == pair[1].0);
        if let Some([(_, first), (name, second)]) = duplicate {
            let error = FieldError::Duplicate(show(name), first.path(self.kind));
            return Err(NoteError::at_field(second.path(self.kind), error));
        }
        Ok(ops)
    }
}

/// A change and its position in the note.
struct LocatedOp<'a, T> {
    section: &'static str,
    index: usize,
    op: Op<'a, T>,
}

impl<T> LocatedOp<'_, T> {
    fn path(&self, kind: &str) -> String {
        format!("{}.{kind}[{}]", self.section, self.index)
    }

    /// Checks that an added item is new, and that any other item exists.
    fn check(&self, kind: &str, exists: bool, show: impl FnOnce() -> String) -> CheckResult {
        let error = match (&self.op, exists) {
            (Op::Add(_), true) => FieldError::Exists(show()),
            (Op::Change(_) | Op::Withdraw, false) => FieldError::Missing(show()),
            _ => return Ok(()),
        };
        Err(NoteError::at_field(self.path(kind), error))
    }
}

type CheckResult = Result<(), NoteError>;

fn locate_ops<'a, T: 'a, K>(
    section: &'static str,
    ops: impl Iterator<Item = (K, Op<'a, T>)>,
) -> impl Iterator<Item = (K, LocatedOp<'a, T>)> {
    ops.enumerate()
        .map(move |(index, (key, op))| (key, LocatedOp { section, index, op }))
}

/// Applies the changes of a note to a sorted list.
fn merge<T: Clone, K: Ord + Clone>(
    old: &[T],
    changes: &KindChanges<'_, T, K>,
    key: impl Fn(&T) -> K,
    show: impl Fn(&K) -> String,
) -> Result<Vec<T>, NoteError> {
    let ops = changes.ops(&key, &show)?;
    let mut merged = Vec::with_capacity(old.len() + changes.added.len());
    let mut rest = old;
    for (name, located) in &ops {
        let before = rest.partition_point(|item| key(item) < *name);
        merged.extend_from_slice(&rest[..before]);
        rest = &rest[before..];
        let exists = rest.first().is_some_and(|item| key(item) == *name);
        located.check(changes.kind, exists, || show(name))?;
        rest = &rest[usize::from(exists)..];
        if let Op::Add(item) | Op::Change(item) = located.op {
            merged.push(item.clone());
        }
    }
    merged.extend_from_slice(rest);
    check_len(changes.kind, merged.len(), MAX_ITEMS_PER_KIND)?;
    Ok(merged)
}

fn check_len(kind: &str, found: usize, max: usize) -> CheckResult {
    if found <= max {
        return Ok(());
    }
    let error = FieldError::TooMany { found, max };
    Err(NoteError::at_field(format!("added.{kind}"), error))
}

fn to_text(name: &impl Display) -> String {
    name.to_string()
}

fn apply_regions(rules: &Rules, note: &Note) -> Result<Vec<crate::Region>, NoteError> {
    let changes = KindChanges {
        kind: "regions",
        added: &note.added.regions,
        changed: &note.changed.regions,
        withdrawn: &note.withdrawn.regions,
    };
    merge(
        &rules.regions,
        &changes,
        |region| region.name.clone(),
        to_text,
    )
}

fn apply_domains(rules: &Rules, note: &Note) -> Result<Vec<Domain>, NoteError> {
    let changes = KindChanges {
        kind: "domains",
        added: &note.added.domains,
        changed: &note.changed.domains,
        withdrawn: &note.withdrawn.domains,
    };
    merge(
        &rules.domains,
        &changes,
        |domain| domain.name.clone(),
        to_text,
    )
}

fn apply_links(rules: &Rules, note: &Note) -> Result<Vec<Link>, NoteError> {
    let changes = KindChanges {
        kind: "links",
        added: &note.added.links,
        changed: &note.changed.links,
        withdrawn: &note.withdrawn.links,
    };
    let key = |link: &Link| (link.a.clone(), link.b.clone());
    merge(&rules.links, &changes, key, |(a, b)| format!("{a} to {b}"))
}

fn apply_services(rules: &Rules, note: &Note) -> Result<Vec<crate::Service>, NoteError> {
    let changes = KindChanges {
        kind: "services",
        added: &note.added.services,
        changed: &note.changed.services,
        withdrawn: &note.withdrawn.services,
    };
    merge(
        &rules.services,
        &changes,
        |service| service.name.clone(),
        to_text,
    )
}

/// Applies the changes of a note to the table of blocks. The new blocks share
/// the names of their failure domains.
fn apply_blocks(old: &Rules, new: &Rules, note: &Note) -> Result<Blocks, NoteError> {
    let changes = KindChanges {
        kind: "blocks",
        added: &note.added.blocks,
        changed: &note.changed.blocks,
        withdrawn: &note.withdrawn.blocks,
    };
    let ops = changes.ops(|block| block.net, to_text)?;
    let mut edits = Vec::with_capacity(ops.len());
    for (net, located) in &ops {
        let exists = old.blocks.get(net).is_some();
        located.check(changes.kind, exists, || net.to_string())?;
        let edit = match located.op {
            Op::Add(block) | Op::Change(block) => Edit::Put(Block {
                net: block.net,
                domain: new.intern_domain(block.domain.clone()),
            }),
            Op::Withdraw => Edit::Remove(*net),
        };
        edits.push(edit);
    }
    let blocks = old.blocks.apply_edits(edits);
    check_len(changes.kind, blocks.len(), MAX_BLOCKS)?;
    Ok(blocks)
}

/// Checks that all items to which the note refers exist.
fn check_references(rules: &Rules, note: &Note) -> CheckResult {
    for (section, items) in [("added", &note.added), ("changed", &note.changed)] {
        for (i, domain) in items.domains.iter().enumerate() {
            let path = || format!("{section}.domains[{i}].region");
            check_exists("region", &domain.region, rules.region(&domain.region), path)?;
        }
        for (i, link) in items.links.iter().enumerate() {
            let path = |end: &str| format!("{section}.links[{i}].{end}");
            check_exists("region", &link.a, rules.region(&link.a), || path("a"))?;
            check_exists("region", &link.b, rules.region(&link.b), || path("b"))?;
        }
        for (i, block) in items.blocks.iter().enumerate() {
            let path = || format!("{section}.blocks[{i}].domain");
            check_exists("domain", &block.domain, rules.domain(&block.domain), path)?;
        }
    }
    Ok(())
}

fn check_exists<T>(
    kind: &'static str,
    name: &str,
    found: Option<&T>,
    path: impl FnOnce() -> String,
) -> CheckResult {
    if found.is_some() {
        return Ok(());
    }
    let error = FieldError::UnknownName(kind, name.to_owned());
    Err(NoteError::at_field(path(), error))
}

/// Checks that no remaining item refers to an item that the note withdraws.
fn check_in_use(old: &Rules, new: &Rules, note: &Note) -> CheckResult {
    for (i, name) in note.withdrawn.regions.iter().enumerate() {
        let domain = new.domains.iter().find(|domain| domain.region == *name);
        let link = new.links.iter().find(|l| l.a == *name || l.b == *name);
        let referrer = match (domain, link) {
            (Some(domain), _) => format!("domain {}", domain.name),
            (None, Some(link)) => format!("link {} to {}", link.a, link.b),
            (None, None) => continue,
        };
        let path = format!("withdrawn.regions[{i}]");
        return Err(NoteError::at_field(
            path,
            FieldError::InUse(name.to_string(), referrer),
        ));
    }
    check_remaining_blocks(old, note)
}

/// Checks that no remaining block refers to a withdrawn failure domain.
fn check_remaining_blocks(rules: &Rules, note: &Note) -> CheckResult {
    let withdrawn = &note.withdrawn.domains;
    if withdrawn.is_empty() {
        return Ok(());
    }
    let changed = note.changed.blocks.iter().map(|block| &block.net);
    let mut edited: Vec<_> = note.withdrawn.blocks.iter().chain(changed).collect();
    edited.sort_unstable();
    let remains = |block: &&Block| edited.binary_search(&&block.net).is_err();
    let mut names: Vec<_> = withdrawn
        .iter()
        .enumerate()
        .map(|(i, name)| (name, i))
        .collect();
    names.sort_unstable();
    let mut remaining = rules.blocks.iter().filter(remains);
    let in_use = remaining.find_map(|block| {
        let found = names.binary_search_by(|(name, _)| (*name).cmp(&block.domain));
        found.ok().map(|index| (names[index], block))
    });
    let Some(((name, i), block)) = in_use else {
        return Ok(());
    };
    let path = format!("withdrawn.domains[{i}]");
    let referrer = format!("block {}", block.net);
    Err(NoteError::at_field(
        path,
        FieldError::InUse(name.to_string(), referrer),
    ))
}
