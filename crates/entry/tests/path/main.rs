//! The whole path with the real program: a process between callers on one side
//! and stand-ins of the store and the upstreams on the other.

mod faults;
mod fixture;
mod requests;
mod settings;
