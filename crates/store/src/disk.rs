//! What the store asks of a disk.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::PathBuf;

/// A flat folder of files. All names are the store's own.
pub trait Disk {
    /// Names of all files.
    fn list(&self) -> io::Result<Vec<String>>;
    /// A whole file, of at most so many bytes.
    fn read(&self, name: &str, most: u64) -> io::Result<Vec<u8>>;
    /// Writes behind what a file holds; makes it if it is not there.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// What was written to a file is on the disk when this returns, and the folder knows its name.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Gives a file another name at once; what had it is replaced.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// A folder of the file system. The file that is appended to stays open.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    open: Option<(String, File)>,
}

impl Folder {
    /// Makes the folder if it is not there.
    ///
    /// # Errors
    /// It can't be made.
    pub fn new(path: impl Into<PathBuf>) -> io::Result<Self> {
        let path = path.into();
        fs::create_dir_all(&path)?;
        Ok(Folder { path, open: None })
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if self.open.as_ref().is_none_or(|(open, _)| open != name) {
            let file = OpenOptions::new()
                .create(true)
                .append(true)
                .open(self.path.join(name))?;
            self.open = Some((name.to_owned(), file));
        }
        self.open
            .as_mut()
            .map(|(_, file)| file)
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    /// Where the file system lets folders be synced; elsewhere it has no such thing.
    fn sync_folder(&self) {
        if let Ok(folder) = File::open(&self.path) {
            let _ = folder.sync_all();
        }
    }
}

impl Disk for Folder {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            names.extend(entry?.file_name().into_string());
        }
        names.sort();
        Ok(names)
    }

    fn read(&self, name: &str, most: u64) -> io::Result<Vec<u8>> {
        let path = self.path.join(name);
        if fs::metadata(&path)?.len() > most {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the file is too long",
            ));
        }
        fs::read(path)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_all()?;
        self.sync_folder();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open = None;
        fs::rename(self.path.join(from), self.path.join(to))?;
        self.sync_folder();
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        if self.open.as_ref().is_some_and(|(open, _)| open == name) {
            self.open = None;
        }
        fs::remove_file(self.path.join(name))
    }
}
