//! The operators' command, `medlarctl`.
//!
//! Commands that change something draw the proposal's id before they send it,
//! so that the outcome can be asked for again after a lost answer.

use serde_json::Value;

mod action;
mod client;
mod command;
mod error;
mod local;
mod query;
mod render;

use client::Client;
use command::{Call, Command, Parsed};
pub use error::CommandError;

/// Exit code of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// The command did what was asked.
    Done = 0,
    /// The instance refused, or the fold rejected the proposal.
    Rejected = 1,
    /// The command line is not valid.
    Usage = 2,
    /// The proposal may or may not take effect.
    Unknown = 3,
    /// No instance gave an answer.
    Unreachable = 4,
    /// `check` found mistakes, or the file to publish has some.
    Mistakes = 5,
}

/// Result of one run of the command.
#[derive(Debug)]
pub struct CommandOutput {
    /// Exit code.
    pub exit_code: ExitCode,
    /// Text for standard output.
    pub stdout: String,
    /// Text for standard error.
    pub stderr: String,
}

/// What a command reports, in both forms.
struct Report {
    exit_code: ExitCode,
    text: String,
    json: Value,
}

impl Report {
    fn done(text: String, json: Value) -> Report {
        Report {
            exit_code: ExitCode::Done,
            text,
            json,
        }
    }
}

/// Runs the command with its arguments, without the program's name.
pub fn run(args: &[String]) -> CommandOutput {
    match command::parse(args) {
        Ok(Parsed::Help(stdout)) => CommandOutput {
            exit_code: ExitCode::Done,
            stdout,
            stderr: String::new(),
        },
        Ok(Parsed::Call(call)) => finish(call.json, execute(&call)),
        Err(error) => finish(false, Err(error)),
    }
}

fn finish(json: bool, result: Result<Report, CommandError>) -> CommandOutput {
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

fn execute(call: &Call) -> Result<Report, CommandError> {
    match &call.command {
        Command::Check { file } => local::check(file),
        Command::Defaults(kind) => Ok(local::defaults(*kind)),
        Command::Codes => Ok(local::codes()),
        _ => remote(call),
    }
}

fn remote(call: &Call) -> Result<Report, CommandError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| CommandError::usage(error, "check the process limits of this machine"))?;
    runtime.block_on(exchange(call))
}

async fn exchange(call: &Call) -> Result<Report, CommandError> {
    if let Command::Where = call.command {
        return query::in_force(&call.instances, call.token.as_deref()).await;
    }
    let client = Client::new(call.instances[0], call.token.clone());
    match &call.command {
        Command::Publish { file } => action::publish(&client, file).await,
        Command::Activate { name, version } => action::activate(&client, name, *version).await,
        Command::Release { upstream, domain } => {
            action::release(&client, upstream.clone(), domain.clone()).await
        }
        Command::Proposal { id } => action::proposal(&client, *id).await,
        Command::Owner { service, key } => query::owner(&client, service, key).await,
        Command::Audit { after } => query::audit(&client, *after).await,
        _ => query::status(&client).await,
    }
}
