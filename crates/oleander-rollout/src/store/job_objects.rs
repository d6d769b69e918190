//! Batch jobs and results as objects of the platform's store.
//!
//! A job whose items don't fit into one value has further parts, which are written before the job
//! itself. The end mark of a job is an object with the value `true`, which is written when the trainer
//! ends the job, so that the next leader knows of the end too.

use super::job_creation::JobCreation;
use super::job_record::JobRecord;
use super::store_client::StoreClient;
use super::store_error::StoreError;
use oleander_platform::stored_object::StoredObject;
use oleanderlock::batch::job::Job;
use oleanderlock::batch::job_item::JobItem;
use oleanderlock::batch::result_chunk::ResultChunk;
use oleanderlock::workspaces::job_access::may_use_job;
use serde::{Deserialize, Serialize};
use serde_json::value::{RawValue, to_raw_value};

/// Kind of accepted jobs; the id of the job is the name.
pub const JOB_KIND: &str = "jobs";
/// Kind of further parts of jobs, named `JOB.NUMBER`.
pub const JOB_PART_KIND: &str = "job-parts";
/// Kind of the end marks of jobs, which show that a job has ended; the id of the job is the name.
pub const JOB_END_KIND: &str = "job-ends";
/// Kind of the chunks of the result log.
pub const RESULT_KIND: &str = "results";

/// Bytes of a value that are left for everything but its items.
const VALUE_MARGIN_BYTES: usize = 16 << 10;
/// Digits of a chunk's number in its name, padded so that names sort like numbers.
const INDEX_DIGITS: usize = 12;

#[derive(Serialize, Deserialize)]
struct StoredJob {
    job: Job,
    /// Number of further parts that hold the rest of the items.
    more_parts: usize,
    /// Number of items in all parts.
    total: usize,
}

/// A stored job without its items.
#[derive(Deserialize)]
struct StoredHead {
    job: JobHead,
    #[serde(default)]
    more_parts: usize,
    total: usize,
}

#[derive(Deserialize)]
struct JobHead {
    submitted_unix_ms: u64,
    #[serde(default)]
    workspace: Option<String>,
}

/// Writes a submitted job, split so that no value is larger than `value_bytes`. With `owned`, jobs
/// belong to workspaces, and a stored job with the same id may belong to another one.
///
/// # Errors
///
/// [`StoreError`], but not [`StoreError::Conflict`].
pub async fn create_job(
    store: &StoreClient,
    job: Job,
    value_bytes: usize,
    owned: bool,
) -> Result<JobCreation, StoreError> {
    let (id, workspace) = (job.id.clone(), job.workspace.clone());
    match write_job(store, job, value_bytes, owned).await {
        Ok(()) => Ok(JobCreation::Created),
        Err(StoreError::Conflict) if owned => existing_job(store, &id, workspace.as_deref()).await,
        Err(StoreError::Conflict) => Ok(JobCreation::Existing),
        Err(err) => Err(err),
    }
}

/// Returns whether the stored job with an id is open to a workspace.
async fn existing_job(
    store: &StoreClient,
    id: &str,
    workspace: Option<&str>,
) -> Result<JobCreation, StoreError> {
    // The job is in the store, so a failed read doesn't mean that it is not.
    let object = store.get(JOB_KIND, id).await;
    let object = object.map_err(StoreError::no_answer)?;
    let Some(object) = object else {
        // Only parts of another job with this id are there.
        return Ok(JobCreation::Foreign);
    };
    let owner = decode_record(&object)?.workspace;
    if may_use_job(owner.as_deref(), workspace) {
        Ok(JobCreation::Existing)
    } else {
        Ok(JobCreation::Foreign)
    }
}

async fn write_job(
    store: &StoreClient,
    mut job: Job,
    value_bytes: usize,
    owned: bool,
) -> Result<(), StoreError> {
    let total = job.items.len();
    let mut parts = split_items(std::mem::take(&mut job.items), value_bytes);
    let first = if parts.is_empty() {
        Vec::new()
    } else {
        parts.remove(0)
    };
    for (number, part) in parts.iter().enumerate() {
        let name = part_name(&job.id, number);
        match store.create(JOB_PART_KIND, &name, &to_spec(part)?).await {
            // The part exists already if the same job was submitted before.
            Err(StoreError::Conflict) if owned => require_part(store, &name, part).await?,
            Ok(()) | Err(StoreError::Conflict) => {}
            Err(err) => return Err(err),
        }
    }
    job.items = first;
    let id = job.id.clone();
    let stored = StoredJob {
        job,
        more_parts: parts.len(),
        total,
    };
    store.create(JOB_KIND, &id, &to_spec(&stored)?).await
}

/// Checks that a stored part holds these items, and not those of a job of another workspace that
/// has the same id.
///
/// # Errors
///
/// [`StoreError`]; [`StoreError::Conflict`] if it holds others.
async fn require_part(
    store: &StoreClient,
    name: &str,
    items: &[JobItem],
) -> Result<(), StoreError> {
    match read_part(store, name).await? {
        stored if stored == items => Ok(()),
        _ => Err(StoreError::Conflict),
    }
}

