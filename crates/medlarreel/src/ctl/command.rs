//! Command-line parsing and help texts.

use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;

use getopts::{Matches, Options};

use super::CommandError;
use crate::settings::read_text;

/// Command to run, with its arguments.
#[derive(Debug)]
pub enum Command {
    /// Publish the preset in a file.
    Publish {
        /// Path of the preset.
        file: String,
    },
    /// Activate a published preset.
    Activate {
        /// Name of the preset.
        name: String,
        /// Version, or `None` for the current one.
        version: Option<u32>,
    },
    /// Assert that an upstream or a failure domain is gone. Exactly one name is given.
    Release {
        /// Name of the upstream.
        upstream: Option<String>,
        /// Name of the failure domain.
        domain: Option<String>,
    },
    /// Show the status of an instance.
    Status,
    /// Compare the active preset of several instances.
    Where,
    /// Show the owner of a key.
    Owner {
        /// Name of the service.
        service: String,
        /// Key as callers send it, not percent-encoded.
        key: String,
    },
    /// List accepted changes.
    Audit {
        /// Offset after which the list starts; if `None`, all kept changes are listed.
        after: Option<u64>,
    },
    /// Show the outcome of a proposal.
    Proposal {
        /// Id of the proposal.
        id: u64,
    },
    /// Check a settings file or preset.
    Check {
        /// Path of the file.
        file: String,
    },
    /// Print an annotated sample file.
    Defaults(FileKind),
    /// List the result codes.
    Codes,
}

/// Kind of configuration file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileKind {
    /// Settings of an instance.
    Settings,
    /// Preset, which applies to all clubs.
    Preset,
}

/// Validated command line.
#[derive(Debug)]
pub struct Invocation {
    /// Command to run.
    pub command: Command,
    /// Operators' addresses of the instances; empty for local commands.
    pub instances: Vec<SocketAddr>,
    /// Operator token; always given for actions.
    pub token: Option<String>,
    /// Whether to print JSON.
    pub json: bool,
}

/// Result of parsing the command line.
pub enum ParsedArgs {
    /// Text of a help page.
    Help(String),
    /// Command to run.
    Run(Invocation),
}

/// Addresses and token that a command needs.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Scope {
    /// Needs no instance.
    Local,
    /// Needs one instance; the token is optional.
    Query,
    /// Needs one or more instances; the token is optional.
    MultiQuery,
    /// Needs one instance and a token.
    Action,
}

/// Syntax and help text of one command.
struct CommandSpec {
    name: &'static str,
    arguments: &'static str,
    summary: &'static str,
    example: &'static str,
    scope: Scope,
}

const COMMANDS: &[CommandSpec] = &[
    CommandSpec {
        name: "publish",
        arguments: "FILE",
        summary: "Check the preset in FILE and publish it as the next version.",
        example: "publish peaks.ini --instance 127.0.0.1:7002 --token-file token",
        scope: Scope::Action,
    },
    CommandSpec {
        name: "activate",
        arguments: "NAME [--version N]",
        summary: "Put a published preset in force; the current version by default.",
        example: "activate peaks --instance 127.0.0.1:7002 --token-file token",
        scope: Scope::Action,
    },
    CommandSpec {
        name: "release",
        arguments: "--upstream NAME | --domain NAME",
        summary: "Assert that an upstream or failure domain is gone, so that its keys may move.\n\
                  It must be certain that nothing there runs any more.",
        example: "release --domain loft-b --instance 127.0.0.1:7002 --token-file token",
        scope: Scope::Action,
    },
    CommandSpec {
        name: "status",
        arguments: "",
        summary: "Show the preset in force, control holder, members and upstreams.",
        example: "status --instance 127.0.0.1:7002",
        scope: Scope::Query,
    },
    CommandSpec {
        name: "where",
        arguments: "",
        summary: "Show what is in force at each of the given instances.",
        example: "where --instance 127.0.0.1:7002 --instance 127.0.0.1:7012",
        scope: Scope::MultiQuery,
    },
    CommandSpec {
        name: "owner",
        arguments: "SERVICE KEY",
        summary: "Show the shard, owner, standby and dispatcher of a key.",
        example: "owner intake order-4711 --instance 127.0.0.1:7002",
        scope: Scope::Query,
    },
    CommandSpec {
        name: "audit",
        arguments: "[--after N]",
        summary: "List accepted changes, oldest first.",
        example: "audit --after 1200 --instance 127.0.0.1:7002",
        scope: Scope::Query,
    },
    CommandSpec {
        name: "proposal",
        arguments: "ID",
        summary: "Show what became of a proposal.",
        example: "proposal 4223372036854775 --instance 127.0.0.1:7002",
        scope: Scope::Query,
    },
    CommandSpec {
        name: "check",
        arguments: "FILE",
        summary: "Check a settings file or preset and list every mistake.",
        example: "check peaks.ini",
        scope: Scope::Local,
    },
    CommandSpec {
        name: "defaults",
        arguments: "settings|preset",
        summary: "Print an annotated file.",
        example: "defaults settings",
        scope: Scope::Local,
    },
    CommandSpec {
        name: "codes",
        arguments: "",
        summary: "List the result codes with their meaning and what to do.",
        example: "codes",
        scope: Scope::Local,
    },
];

