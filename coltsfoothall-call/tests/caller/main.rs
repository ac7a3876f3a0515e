//! The caller and the load tool against an entry instance in a few lines.

mod fake;
mod load;
mod resume;
mod retry;
