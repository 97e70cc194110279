//! The fault shim for a program under test: builds the library, makes a table of faults, and starts programs under both.

use crate::program::{locate_beside, LocateError, TempFile};
use std::ffi::CString;
use std::os::unix::ffi::OsStrExt;
use std::path::PathBuf;
use std::process::Command;
use tansymux_fault_table::{FaultTable, TABLE_VARIABLE};

/// The package of the library.
const PACKAGE: &str = "tansymux-fault-shim";
/// Its file.
const LIBRARY: &str = "libtansymux_fault_shim.so";

/// The library, and a table of faults of its own.
#[derive(Debug)]
pub struct FaultShim {
    library: PathBuf,
    file: TempFile,
    table: &'static FaultTable,
}

impl FaultShim {
    /// A table without faults, for the library at this path: see [`locate_library`].
    ///
    /// # Panics
    /// The folder for temporary files can't be written to.
    pub fn new(library: PathBuf) -> Self {
        let file = TempFile::new("faults", &"\0".repeat(FaultTable::BYTES));
        let path = CString::new(file.0.as_os_str().as_bytes()).expect("a path without zeros");
        let table = FaultTable::map(&path).expect("a file that was just written can be mapped");
        FaultShim {
            library,
            file,
            table,
        }
    }

    /// What is injected.
    pub fn table(&self) -> &'static FaultTable {
        self.table
    }

    /// Loads the library into the program that the command starts.
    pub fn apply(&self, command: &mut Command) {
        command
            .env("LD_PRELOAD", &self.library)
            .env(TABLE_VARIABLE.to_string_lossy().as_ref(), &self.file.0);
    }
}

/// The library, beside the program that runs; built by the same cargo where there is one.
///
/// # Errors
/// It could not be built or is not there.
pub fn locate_library() -> Result<PathBuf, LocateError> {
    locate_beside(PACKAGE, LIBRARY)
}