/// Parses the arguments, excluding the program name.
///
/// # Errors
///
/// A usage error whose hint names the help page, or an error for a token file that
/// cannot be read.
pub fn parse(args: &[String]) -> Result<ParsedArgs, CommandError> {
    let Some(first) = args.first() else {
        return Err(CommandError::usage(
            "no command is given",
            "run `medlarctl --help`",
        ));
    };
    if first == "--help" || first == "-h" {
        return Ok(ParsedArgs::Help(general_help()));
    }
    let Some(spec) = COMMANDS.iter().find(|spec| spec.name == first) else {
        let detail = format!("unknown command `{first}`");
        return Err(CommandError::usage(detail, "run `medlarctl --help`"));
    };
    let options = build_options(spec);
    let matches = options
        .parse(&args[1..])
        .map_err(|error| spec.usage_error(error))?;
    if matches.opt_present("help") {
        return Ok(ParsedArgs::Help(spec.help_text(&options)));
    }
    let command = spec.parse_command(&matches)?;
    Ok(ParsedArgs::Run(Invocation {
        command,
        instances: spec.parse_instances(&matches)?,
        token: spec.parse_token(&matches)?,
        json: matches.opt_present("json"),
    }))
}

fn general_help() -> String {
    let summary_line = |spec: &CommandSpec| {
        let summary = spec.summary.lines().next().unwrap_or_default();
        format!("  {:9} {summary}\n", spec.name)
    };
    let commands: String = COMMANDS.iter().map(summary_line).collect();
    format!(
        "Usage: medlarctl COMMAND [ARGUMENTS]\n\nCommands:\n{commands}\n\
         Each command has its own --help.\n\n\
         Exit codes: 0 done, 1 rejected, 2 usage, 3 outcome unknown, 4 unreachable,\n\
         5 the file has mistakes\n\n\
         Example: medlarctl status --instance 127.0.0.1:7002\n"
    )
}

fn build_options(spec: &CommandSpec) -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this text");
    options.optflag("", "json", "print JSON");
    if spec.scope != Scope::Local {
        let suffix = if spec.scope == Scope::MultiQuery {
            "; repeatable"
        } else {
            ""
        };
        let description = format!("operators' address of an instance{suffix}");
        options.optmulti("", "instance", &description, "IP:PORT");
        options.optopt(
            "",
            "token",
            "operator token; visible to other users",
            "TOKEN",
        );
        options.optopt(
            "",
            "token-file",
            "file that holds the operator token",
            "FILE",
        );
    }
    match spec.name {
        "activate" => options.optopt("", "version", "version of the preset", "N"),
        "audit" => options.optopt("", "after", "list changes after this offset", "N"),
        "release" => options
            .optopt("", "upstream", "upstream that is gone", "NAME")
            .optopt("", "domain", "failure domain that is gone", "NAME"),
        _ => &mut options,
    };
    options
}

impl CommandSpec {
    fn usage_error(&self, detail: impl std::fmt::Display) -> CommandError {
        CommandError::usage(detail, format!("run `medlarctl {} --help`", self.name))
    }

