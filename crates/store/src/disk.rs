//! The file operations that the store needs, as a trait so that tests can inject faults and power
//! losses.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};

use super::Error;

/// File that is locked for as long as the folder is open; a second process that opens the folder
/// gets [`Error::InUse`].
const LOCK_FILE: &str = "lock";

/// Operations on the files of one folder. Files are named relative to it.
pub trait Disk {
    /// Reads a whole file; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn read(&mut self, file: &str) -> Result<Option<Vec<u8>>, Error>;

    /// Creates a file, or replaces its content.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn create(&mut self, file: &str, bytes: &[u8]) -> Result<(), Error>;

    /// Appends to a file, and creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn append(&mut self, file: &str, bytes: &[u8]) -> Result<(), Error>;

    /// Truncates a file to `len` bytes.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn truncate(&mut self, file: &str, len: usize) -> Result<(), Error>;

    /// Flushes the content of a file to stable storage.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn sync(&mut self, file: &str) -> Result<(), Error>;

    /// Renames a file, replacing any file that already has the new name.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn rename(&mut self, from: &str, to: &str) -> Result<(), Error>;

    /// Flushes the folder itself to stable storage, so that created and renamed files survive a
    /// crash.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn sync_folder(&mut self) -> Result<(), Error>;

    /// Builds [`Error::Damaged`] for a byte offset in a file.
    fn damage_error(&self, file: &str, offset: usize, detail: &'static str) -> Error;
}

/// Replaces the content of a file atomically and syncs it. `new_file` is the name of the new content until it is
/// complete.
///
/// # Errors
///
/// Returns the error of the operating system.
pub(crate) fn replace<Backend>(
    disk: &mut Backend,
    file: &str,
    new_file: &str,
    bytes: &[u8],
) -> Result<(), Error>
where
    Backend: Disk,
{
    disk.create(new_file, bytes)?;
    disk.sync(new_file)?;
    disk.rename(new_file, file)?;
    disk.sync_folder()
}

/// A folder of the file system, locked against other processes.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    /// File opened by the first [`Disk::append`]. While it is open, `append` and [`Disk::sync`] use
    /// it and ignore the file name that they are given; creating or renaming a file closes it.
    append_handle: Option<File>,
    /// Keeps [`LOCK_FILE`] locked until it is dropped.
    _lock: File,
}

impl Folder {
    /// Opens and locks a folder, and creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system, or [`Error::InUse`] if the folder is already
    /// locked.
    pub fn open(path: &Path) -> Result<Folder, Error> {
        let io = |error| Error::Io { path: path.to_owned(), error };
        fs::create_dir_all(path).map_err(io)?;
        let mut options = OpenOptions::new();
        options.create(true).truncate(false).write(true);
        let lock = options.open(path.join(LOCK_FILE)).map_err(io)?;
        if lock.try_lock().is_err() {
            return Err(Error::InUse { path: path.to_owned() });
        }
        Ok(Folder { path: path.to_owned(), append_handle: None, _lock: lock })
    }

    /// A second handle of the folder, for other files than the first one writes. The folder stays locked until
    /// both are dropped.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn try_clone(&self) -> Result<Folder, Error> {
        let lock = self._lock.try_clone().map_err(|error| self.io_error(LOCK_FILE, error))?;
        Ok(Folder { path: self.path.clone(), append_handle: None, _lock: lock })
    }

    fn io_error(&self, file: &str, error: io::Error) -> Error {
        Error::Io { path: self.path.join(file), error }
    }
}

impl Disk for Folder {
    fn read(&mut self, file: &str) -> Result<Option<Vec<u8>>, Error> {
        match fs::read(self.path.join(file)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(self.io_error(file, error)),
        }
    }

    fn create(&mut self, file: &str, bytes: &[u8]) -> Result<(), Error> {
        self.append_handle = None;
        fs::write(self.path.join(file), bytes).map_err(|error| self.io_error(file, error))
    }

    fn append(&mut self, file: &str, bytes: &[u8]) -> Result<(), Error> {
        if self.append_handle.is_none() {
            let mut options = OpenOptions::new();
            options.create(true).append(true);
            let opened = options.open(self.path.join(file));
            self.append_handle = Some(opened.map_err(|error| self.io_error(file, error))?);
        }
        let Some(append_handle) = &mut self.append_handle else { return Ok(()) };
        append_handle
            .write_all(bytes)
            .map_err(|error| Error::Io { path: self.path.join(file), error })
    }

    fn truncate(&mut self, file: &str, len: usize) -> Result<(), Error> {
        let opened = OpenOptions::new().write(true).open(self.path.join(file));
        let truncated = opened.and_then(|opened| opened.set_len(len as u64));
        truncated.map_err(|error| self.io_error(file, error))
    }

    fn sync(&mut self, file: &str) -> Result<(), Error> {
        let synced = match &self.append_handle {
            Some(append_handle) => append_handle.sync_data(),
            None => File::open(self.path.join(file)).and_then(|opened| opened.sync_all()),
        };
        synced.map_err(|error| self.io_error(file, error))
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<(), Error> {
        self.append_handle = None;
        let renamed = fs::rename(self.path.join(from), self.path.join(to));
        renamed.map_err(|error| self.io_error(to, error))
    }

    fn sync_folder(&mut self) -> Result<(), Error> {
        let synced = File::open(&self.path).and_then(|folder| folder.sync_all());
        synced.map_err(|error| self.io_error("", error))
    }

    fn damage_error(&self, file: &str, offset: usize, detail: &'static str) -> Error {
        Error::Damaged { path: self.path.join(file), offset, detail }
    }
}
