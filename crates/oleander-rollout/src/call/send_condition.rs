//! A condition under which a request may still be sent.

use std::fmt;
use std::rc::Rc;

/// A condition under which a request may still be sent, checked right before each attempt; cheap to
/// clone. The default always holds.
#[derive(Clone, Default)]
pub struct SendCondition {
    holds: Option<Rc<dyn Fn() -> bool>>,
}

impl SendCondition {
    /// Returns a condition that holds while `holds` returns true.
    pub fn new(holds: impl Fn() -> bool + 'static) -> Self {
        Self {
            holds: Some(Rc::new(holds)),
        }
    }

    /// Whether the request may be sent now.
    pub fn holds(&self) -> bool {
        self.holds.as_ref().is_none_or(|holds| holds())
    }
}

impl fmt::Debug for SendCondition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SendCondition")
            .field("always", &self.holds.is_none())
            .finish()
    }
}