    fn help_text(&self, options: &Options) -> String {
        let header = format!("Usage: medlarctl {} {}", self.name, self.arguments);
        let header = format!("{}\n\n{}", header.trim_end(), self.summary);
        let text = options.usage(&header);
        format!("{text}\nExample: medlarctl {}\n", self.example)
    }

    fn parse_command(&self, matches: &Matches) -> Result<Command, CommandError> {
        let arguments: Vec<&str> = matches.free.iter().map(String::as_str).collect();
        let command = match (self.name, arguments.as_slice()) {
            ("publish", [file]) => Command::Publish {
                file: (*file).to_owned(),
            },
            ("activate", [name]) => Command::Activate {
                name: (*name).to_owned(),
                version: self.parse_optional_number(matches.opt_str("version"))?,
            },
            ("release", []) => self.parse_release(matches)?,
            ("status", []) => Command::Status,
            ("where", []) => Command::Where,
            ("owner", [service, key]) => Command::Owner {
                service: (*service).to_owned(),
                key: (*key).to_owned(),
            },
            ("audit", []) => Command::Audit {
                after: self.parse_optional_number(matches.opt_str("after"))?,
            },
            ("proposal", [id]) => Command::Proposal {
                id: self.parse_number(id)?,
            },
            ("check", [file]) => Command::Check {
                file: (*file).to_owned(),
            },
            ("defaults", ["settings"]) => Command::Defaults(FileKind::Settings),
            ("defaults", ["preset"]) => Command::Defaults(FileKind::Preset),
            ("codes", []) => Command::Codes,
            _ => {
                let expected = format!("expected `{} {}`", self.name, self.arguments);
                return Err(self.usage_error(expected));
            }
        };
        Ok(command)
    }

    fn parse_release(&self, matches: &Matches) -> Result<Command, CommandError> {
        let upstream = matches.opt_str("upstream");
        let domain = matches.opt_str("domain");
        if upstream.is_some() == domain.is_some() {
            return Err(self.usage_error("expected one of --upstream and --domain"));
        }
        Ok(Command::Release { upstream, domain })
    }

    fn parse_instances(&self, matches: &Matches) -> Result<Vec<SocketAddr>, CommandError> {
        if self.scope == Scope::Local {
            return Ok(Vec::new());
        }
        let texts = matches.opt_strs("instance");
        let count_allowed = texts.len() == 1 || self.scope == Scope::MultiQuery;
        if texts.is_empty() || !count_allowed {
            return Err(self.usage_error("expected one --instance IP:PORT"));
        }
        let parse_address = |text: &String| {
            let invalid = || self.usage_error(format!("`{text}` is not an address IP:PORT"));
            text.parse().map_err(|_| invalid())
        };
        texts.iter().map(parse_address).collect()
    }

    fn parse_token(&self, matches: &Matches) -> Result<Option<String>, CommandError> {
        if self.scope == Scope::Local {
            return Ok(None);
        }
        let token = match (matches.opt_str("token"), matches.opt_str("token-file")) {
            (Some(_), Some(_)) => {
                return Err(self.usage_error("expected one of --token and --token-file"));
            }
            (Some(token), None) => Some(token),
            (None, Some(file)) => {
                let text = read_text(Path::new(&file));
                let text =
                    text.map_err(|mistake| CommandError::unreadable_file(&file, &mistake))?;
                Some(text.trim().to_owned())
            }
            (None, None) => None,
        };
        let is_valid =
            |token: &String| !token.is_empty() && token.bytes().all(|byte| byte.is_ascii_graphic());
        match &token {
            Some(token) if !is_valid(token) => {
                Err(self.usage_error("the token is not visible ASCII"))
            }
            None if self.scope == Scope::Action => {
                Err(self.usage_error("actions need --token or --token-file"))
            }
            _ => Ok(token),
        }
    }

    fn parse_optional_number<T: FromStr>(
        &self,
        text: Option<String>,
    ) -> Result<Option<T>, CommandError> {
        text.map(|text| self.parse_number(&text)).transpose()
    }

    fn parse_number<T: FromStr>(&self, text: &str) -> Result<T, CommandError> {
        let invalid = |_| self.usage_error(format!("`{text}` is not a whole number"));
        text.parse().map_err(invalid)
    }
}
