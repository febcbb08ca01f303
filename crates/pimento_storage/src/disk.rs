//! The interface to the file system.

use std::{fmt::Debug, io, path::PathBuf};

/// The file operations that [`Store`](crate::Store) needs, within one folder.
///
/// Nothing is durable before a sync: a file's content is durable after
/// [`Disk::sync`], and its name after [`Disk::sync_folder`].
#[expect(
    clippy::missing_errors_doc,
    reason = "each operation returns the error of the operating system"
)]
pub trait Disk: Debug + Send {
    /// The path of a file, for error messages.
    fn path(&self, name: &str) -> PathBuf;

    /// Reads a whole file; `None` if it does not exist.
    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>>;

    /// Creates a file, or replaces the content of an existing one.
    fn create(&mut self, name: &str, data: &[u8]) -> io::Result<()>;

    /// Appends to the end of an existing file.
    fn append(&mut self, name: &str, data: &[u8]) -> io::Result<()>;

    /// Makes a file's content durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file and replaces a file that already has the new name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Makes the file names in the folder durable.
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
