//! The real file system.

use crate::{Disk, StoreError};
use fs4::fs_std::FileExt;
use std::{
    fs::{self, File, OpenOptions},
    io::{self, Write},
    path::{Path, PathBuf},
};

/// The name of the file whose lock keeps a second process out.
const LOCK: &str = "lock";

/// A data folder that this process alone uses.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    /// Holds the lock until it is dropped.
    _lock: File,
    /// The file that was appended to last.
    open: Option<(String, File)>,
}

impl DataFolder {
    /// Creates the folder if need be, and locks it.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Locked`] if another process uses the folder, and
    /// [`StoreError::Io`] if it can't be created or opened.
    pub fn open(path: impl AsRef<Path>) -> Result<Self, StoreError> {
        let path = path.as_ref().to_owned();
        let file = path.join(LOCK);
        match Self::lock(&path, &file) {
            Ok(Some(lock)) => Ok(Self {
                path,
                _lock: lock,
                open: None,
            }),
            Ok(None) => Err(StoreError::Locked { file }),
            Err(source) => Err(StoreError::Io {
                action: "lock",
                file,
                source,
            }),
        }
    }

    fn lock(path: &Path, file: &Path) -> io::Result<Option<File>> {
        fs::create_dir_all(path)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(file)?;
        let locked = FileExt::try_lock_exclusive(&lock)?;
        Ok(locked.then_some(lock))
    }

    /// The handle for appending to a file.
    fn handle(&mut self, name: &str) -> io::Result<&mut File> {
        let (open, file) = match self.open.take() {
            Some(open) if open.0 == name => open,
            _ => {
                let path = self.path.join(name);
                let file = OpenOptions::new().append(true).open(path)?;
                (name.to_owned(), file)
            }
        };
        Ok(&mut self.open.insert((open, file)).1)
    }
}

impl Disk for DataFolder {
    fn path(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>> {
        match fs::read(self.path.join(name)) {
            Ok(data) => Ok(Some(data)),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }

    fn create(&mut self, name: &str, data: &[u8]) -> io::Result<()> {
        self.open = None;
        fs::write(self.path.join(name), data)
    }

    fn append(&mut self, name: &str, data: &[u8]) -> io::Result<()> {
        self.handle(name)?.write_all(data)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.handle(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open = None;
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
