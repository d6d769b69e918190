//! Snapshot of the configuration in force, on instances with a disk.

use crate::process::runtime;
use oleanderlock::journal_messages::JournalEntry;
use oleanderlock::snapshot::{decode, encode};
use std::io::Write;
use std::path::{Path, PathBuf};

/// Name of the file in the data folder.
const FILE: &str = "config.snapshot";
/// Name under which a new file is written before it replaces the old one.
const NEW_FILE: &str = "config.snapshot.new";

/// The snapshot file of one process; without a data folder nothing is read or written.
#[derive(Clone, Debug)]
pub struct SnapshotFile {
    folder: Option<PathBuf>,
    /// URL of the store, which identifies the deployment; a snapshot of another one is ignored.
    deployment: String,
}

impl SnapshotFile {
    /// Creates the snapshot file of a process whose deployment uses the store at `store`.
    pub fn new(folder: Option<&Path>, store: &str) -> Self {
        Self {
            folder: folder.map(Path::to_path_buf),
            deployment: store.to_owned(),
        }
    }

    /// Reads the objects of the last snapshot; none when there is no file, or it is invalid or of
    /// another deployment.
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
            Err(error) => {
                log::warn!("event=snapshot-refused reason=\"{error}\"");
                Vec::new()
            }
        }
    }

    /// Writes the objects in the background; a failure is logged.
    pub fn save(&self, entries: Vec<JournalEntry>) {
        let Some(folder) = self.folder.clone() else {
            return;
        };
        let deployment = self.deployment.clone();
        runtime::spawn(smol::unblock(move || {
            if let Err(error) = write(&folder, &deployment, entries) {
                log::warn!("event=snapshot-not-written reason=\"{error}\"");
            }
        }));
    }
}

/// Writes a new file and renames it, so that a crash leaves either the old snapshot or the new one.
fn write(folder: &Path, deployment: &str, entries: Vec<JournalEntry>) -> std::io::Result<()> {
    let buf = encode(deployment, entries).map_err(std::io::Error::other)?;
    std::fs::create_dir_all(folder)?;
    let new = folder.join(NEW_FILE);
    let mut file = std::fs::File::create(&new)?;
    file.write_all(&buf)?;
    file.sync_all()?;
    std::fs::rename(&new, folder.join(FILE))
}
