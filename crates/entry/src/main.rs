//! Entry instance of medlarreel on a platform that keeps its lasting state.

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
