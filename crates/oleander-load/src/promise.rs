//! One promise and whether a run kept it.

/// One promise, as a run judged it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Promise {
    /// What is promised.
    pub name: &'static str,
    /// Whether it was kept.
    pub kept: bool,
    /// The figures that the verdict stands on.
    pub evidence: String,
}

impl Promise {
    /// Creates a verdict.
    pub fn new(name: &'static str, kept: bool, evidence: String) -> Self {
        Self {
            name,
            kept,
            evidence,
        }
    }
}

impl std::fmt::Display for Promise {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let verdict = if self.kept { "kept  " } else { "BROKEN" };
        write!(f, "{verdict}  {}: {}", self.name, self.evidence)
    }
}
