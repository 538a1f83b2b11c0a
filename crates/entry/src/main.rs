//! Entry instance of medlarreel, for platforms that provide the persistent store.

use std::process::ExitCode;

fn main() -> ExitCode {
    match medlarreel_entry::daemon::main(std::env::args().skip(1)) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("medlarreel-entry: {error:#}");
            ExitCode::FAILURE
        }
    }
}
