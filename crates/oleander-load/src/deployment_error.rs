//! Why a deployment can't be started or driven.

use derive_more::{Display, Error, From};
use oleander_standins::api::ApiError;
use std::path::PathBuf;

/// Why a deployment can't be started or driven.
#[derive(Debug, Display, Error, From)]
pub enum DeploymentError {
    /// A file, address or process can't be opened.
    #[display("{_0}")]
    Io(std::io::Error),
    /// A call failed.
    #[display("{_0}")]
    Call(ApiError),
    /// A program of the workspace was not built.
    #[display("{} is missing; build the workspace first", path.display())]
    #[from(ignore)]
    MissingProgram {
        /// Where it should be.
        path: PathBuf,
    },
    /// Nothing has this name.
    #[display("nothing is called {name}")]
    #[from(ignore)]
    UnknownName {
        /// The name.
        name: String,
    },
    /// The deployment is not ready in time.
    #[display("not ready: {reason}; logs in {}", folder.display())]
    #[from(ignore)]
    NotReady {
        /// What is missing.
        reason: String,
        /// Folder of the logs.
        folder: PathBuf,
    },
}
