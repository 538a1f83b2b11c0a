//! Operators' interface: bodies of the control API and the status page.

pub mod advice;
pub mod api;
pub mod page;
pub mod status;

pub use status::Status;
