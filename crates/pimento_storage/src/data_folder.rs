//! A data folder on the real file system.

use crate::{Disk, StoreError};
use fs4::fs_std::FileExt;
use std::{
    fs::{self, File, OpenOptions},
    io::{self, Write},
    path::{Path, PathBuf},
};

/// The name of the lock file, which keeps a second process from opening the
/// folder.
const LOCK_FILE: &str = "lock";

/// A data folder that only this process uses.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    /// Keeps the folder locked until it is dropped.
    _lock: File,
    /// The open file for appending, and its name.
    open_file: Option<(String, File)>,
}

impl DataFolder {
    /// Creates the folder if it does not exist, and locks it.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Locked`] if another process uses the folder, and
    /// [`StoreError::Io`] if it can't be created or opened.
    pub fn open(path: impl AsRef<Path>) -> Result<Self, StoreError> {
        let path = path.as_ref().to_owned();
        let file = path.join(LOCK_FILE);
        match Self::try_lock(&path, &file) {
            Ok(Some(lock)) => Ok(Self {
                path,
                _lock: lock,
                open_file: None,
            }),
            Ok(None) => Err(StoreError::Locked { file }),
            Err(source) => Err(StoreError::Io {
                action: "lock",
                file,
                source,
            }),
        }
    }

    fn try_lock(path: &Path, file: &Path) -> io::Result<Option<File>> {
        fs::create_dir_all(path)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(file)?;
        let locked = FileExt::try_lock_exclusive(&lock)?;
        Ok(locked.then_some(lock))
    }

    /// Opens a file for appending, unless it is already open.
    fn append_handle(&mut self, name: &str) -> io::Result<&mut File> {
        let (open_name, file) = match self.open_file.take() {
            Some(open) if open.0 == name => open,
            _ => {
                let path = self.path.join(name);
                let file = OpenOptions::new().append(true).open(path)?;
                (name.to_owned(), file)
            }
        };
        Ok(&mut self.open_file.insert((open_name, file)).1)
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
        self.open_file = None;
        fs::write(self.path.join(name), data)
    }

    fn append(&mut self, name: &str, data: &[u8]) -> io::Result<()> {
        self.append_handle(name)?.write_all(data)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.append_handle(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open_file = None;
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
