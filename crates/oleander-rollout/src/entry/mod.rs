//! The entry: takes the requests of callers and trainers.

pub mod body;
mod calls;
pub mod entry_process;
mod front;
mod head;
mod job_calls;
mod news;
mod streams;
pub mod submit;
