//! A step that keeps every event and scans all of them.
