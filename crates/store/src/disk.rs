//! The few file operations that a log needs, so that tests can make them fail.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};

use super::Error;

/// Name of the file whose lock keeps other processes out.
const LOCK: &str = "lock";

/// A folder of files.
pub trait Disk {
    /// Reads a whole file; none if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    fn read(&mut self, file: &str) -> Result<Option<Vec<u8>>, Error>;

    /// Creates a file, or replaces its content.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    fn create(&mut self, file: &str, bytes: &[u8]) -> Result<(), Error>;

    /// Appends to a file.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    fn append(&mut self, file: &str, bytes: &[u8]) -> Result<(), Error>;

    /// Cuts a file off.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    fn truncate(&mut self, file: &str, len: usize) -> Result<(), Error>;

    /// Makes the content of a file last.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    fn sync(&mut self, file: &str) -> Result<(), Error>;

    /// Gives a file another name, replacing the file that has it.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    fn rename(&mut self, from: &str, to: &str) -> Result<(), Error>;

    /// Makes creations and renamings last.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    fn sync_folder(&mut self) -> Result<(), Error>;

    /// An error that names a place in a file.
    fn damaged(&self, file: &str, offset: usize, detail: &'static str) -> Error;
}

/// A folder of the file system, locked against other processes.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    appending: Option<File>,
    _lock: File,
}

impl Folder {
    /// Opens a folder, and creates it if need be.
    ///
    /// # Errors
    ///
    /// Returns the system's error, or that another process holds the folder.
    pub fn open(path: &Path) -> Result<Folder, Error> {
        let io = |error| Error::Io { path: path.to_owned(), error };
        fs::create_dir_all(path).map_err(io)?;
        let mut options = OpenOptions::new();
        options.create(true).truncate(false).write(true);
        let lock = options.open(path.join(LOCK)).map_err(io)?;
        if lock.try_lock().is_err() {
            return Err(Error::InUse { path: path.to_owned() });
        }
        Ok(Folder { path: path.to_owned(), appending: None, _lock: lock })
    }

    fn error(&self, file: &str, error: io::Error) -> Error {
        Error::Io { path: self.path.join(file), error }
    }
}

impl Disk for Folder {
    fn read(&mut self, file: &str) -> Result<Option<Vec<u8>>, Error> {
        match fs::read(self.path.join(file)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(self.error(file, error)),
        }
    }

    fn create(&mut self, file: &str, bytes: &[u8]) -> Result<(), Error> {
        self.appending = None;
        fs::write(self.path.join(file), bytes).map_err(|error| self.error(file, error))
    }

    fn append(&mut self, file: &str, bytes: &[u8]) -> Result<(), Error> {
        if self.appending.is_none() {
            let mut options = OpenOptions::new();
            options.create(true).append(true);
            let opened = options.open(self.path.join(file));
            self.appending = Some(opened.map_err(|error| self.error(file, error))?);
        }
        let Some(appending) = &mut self.appending else { return Ok(()) };
        appending.write_all(bytes).map_err(|error| Error::Io { path: self.path.join(file), error })
    }

    fn truncate(&mut self, file: &str, len: usize) -> Result<(), Error> {
        let opened = OpenOptions::new().write(true).open(self.path.join(file));
        let cut = opened.and_then(|opened| opened.set_len(len as u64));
        cut.map_err(|error| self.error(file, error))
    }

    fn sync(&mut self, file: &str) -> Result<(), Error> {
        let synced = match &self.appending {
            Some(appending) => appending.sync_data(),
            None => File::open(self.path.join(file)).and_then(|opened| opened.sync_all()),
        };
        synced.map_err(|error| self.error(file, error))
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<(), Error> {
        self.appending = None;
        let renamed = fs::rename(self.path.join(from), self.path.join(to));
        renamed.map_err(|error| self.error(to, error))
    }

    fn sync_folder(&mut self) -> Result<(), Error> {
        let synced = File::open(&self.path).and_then(|folder| folder.sync_all());
        synced.map_err(|error| self.error("", error))
    }

    fn damaged(&self, file: &str, offset: usize, detail: &'static str) -> Error {
        Error::Damaged { path: self.path.join(file), offset, detail }
    }
}
