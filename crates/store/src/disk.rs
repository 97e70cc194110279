//! The disk operations that the store uses, and their implementation on a directory.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::PathBuf;

/// A flat directory of files. The store chooses their names.
pub trait Disk {
    /// Returns the names of all files.
    ///
    /// # Errors
    /// The directory cannot be read.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Returns the content of a file.
    ///
    /// # Errors
    /// The file cannot be read, or is longer than `max_bytes` (`InvalidData`).
    fn read(&self, name: &str, max_bytes: u64) -> io::Result<Vec<u8>>;

    /// Appends to a file, creating it if it does not exist.
    ///
    /// # Errors
    /// The write failed; any number of the bytes may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Makes a file's content and its directory entry durable.
    ///
    /// # Errors
    /// The sync failed; any part of the file may not be durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file atomically, replacing an existing file `to`.
    ///
    /// # Errors
    /// The file was not renamed.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// The file could not be removed, or does not exist.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// A directory of the file system. The file that was last appended to or synced stays open.
#[derive(Debug)]
pub struct Directory {
    path: PathBuf,
    open_file: Option<OpenFile>,
}

#[derive(Debug)]
struct OpenFile {
    name: String,
    file: File,
}

impl Directory {
    /// Opens the directory at `path`, creating it if it does not exist.
    ///
    /// # Errors
    /// The directory cannot be created.
    pub fn new(path: impl Into<PathBuf>) -> io::Result<Self> {
        let path = path.into();
        fs::create_dir_all(&path)?;
        Ok(Directory {
            path,
            open_file: None,
        })
    }

    fn file_for_append(&mut self, name: &str) -> io::Result<&mut File> {
        let reusable = self.open_file.take().filter(|open| open.name == name);
        let open_file = match reusable {
            Some(open_file) => open_file,
            None => OpenFile {
                name: name.to_owned(),
                file: OpenOptions::new()
                    .create(true)
                    .append(true)
                    .open(self.path.join(name))?,
            },
        };
        Ok(&mut self.open_file.insert(open_file).file)
    }

    /// Makes directory entries durable. Errors are ignored: some file systems neither support nor require syncing a
    /// directory.
    fn sync_directory(&self) {
        if let Ok(directory) = File::open(&self.path) {
            let _ = directory.sync_all();
        }
    }
}

impl Disk for Directory {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            names.extend(entry?.file_name().into_string());
        }
        names.sort();
        Ok(names)
    }

    fn read(&self, name: &str, max_bytes: u64) -> io::Result<Vec<u8>> {
        let path = self.path.join(name);
        let length = fs::metadata(&path)?.len();
        if length > max_bytes {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                format!("{name} is too long: {length} bytes, at most {max_bytes} are read"),
            ));
        }
        fs::read(path)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file_for_append(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file_for_append(name)?.sync_all()?;
        self.sync_directory();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open_file = None;
        fs::rename(self.path.join(from), self.path.join(to))?;
        self.sync_directory();
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        if self
            .open_file
            .as_ref()
            .is_some_and(|open| open.name == name)
        {
            self.open_file = None;
        }
        fs::remove_file(self.path.join(name))
    }
}
