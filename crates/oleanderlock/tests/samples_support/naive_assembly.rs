//! A stream assembly that keeps every message and scans all of them.
