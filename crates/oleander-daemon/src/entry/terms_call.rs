//! A request for the terms of a class or service.

use crate::entry::terms::Terms;
use async_channel::Sender;

/// A request for the terms of a class or service; without either, of the default class.
#[derive(Debug)]
pub struct TermsCall {
    /// Class named by the caller.
    pub class: Option<String>,
    /// Plain service that is called.
    pub service: Option<String>,
    /// Gets the terms, or `None` when no contract covers the call.
    pub reply: Sender<Option<Terms>>,
}
