//! The configuration in force, kept on the instances that have a disk.

use crate::process::runtime;
use oleanderlock::journal_messages::JournalEntry;
use oleanderlock::snapshot::{decode, encode};
use std::io::Write;
use std::path::{Path, PathBuf};

/// Name of the file in the data folder.
const FILE: &str = "config.snapshot";
/// Name under which a new file is written before it replaces the old one.
const NEW_FILE: &str = "config.snapshot.new";

/// The snapshot of one process; without a data folder it does nothing.
#[derive(Clone, Debug)]
pub struct SnapshotFile {
    folder: Option<PathBuf>,
    /// Names the deployment: a file of another one is not believed.
    deployment: String,
}

impl SnapshotFile {
    /// Creates the snapshot of a process of the deployment that uses the store at `store`.
    pub fn new(folder: Option<&Path>, store: &str) -> Self {
        Self {
            folder: folder.map(Path::to_path_buf),
            deployment: store.to_owned(),
        }
    }

    /// Reads the objects of the last snapshot; none when there is no file or it is not believed.
    pub fn load(&self) -> Vec<JournalEntry> {
        let Some(folder) = &self.folder else {
            return Vec::new();
        };
        let Ok(buf) = std::fs::read(folder.join(FILE)) else {
            return Vec::new();
        };
        match decode(&self.deployment, &buf) {
            Ok(entries) => {
                log::info!("event=snapshot-read objects={}", entries.len());
                entries
            }
            Err(fault) => {
                log::warn!("event=snapshot-refused reason=\"{fault}\"");
                Vec::new()
            }
        }
    }

    /// Writes the objects on another thread.
    pub fn save(&self, entries: Vec<JournalEntry>) {
        let Some(folder) = self.folder.clone() else {
            return;
        };
        let deployment = self.deployment.clone();
        runtime::spawn(smol::unblock(move || {
            if let Err(fault) = write(&folder, &deployment, entries) {
                log::warn!("event=snapshot-not-written reason=\"{fault}\"");
            }
        }));
    }
}

/// A crash at any point leaves the old file or the new one, never a part that is believed.
fn write(folder: &Path, deployment: &str, entries: Vec<JournalEntry>) -> std::io::Result<()> {
    let buf = encode(deployment, entries).map_err(std::io::Error::other)?;
    std::fs::create_dir_all(folder)?;
    let new = folder.join(NEW_FILE);
    let mut file = std::fs::File::create(&new)?;
    file.write_all(&buf)?;
    file.sync_all()?;
    std::fs::rename(&new, folder.join(FILE))
}
