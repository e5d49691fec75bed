//! The file FORMAT: one line that names the format, its version, the schema of the records and the folder's identity.
//!
//! Folders that were created before there were identities have no fourth word.

use std::fs;
use std::path::Path;

use crate::disk::{self, DiskFile};
use crate::error::{FileError, ReadError};
use crate::file_names::FORMAT;
use crate::frame::FolderIdentity;
use crate::options::Options;

/// The name under which FORMAT is written before it gets its own.
pub const FORMAT_UNFINISHED: &str = "FORMAT.tmp";
/// The first word of the line. It is older than the name of this package, and stays, so that folders of earlier builds open.
const PROGRAM: &str = "stileroute-logbook";
/// [`FORMAT_VERSION`](crate::frame::FORMAT_VERSION) as a word.
const VERSION_WORD: &str = "1";
/// Characters of a FORMAT that can't be read which the error shows.
const SHOWN_CHARACTERS: usize = 80;

/// What FORMAT says.
pub struct FolderFormat {
    /// What the records are.
    pub schema: String,
    /// What the folder's files carry; zero if the line has no fourth word.
    pub identity: FolderIdentity,
}

/// Reads FORMAT, whatever its schema.
pub fn read(folder: &Path) -> Result<FolderFormat, ReadError> {
    let path = folder.join(FORMAT);
    let bytes = fs::read(&path).map_err(FileError::on("reading", &path))?;
    let text = String::from_utf8_lossy(&bytes);
    parse(&text).ok_or_else(|| {
        let found = format!("{:?}", text.chars().take(SHOWN_CHARACTERS).collect::<String>());
        ReadError::UnknownFormat { file: path.display().to_string(), found }
    })
}

fn parse(text: &str) -> Option<FolderFormat> {
    let words: Vec<&str> = text.split_whitespace().collect();
    let (schema, identity) = match words[..] {
        [PROGRAM, VERSION_WORD, schema] => (schema, 0),
        [PROGRAM, VERSION_WORD, schema, identity] => (schema, u32::from_str_radix(identity, 16).ok()?),
        _ => return None,
    };
    Some(FolderFormat { schema: schema.to_string(), identity: FolderIdentity(identity) })
}

/// Written beside and renamed: under its own name it is complete.
pub fn write(folder: &Path, options: &Options) -> Result<(), FileError> {
    let mut file = DiskFile::create(folder, FORMAT_UNFINISHED, options)?;
    let text = format!("{PROGRAM} {VERSION_WORD} {} {}\n", options.schema, FolderIdentity::draw());
    file.write(text.as_bytes(), options)?;
    file.sync_all(options)?;
    disk::rename(folder, FORMAT_UNFINISHED, FORMAT, options)
}
