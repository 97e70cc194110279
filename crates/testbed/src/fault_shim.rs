//! The fault shim for a program under test: builds its library, creates a fault table, and applies both to a command.

use crate::program::{locate_beside, LocateError, TempFile};
use std::ffi::CString;
use std::os::unix::ffi::OsStrExt;
use std::path::PathBuf;
use std::process::Command;
use tansymux_fault_table::{FaultTable, TABLE_VARIABLE};

/// Package of the shim library.
const PACKAGE: &str = "tansymux-fault-shim";
/// File name of the shim library.
const LIBRARY: &str = "libtansymux_fault_shim.so";

/// The shim library, and a fault table in a temporary file.
#[derive(Debug)]
pub struct FaultShim {
    library: PathBuf,
    table_file: TempFile,
    table: &'static FaultTable,
}

impl FaultShim {
    /// Creates an empty fault table for the library at this path; see [`locate_library`].
    ///
    /// # Panics
    /// The directory for temporary files can't be written to.
    pub fn new(library: PathBuf) -> Self {
        let table_file = TempFile::new("faults", &"\0".repeat(FaultTable::BYTES));
        let path =
            CString::new(table_file.0.as_os_str().as_bytes()).expect("a path contains no NUL byte");
        let table = FaultTable::map(&path).expect("a file that was just written can be mapped");
        FaultShim {
            library,
            table_file,
            table,
        }
    }

    /// The fault table, which the program under test maps as well.
    pub fn table(&self) -> &'static FaultTable {
        self.table
    }

    /// Sets the environment of a command so that its program loads the library and the fault table.
    pub fn apply(&self, command: &mut Command) {
        command.env("LD_PRELOAD", &self.library).env(
            TABLE_VARIABLE.to_string_lossy().as_ref(),
            &self.table_file.0,
        );
    }
}

/// Returns the path of the library, in the running program's directory. Under cargo, the library is built first.
///
/// # Errors
/// It could not be built or does not exist.
pub fn locate_library() -> Result<PathBuf, LocateError> {
    locate_beside(PACKAGE, LIBRARY)
}
