//! Which workspace may use a batch job.

/// Whether a caller of a workspace may read, end or resubmit a job that belongs to `owner`.
///
/// A job without an owner was submitted without a key, for example to an earlier build; it is open
/// to all callers. Without a workspace, a caller may use such jobs only.
pub fn may_use_job(owner: Option<&str>, caller: Option<&str>) -> bool {
    owner.is_none() || owner == caller
}
