//! Command-line client for operators, `medlarctl`.
//!
//! Commands that change state generate the proposal id before sending the request,
//! so that the outcome can still be queried if the response is lost.

use serde_json::Value;

mod action;
mod client;
mod command;
mod error;
mod local;
mod query;
mod render;

use client::Client;
use command::{Command, Invocation, ParsedArgs};
pub use error::CommandError;

/// Exit code of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// The command succeeded.
    Done = 0,
    /// The instance refused the request, or the proposal was rejected when applied.
    Rejected = 1,
    /// The command line is invalid, a file cannot be read, or the client cannot start its
    /// runtime.
    Usage = 2,
    /// The proposal may or may not take effect.
    Unknown = 3,
    /// No usable response from the instance, or it cannot serve the request now.
    Unreachable = 4,
    /// The checked or published file contains mistakes.
    Mistakes = 5,
}

/// Exit code and output of one invocation.
#[derive(Debug)]
pub struct CommandOutput {
    /// Exit code.
    pub exit_code: ExitCode,
    /// Text written to standard output.
    pub stdout: String,
    /// Text written to standard error.
    pub stderr: String,
}

/// Result of a command, as text and as JSON.
struct Report {
    exit_code: ExitCode,
    text: String,
    json: Value,
}

impl Report {
    fn success(text: String, json: Value) -> Report {
        Report {
            exit_code: ExitCode::Done,
            text,
            json,
        }
    }
}

/// Runs `medlarctl` with the given arguments, excluding the program name.
pub fn run(args: &[String]) -> CommandOutput {
    match command::parse(args) {
        Ok(ParsedArgs::Help(stdout)) => CommandOutput {
            exit_code: ExitCode::Done,
            stdout,
            stderr: String::new(),
        },
        Ok(ParsedArgs::Run(invocation)) => format_output(invocation.json, execute(&invocation)),
        Err(error) => format_output(false, Err(error)),
    }
}

fn format_output(json: bool, result: Result<Report, CommandError>) -> CommandOutput {
    let (exit_code, stdout, stderr) = match result {
        Ok(report) if json => (
            report.exit_code,
            format!("{:#}\n", report.json),
            String::new(),
        ),
        Ok(report) => (report.exit_code, report.text, String::new()),
        Err(error) if json => (
            error.exit_code,
            format!("{:#}\n", error.json()),
            String::new(),
        ),
        Err(error) => (error.exit_code, String::new(), format!("{error}\n")),
    };
    CommandOutput {
        exit_code,
        stdout,
        stderr,
    }
}

fn execute(invocation: &Invocation) -> Result<Report, CommandError> {
    match &invocation.command {
        Command::Check { file } => local::check(file),
        Command::Defaults(kind) => Ok(local::defaults(*kind)),
        Command::Codes => Ok(local::codes()),
        _ => execute_remote(invocation),
    }
}

fn execute_remote(invocation: &Invocation) -> Result<Report, CommandError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| CommandError::usage(error, "check the process limits of this machine"))?;
    runtime.block_on(run_remote(invocation))
}

async fn run_remote(invocation: &Invocation) -> Result<Report, CommandError> {
    if let Command::Where = invocation.command {
        return query::compare_instances(&invocation.instances, invocation.token.as_deref()).await;
    }
    let client = Client::new(invocation.instances[0], invocation.token.clone());
    match &invocation.command {
        Command::Publish { file } => action::publish(&client, file).await,
        Command::Activate { name, version } => action::activate(&client, name, *version).await,
        Command::Release { upstream, domain } => {
            action::release_shards(&client, upstream.clone(), domain.clone()).await
        }
        Command::Proposal { id } => action::proposal_outcome(&client, *id).await,
        Command::Owner { service, key } => query::owner(&client, service, key).await,
        Command::Audit { after } => query::audit(&client, *after).await,
        _ => query::status(&client).await,
    }
}
