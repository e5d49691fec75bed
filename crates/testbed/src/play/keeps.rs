//! What a node keeps between two lives, and what can happen to it: a folder for each node, which is its `TMPDIR`.

use crate::plan::What;
use std::path::{Path, PathBuf};

/// The folder of a node.
pub struct Kept {
    pub folder: PathBuf,
    /// Where the copy of an earlier time is.
    copy: PathBuf,
    frozen: bool,
}

fn told<T>(path: &Path, result: std::io::Result<T>) -> Result<T, String> {
    result.map_err(|error| format!("{}: {error}", path.display()))
}

fn files(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder).into_iter().flatten().flatten();
    let mut files: Vec<PathBuf> = entries.map(|entry| entry.path()).filter(|path| path.is_file()).collect();
    files.sort();
    files
}

impl Kept {
    pub fn new(home: &Path, node: usize) -> Result<Kept, String> {
        let (folder, copy) = (home.join(format!("n{node}")), home.join(format!("n{node}-copy")));
        told(&folder, std::fs::create_dir(&folder))?;
        Ok(Kept { folder, copy, frozen: false })
    }

    /// Keeps a copy as it is now, for the fault that puts an older one back.
    pub fn copy(&self) -> Result<(), String> {
        let _ = std::fs::create_dir(&self.copy);
        for file in files(&self.folder) {
            if let Some(name) = file.file_name() {
                told(&file, std::fs::copy(&file, self.copy.join(name)))?;
            }
        }
        Ok(())
    }

    /// What lies in it now, but for what processes only use to tell one another that they live.
    pub fn bytes(&self) -> usize {
        let lasting =
            files(&self.folder).into_iter().filter(|file| file.extension().is_none_or(|e| e != "process"));
        lasting.filter_map(|file| std::fs::metadata(file).ok()).map(|found| found.len() as usize).sum()
    }

    /// Does to it what a fault of state says; a folder that is not to be written is so until the fault is over. What
    /// can't be done on this machine is told.
    pub fn meet(&mut self, what: What, at: usize, on: bool) -> Result<(), String> {
        match (what, on) {
            (What::StateLost, true) => {
                for file in files(&self.folder) {
                    told(&file, std::fs::remove_file(&file))?;
                }
            }
            (What::StateOld, true) => {
                for file in files(&self.folder) {
                    told(&file, std::fs::remove_file(&file))?;
                }
                for file in files(&self.copy) {
                    if let Some(name) = file.file_name() {
                        told(&file, std::fs::copy(&file, self.folder.join(name)))?;
                    }
                }
            }
            (What::StateDamaged, true) => {
                for file in files(&self.folder) {
                    let mut bytes = told(&file, std::fs::read(&file))?;
                    let length = bytes.len();
                    if length > 0 {
                        bytes[at % length] ^= 0xff;
                        told(&file, std::fs::write(&file, bytes))?;
                    }
                }
            }
            (What::StateReadOnly, on) if on != self.frozen => {
                self.freeze(on)?;
                self.frozen = on;
            }
            _ => {}
        }
        Ok(())
    }

    /// Nothing can be written there from now on, by anybody. The superuser heeds no permissions, but a file's flags.
    fn freeze(&self, on: bool) -> Result<(), String> {
        use std::os::unix::fs::PermissionsExt;
        let folder = &self.folder;
        if !on {
            let _ = std::process::Command::new("chattr").arg("-i").arg(folder).output();
        }
        let mode = if on { 0o555 } else { 0o755 };
        told(folder, std::fs::set_permissions(folder, std::fs::Permissions::from_mode(mode)))?;
        if on {
            let _ = std::process::Command::new("chattr").arg("+i").arg(folder).output();
            let probe = folder.join("probe");
            if std::fs::write(&probe, "").is_ok() {
                let _ = std::fs::remove_file(&probe);
                return Err(format!(
                    "{}: can't be made read-only for this user on this machine",
                    folder.display()
                ));
            }
        }
        Ok(())
    }
}

impl Drop for Kept {
    fn drop(&mut self) {
        if self.frozen {
            let _ = self.freeze(false);
        }
    }
}

/// Exchanges the folders of nodes, each with the next of the set.
pub fn swap(kept: &mut [Kept], nodes: &[usize]) -> Result<(), String> {
    for pair in nodes.chunks_exact(2) {
        let (a, b) = (&kept[pair[0]].folder, &kept[pair[1]].folder);
        let aside = a.with_extension("aside");
        told(a, std::fs::rename(a, &aside))?;
        told(b, std::fs::rename(b, a))?;
        told(b, std::fs::rename(&aside, b))?;
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_folder_meets_each_fault_and_only_that() {
        let home = std::env::temp_dir().join(format!("stileroute-kept-{}", std::process::id()));
        std::fs::create_dir(&home).unwrap();
        let mut kept: Vec<Kept> = (0..2).map(|node| Kept::new(&home, node).unwrap()).collect();
        let file = kept[0].folder.join("a");
        let read = || std::fs::read(&file).ok();
        std::fs::write(&file, "old").unwrap();
        kept[0].copy().unwrap();
        std::fs::write(&file, "newer").unwrap();
        kept[0].meet(What::StateDamaged, 7, true).unwrap();
        assert_eq!(read().unwrap()[..2], *b"ne");
        assert_ne!(read().unwrap(), b"newer");
        kept[0].meet(What::StateOld, 0, true).unwrap();
        assert_eq!(read().unwrap(), b"old");
        swap(&mut kept, &[0, 1]).unwrap();
        assert!(read().is_none() && kept[1].bytes() == 3);
        swap(&mut kept, &[0, 1]).unwrap();
        kept[0].meet(What::StateReadOnly, 0, true).unwrap();
        assert!(std::fs::write(kept[0].folder.join("b"), "x").is_err());
        kept[0].meet(What::StateReadOnly, 0, false).unwrap();
        assert!(std::fs::write(kept[0].folder.join("b"), "x").is_ok());
        kept[0].meet(What::StateLost, 0, true).unwrap();
        assert_eq!(kept[0].bytes(), 0);
        drop(kept);
        std::fs::remove_dir_all(&home).unwrap();
    }
}