async fn read_part(store: &StoreClient, name: &str) -> Result<Vec<JobItem>, StoreError> {
    let part = store.get(JOB_PART_KIND, name).await?;
    let part =
        part.ok_or_else(|| StoreError::no_answer(format!("part {name} of the job is missing")))?;
    serde_json::from_str(part.spec.get()).map_err(StoreError::no_answer)
}

/// Decodes the record of a job from its object, without its items.
///
/// # Errors
///
/// [`StoreError::NoAnswer`] if the content of the object can't be decoded, as for a body that
/// arrived incomplete.
pub fn decode_record(object: &StoredObject) -> Result<JobRecord, StoreError> {
    let head: StoredHead =
        serde_json::from_str(object.spec.get()).map_err(StoreError::no_answer)?;
    Ok(JobRecord {
        total: head.total,
        submitted_unix_ms: head.job.submitted_unix_ms,
        workspace: head.job.workspace,
    })
}

/// Decodes a job from its object and reads its further parts from the store.
///
/// # Errors
///
/// [`StoreError`]; [`StoreError::NoAnswer`] also if an object can't be decoded or a part is missing.
pub async fn read_job(store: &StoreClient, object: &StoredObject) -> Result<Job, StoreError> {
    let stored: StoredJob =
        serde_json::from_str(object.spec.get()).map_err(StoreError::no_answer)?;
    let mut job = stored.job;
    for number in 0..stored.more_parts {
        let name = part_name(&job.id, number);
        job.items.extend(read_part(store, &name).await?);
    }
    Ok(job)
}

/// Deletes a job with its parts and end mark; `object` is the stored job, `None` if it is deleted already.
///
/// # Errors
///
/// [`StoreError`]; what is left is deleted by the next call.
pub async fn delete_job(
    store: &StoreClient,
    id: &str,
    object: Option<&StoredObject>,
) -> Result<(), StoreError> {
    if let Some(object) = object {
        let head: StoredHead =
            serde_json::from_str(object.spec.get()).map_err(StoreError::no_answer)?;
        for number in 0..head.more_parts {
            store.delete(JOB_PART_KIND, &part_name(id, number)).await?;
        }
        store.delete(JOB_KIND, id).await?;
    }
    // The end mark is deleted last: a job without it would run again.
    store.delete(JOB_END_KIND, id).await
}

/// Whether the store has the end mark of a job.
///
/// # Errors
///
/// [`StoreError`].
pub async fn has_end_mark(store: &StoreClient, id: &str) -> Result<bool, StoreError> {
    let mark = store.get(JOB_END_KIND, id).await?;
    Ok(mark.is_some())
}

/// Appends a chunk to the result log.
///
/// # Errors
///
/// [`StoreError`]; [`StoreError::Conflict`] if a chunk with its number exists.
pub async fn create_chunk(store: &StoreClient, chunk: &ResultChunk) -> Result<(), StoreError> {
    let name = chunk_name(chunk.index);
    store.create(RESULT_KIND, &name, &to_spec(chunk)?).await
}

/// Reads the chunk with number `index`; `None` if there is none.
///
/// # Errors
///
/// [`StoreError`]; [`StoreError::NoAnswer`] also if the object can't be decoded.
pub async fn read_chunk(
    store: &StoreClient,
    index: u64,
) -> Result<Option<ResultChunk>, StoreError> {
    let object = store.get(RESULT_KIND, &chunk_name(index)).await?;
    object.map(|object| decode_chunk(&object)).transpose()
}

/// Decodes a chunk from its object.
///
/// # Errors
///
/// [`StoreError::NoAnswer`] if the content of the object can't be decoded, as for a body that
/// arrived incomplete.
pub fn decode_chunk(object: &StoredObject) -> Result<ResultChunk, StoreError> {
    serde_json::from_str(object.spec.get()).map_err(StoreError::no_answer)
}

/// Returns the name of the object of chunk number `index`.
pub fn chunk_name(index: u64) -> String {
    format!("{index:0INDEX_DIGITS$}")
}

fn part_name(job: &str, number: usize) -> String {
    format!("{job}.{number}")
}

/// Returns a value as the spec of an object.
pub(super) fn to_spec(value: &impl Serialize) -> Result<Box<RawValue>, StoreError> {
    to_raw_value(value).map_err(StoreError::not_done)
}

/// Splits items so that each part fits into one value.
fn split_items(items: Vec<JobItem>, value_bytes: usize) -> Vec<Vec<JobItem>> {
    let limit = value_bytes.saturating_sub(VALUE_MARGIN_BYTES);
    let mut parts: Vec<Vec<JobItem>> = Vec::new();
    let mut bytes = 0;
    for item in items {
        let size = serde_json::to_vec(&item).map_or(0, |text| text.len() + 1);
        if parts.is_empty() || bytes + size > limit {
            parts.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        if let Some(part) = parts.last_mut() {
            part.push(item);
        }
    }
    parts
}
