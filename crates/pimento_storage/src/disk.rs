//! The edge to the file system.

use std::{fmt::Debug, io, path::PathBuf};

/// The file operations that the store needs, within one folder.
///
/// Nothing is durable before a sync: a file's content after
/// [`Disk::sync`], its name after [`Disk::sync_folder`].
#[expect(
    clippy::missing_errors_doc,
    reason = "each operation passes on what the system said"
)]
pub trait Disk: Debug + Send {
    /// The path of a file, for messages.
    fn path(&self, name: &str) -> PathBuf;

    /// Reads a whole file, or `None` if there is none.
    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>>;

    /// Writes a file anew.
    fn create(&mut self, name: &str, data: &[u8]) -> io::Result<()>;

    /// Adds to the end of a file.
    fn append(&mut self, name: &str, data: &[u8]) -> io::Result<()>;

    /// Makes a file's content durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file, in place of another.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Makes the names in the folder durable.
    fn sync_folder(&mut self) -> io::Result<()>;
}

impl Disk for Box<dyn Disk> {
    fn path(&self, name: &str) -> PathBuf {
        (**self).path(name)
    }

    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>> {
        (**self).read(name)
    }

    fn create(&mut self, name: &str, data: &[u8]) -> io::Result<()> {
        (**self).create(name, data)
    }

    fn append(&mut self, name: &str, data: &[u8]) -> io::Result<()> {
        (**self).append(name, data)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        (**self).sync(name)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        (**self).rename(from, to)
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        (**self).sync_folder()
    }
}
