//! What went wrong: the number, what happened, and what to do.

use std::fmt;
use std::net::SocketAddr;

use medlarreel_core::code::Code;
use medlarreel_core::config::Mistake;
use serde_json::{Value, json};

use super::Exit;
use crate::operators::advice::advice;
use crate::operators::api::{Failure, Outcome, Verdict};
use crate::settings::Rejected;

/// Why a command did not do what was asked.
#[derive(Debug)]
pub struct Problem {
    /// Exit code of the command.
    pub exit: Exit,
    /// Number of the result code; `None` for problems listed by line.
    code: Option<u16>,
    happened: String,
    hint: String,
    proposal: Option<u64>,
    rejected: Option<Rejected>,
}

impl Problem {
    /// Command line that is not valid.
    pub fn usage(detail: impl fmt::Display, hint: impl Into<String>) -> Problem {
        let happened = format!("{}: {detail}", Code::Usage.text());
        Problem::new(Exit::Usage, Code::Usage, happened, hint)
    }

    /// File that cannot be read.
    pub fn unreadable(file: &str, mistake: &Mistake) -> Problem {
        let happened = format!("{}: {file}: {}", mistake.code.text(), mistake.detail);
        Problem::new(Exit::Usage, mistake.code, happened, mistake.hint)
    }

    /// File with mistakes.
    pub fn rejected(rejected: Rejected) -> Problem {
        Problem {
            exit: Exit::Mistakes,
            code: None,
            happened: String::new(),
            hint: String::new(),
            proposal: None,
            rejected: Some(rejected),
        }
    }

    /// Instance that gave no answer.
    pub fn unreachable(instance: SocketAddr, detail: &str) -> Problem {
        let happened = format!("{}: {instance}: {detail}", Code::Unreachable.text());
        let hint = "check the operators' address and that the instance runs, or ask another one";
        Problem::new(Exit::Unreachable, Code::Unreachable, happened, hint)
    }

    /// Name that the instance does not know.
    pub fn unknown_preset(name: &str) -> Problem {
        let happened = format!("{}: {name}", Code::UnknownPreset.text());
        let hint = advice(Code::UnknownPreset);
        Problem::new(Exit::Rejected, Code::UnknownPreset, happened, hint)
    }

    /// Request that the instance refused.
    pub fn refused(failure: Failure) -> Problem {
        let exit = match code(failure.code) {
            Some(Code::ProposalUnknown) => Exit::Unknown,
            Some(Code::LogUnavailable | Code::NoState | Code::Stopping) => Exit::Unreachable,
            _ => Exit::Rejected,
        };
        Problem {
            exit,
            code: Some(failure.code),
            happened: failure.text,
            hint: failure.hint,
            proposal: None,
            rejected: None,
        }
    }

    /// Action that may have taken effect.
    pub fn unknown(proposal: u64, detail: &str) -> Problem {
        let happened = format!("{}: {detail}", Code::ProposalUnknown.text());
        let hint = format!("ask again: medlarctl proposal {proposal} --instance IP:PORT");
        let problem = Problem::new(Exit::Unknown, Code::ProposalUnknown, happened, hint);
        problem.with_proposal(proposal)
    }

    /// Problem of an outcome; `None` for an accepted one.
    pub fn of(outcome: Outcome) -> Option<Problem> {
        let known = outcome.code.and_then(code);
        match outcome.outcome {
            Verdict::Accepted => None,
            Verdict::Unknown => {
                let detail = known.map_or("the record was not read back yet", Code::text);
                Some(Problem::unknown(outcome.proposal, detail))
            }
            Verdict::Rejected => {
                let happened = known.map_or("the proposal was rejected", Code::text);
                let hint = known.map_or("look at `medlarctl audit`", advice);
                let problem = Problem {
                    exit: Exit::Rejected,
                    code: outcome.code,
                    happened: happened.to_owned(),
                    hint: hint.to_owned(),
                    proposal: None,
                    rejected: None,
                };
                Some(problem.with_proposal(outcome.proposal))
            }
        }
    }

    /// JSON form.
    pub fn json(&self) -> Value {
        if let Some(rejected) = &self.rejected {
            let mistakes: Vec<_> = rejected.mistakes.iter().map(mistake_json).collect();
            return json!({"file": rejected.file, "mistakes": mistakes});
        }
        json!({
            "code": self.code,
            "text": self.happened,
            "hint": self.hint,
            "proposal": self.proposal,
        })
    }

    fn new(exit: Exit, code: Code, happened: String, hint: impl Into<String>) -> Problem {
        Problem {
            exit,
            code: Some(code.number()),
            happened,
            hint: hint.into(),
            proposal: None,
            rejected: None,
        }
    }

    fn with_proposal(self, proposal: u64) -> Problem {
        Problem {
            proposal: Some(proposal),
            ..self
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(rejected) = &self.rejected {
            return write!(f, "{rejected}");
        }
        match self.code {
            Some(code) => write!(f, "code {code}: {}", self.happened)?,
            None => write!(f, "{}", self.happened)?,
        }
        if let Some(proposal) = self.proposal {
            write!(f, " (proposal {proposal})")?;
        }
        write!(f, "\n  {}", self.hint)
    }
}

/// Code of a number; `None` for numbers of another release.
fn code(number: u16) -> Option<Code> {
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
