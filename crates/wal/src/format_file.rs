//! The file FORMAT: a single line with the name of the format, its version, the schema of the records and the folder's
//! identity.
//!
//! Folders that were created before folder identities were introduced have a line of three words, without the
//! identity.

use std::fs;
use std::path::Path;

use crate::disk::{self, DiskFile};
use crate::error::{FileError, ReadError};
use crate::file_names::FORMAT_FILE_NAME;
use crate::frame::FolderIdentity;
use crate::options::Options;

/// Temporary name under which the file FORMAT is written before it is renamed.
pub const UNFINISHED_FORMAT_FILE_NAME: &str = "FORMAT.tmp";
/// The first word of the line in FORMAT. It predates the name of this package, and is kept so that folders written by
/// earlier builds can still be opened.
const FORMAT_MAGIC: &str = "stileroute-logbook";
/// [`FORMAT_VERSION`](crate::frame::FORMAT_VERSION) as it is written in the file FORMAT.
const VERSION_WORD: &str = "1";
/// Maximum number of characters of an invalid FORMAT file that are included in the error.
const MAX_SHOWN_CHARACTERS: usize = 80;

/// The contents of the file FORMAT.
pub struct FolderFormat {
    /// Schema of the log's records.
    pub schema: String,
    /// Identity in the headers of the folder's files; zero if the line in FORMAT has no fourth word.
    pub identity: FolderIdentity,
}

/// Reads the file FORMAT without checking its schema.
pub fn read(folder: &Path) -> Result<FolderFormat, ReadError> {
    let path = folder.join(FORMAT_FILE_NAME);
    let bytes = fs::read(&path).map_err(FileError::on("reading", &path))?;
    let text = String::from_utf8_lossy(&bytes);
    parse(&text).ok_or_else(|| {
        let found = format!("{:?}", text.chars().take(MAX_SHOWN_CHARACTERS).collect::<String>());
        ReadError::UnknownFormat { file: path.display().to_string(), found }
    })
}

fn parse(text: &str) -> Option<FolderFormat> {
    let words: Vec<&str> = text.split_whitespace().collect();
    let (schema, identity) = match words[..] {
        [FORMAT_MAGIC, VERSION_WORD, schema] => (schema, 0),
        [FORMAT_MAGIC, VERSION_WORD, schema, identity] => (schema, u32::from_str_radix(identity, 16).ok()?),
        _ => return None,
    };
    Some(FolderFormat { schema: schema.to_string(), identity: FolderIdentity(identity) })
}

/// Creates the file FORMAT with a new identity. It is written under a temporary name and then renamed, so a file named
/// FORMAT is always complete.
pub fn write(folder: &Path, options: &Options) -> Result<(), FileError> {
    let mut file = DiskFile::create(folder, UNFINISHED_FORMAT_FILE_NAME, options)?;
    let text = format!("{FORMAT_MAGIC} {VERSION_WORD} {} {}\n", options.schema, FolderIdentity::generate());
    file.write(text.as_bytes(), options)?;
    file.sync_all(options)?;
    disk::rename(folder, UNFINISHED_FORMAT_FILE_NAME, FORMAT_FILE_NAME, options)
}
