//! Generated message types of `proto/oleander.proto`.

#![allow(missing_docs, clippy::all)]

include!("generated/oleander.v1.rs");
