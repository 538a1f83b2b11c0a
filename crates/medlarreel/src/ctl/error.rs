//! Errors of `medlarctl`: result code, message and hint.

use std::fmt;
use std::net::SocketAddr;

use medlarreel_core::code::Code;
use medlarreel_core::config::Mistake;
use serde_json::{Value, json};

use super::ExitCode;
use crate::operators::advice::advice;
use crate::operators::api::{ErrorBody, ProposalOutcome, Verdict};
use crate::settings::InvalidFileError;

/// Why a command failed.
#[derive(Debug)]
pub struct CommandError {
    /// Exit code of the command.
    pub exit_code: ExitCode,
    /// Number of the result code; `None` for an invalid file, whose mistakes carry
    /// their own codes, or if a rejection came without one.
    code: Option<u16>,
    message: String,
    hint: String,
    proposal: Option<u64>,
    invalid_file: Option<InvalidFileError>,
}

impl CommandError {
    /// Invalid command line, or a runtime that cannot be started.
    pub fn usage(detail: impl fmt::Display, hint: impl Into<String>) -> CommandError {
        let message = format!("{}: {detail}", Code::Usage.text());
        CommandError::new(ExitCode::Usage, Code::Usage, message, hint)
    }

    /// File that cannot be read.
    pub fn unreadable_file(file: &str, mistake: &Mistake) -> CommandError {
        let message = format!("{}: {file}: {}", mistake.code.text(), mistake.detail);
        CommandError::new(ExitCode::Usage, mistake.code, message, mistake.hint)
    }

    /// File that contains mistakes.
    pub fn invalid_file(invalid_file: InvalidFileError) -> CommandError {
        CommandError {
            exit_code: ExitCode::Mistakes,
            code: None,
            message: String::new(),
            hint: String::new(),
            proposal: None,
            invalid_file: Some(invalid_file),
        }
    }

    /// Instance that sent no usable response.
    pub fn unreachable(instance: SocketAddr, detail: &str) -> CommandError {
        let message = format!("{}: {instance}: {detail}", Code::Unreachable.text());
        let hint = "check the operators' address and that the instance runs, or ask another one";
        CommandError::new(ExitCode::Unreachable, Code::Unreachable, message, hint)
    }

    /// Preset that the instance does not know.
    pub fn unknown_preset(name: &str) -> CommandError {
        let message = format!("{}: {name}", Code::UnknownPreset.text());
        let hint = advice(Code::UnknownPreset);
        CommandError::new(ExitCode::Rejected, Code::UnknownPreset, message, hint)
    }

    /// Request refused by the instance.
    pub fn refused(body: ErrorBody) -> CommandError {
        let exit_code = match code_from_number(body.code) {
            Some(Code::ProposalUnknown) => ExitCode::Unknown,
            Some(Code::LogUnavailable | Code::NoState | Code::Stopping) => ExitCode::Unreachable,
            _ => ExitCode::Rejected,
        };
        CommandError {
            exit_code,
            code: Some(body.code),
            message: body.text,
            hint: body.hint,
            proposal: None,
            invalid_file: None,
        }
    }

    /// Action that may or may not have taken effect.
    pub fn outcome_unknown(proposal: u64, detail: &str) -> CommandError {
        let message = format!("{}: {detail}", Code::ProposalUnknown.text());
        let hint = format!("ask again: medlarctl proposal {proposal} --instance IP:PORT");
        let error = CommandError::new(ExitCode::Unknown, Code::ProposalUnknown, message, hint);
        error.with_proposal(proposal)
    }

    /// Error for a proposal that is not accepted; `None` if it is.
    pub fn from_outcome(outcome: ProposalOutcome) -> Option<CommandError> {
        let code = outcome.code.and_then(code_from_number);
        match outcome.outcome {
            Verdict::Accepted => None,
            Verdict::Unknown => {
                let detail = code.map_or("the record was not read back yet", Code::text);
                Some(CommandError::outcome_unknown(outcome.proposal, detail))
            }
            Verdict::Rejected => {
                let message = code.map_or("the proposal was rejected", Code::text);
                let hint = code.map_or("look at `medlarctl audit`", advice);
                let error = CommandError {
                    exit_code: ExitCode::Rejected,
                    code: outcome.code,
                    message: message.to_owned(),
                    hint: hint.to_owned(),
                    proposal: None,
                    invalid_file: None,
                };
                Some(error.with_proposal(outcome.proposal))
            }
        }
    }

    /// JSON representation.
    pub fn json(&self) -> Value {
        if let Some(invalid_file) = &self.invalid_file {
            let mistakes: Vec<_> = invalid_file.mistakes.iter().map(mistake_json).collect();
            return json!({"file": invalid_file.file, "mistakes": mistakes});
        }
        json!({
            "code": self.code,
            "text": self.message,
            "hint": self.hint,
            "proposal": self.proposal,
        })
    }

    fn new(
        exit_code: ExitCode,
        code: Code,
        message: String,
        hint: impl Into<String>,
    ) -> CommandError {
        CommandError {
            exit_code,
            code: Some(code.number()),
            message,
            hint: hint.into(),
            proposal: None,
            invalid_file: None,
        }
    }

    fn with_proposal(self, proposal: u64) -> CommandError {
        CommandError {
            proposal: Some(proposal),
            ..self
        }
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(invalid_file) = &self.invalid_file {
            return write!(f, "{invalid_file}");
        }
        match self.code {
            Some(code) => write!(f, "code {code}: {}", self.message)?,
            None => write!(f, "{}", self.message)?,
        }
        if let Some(proposal) = self.proposal {
            write!(f, " (proposal {proposal})")?;
        }
        write!(f, "\n  {}", self.hint)
    }
}

/// Looks up a code by its number; `None` for codes that only other versions of the
/// software know.
fn code_from_number(number: u16) -> Option<Code> {
    let mut codes = Code::ALL.iter().copied();
    codes.find(|code| code.number() == number)
}

fn mistake_json(mistake: &Mistake) -> Value {
    json!({
        "line": mistake.line,
        "code": mistake.code.number(),
        "text": mistake.code.text(),
        "detail": mistake.detail,
        "hint": mistake.hint,
    })
}
