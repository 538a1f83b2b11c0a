//! Command line.

use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;

use getopts::{Matches, Options};

use super::CommandError;
use crate::settings::read_text;

/// What is to be done.
#[derive(Debug)]
pub enum Command {
    /// Publish the preset in a file.
    Publish {
        /// Path of the preset.
        file: String,
    },
    /// Switch to a preset.
    Activate {
        /// Name of the preset.
        name: String,
        /// Version; the current one if not given.
        version: Option<u32>,
    },
    /// Assert that an upstream or a failure domain is gone.
    Release {
        /// Name of the upstream.
        upstream: Option<String>,
        /// Name of the failure domain.
        domain: Option<String>,
    },
    /// Show what an instance knows.
    Status,
    /// Show what is in force at several instances.
    Where,
    /// Show the owner of a key.
    Owner {
        /// Name of the service.
        service: String,
        /// The key.
        key: String,
    },
    /// List accepted changes.
    Audit {
        /// Offset after which the list begins.
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
    /// Print an annotated file.
    Defaults(Kind),
    /// List the result codes.
    Codes,
}

/// Kind of file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Settings of an instance.
    Settings,
    /// Preset of the federation.
    Preset,
}

/// Checked command line.
#[derive(Debug)]
pub struct Call {
    /// What is to be done.
    pub command: Command,
    /// Operators' addresses; at least one for commands that ask an instance.
    pub instances: Vec<SocketAddr>,
    /// Operator token.
    pub token: Option<String>,
    /// Whether to print JSON.
    pub json: bool,
}

/// Result of reading the command line.
pub enum Parsed {
    /// Text of a help page.
    Help(String),
    /// Command to run.
    Call(Call),
}

/// Which addresses and token a command needs.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Reach {
    Local,
    Query,
    Several,
    Action,
}

struct Usage {
    name: &'static str,
    arguments: &'static str,
    summary: &'static str,
    example: &'static str,
    reach: Reach,
}

const USAGES: &[Usage] = &[
    Usage {
        name: "publish",
        arguments: "FILE",
        summary: "Check the preset in FILE and publish it as the next version.",
        example: "publish peaks.ini --instance 127.0.0.1:7002 --token-file token",
        reach: Reach::Action,
    },
    Usage {
        name: "activate",
        arguments: "NAME [--version N]",
        summary: "Put a published preset in force; the current version by default.",
        example: "activate peaks --instance 127.0.0.1:7002 --token-file token",
        reach: Reach::Action,
    },
    Usage {
        name: "release",
        arguments: "--upstream NAME | --domain NAME",
        summary: "Assert that an upstream or failure domain is gone, so that its keys may move.\n\
                  It must be certain that nothing there runs any more.",
        example: "release --domain loft-b --instance 127.0.0.1:7002 --token-file token",
        reach: Reach::Action,
    },
    Usage {
        name: "status",
        arguments: "",
        summary: "Show the preset in force, control holder, members and upstreams.",
        example: "status --instance 127.0.0.1:7002",
        reach: Reach::Query,
    },
    Usage {
        name: "where",
        arguments: "",
        summary: "Show what is in force at each of the given instances.",
        example: "where --instance 127.0.0.1:7002 --instance 127.0.0.1:7012",
        reach: Reach::Several,
    },
    Usage {
        name: "owner",
        arguments: "SERVICE KEY",
        summary: "Show the shard, owner, standby and dispatcher of a key.",
        example: "owner intake order-4711 --instance 127.0.0.1:7002",
        reach: Reach::Query,
    },
    Usage {
        name: "audit",
        arguments: "[--after N]",
        summary: "List accepted changes, oldest first.",
        example: "audit --after 1200 --instance 127.0.0.1:7002",
        reach: Reach::Query,
    },
    Usage {
        name: "proposal",
        arguments: "ID",
        summary: "Show what became of a proposal.",
        example: "proposal 4223372036854775 --instance 127.0.0.1:7002",
        reach: Reach::Query,
    },
    Usage {
        name: "check",
        arguments: "FILE",
        summary: "Check a settings file or preset and list every mistake.",
        example: "check peaks.ini",
        reach: Reach::Local,
    },
    Usage {
        name: "defaults",
        arguments: "settings|preset",
        summary: "Print an annotated file.",
        example: "defaults settings",
        reach: Reach::Local,
    },
    Usage {
        name: "codes",
        arguments: "",
        summary: "List the result codes with their meaning and what to do.",
        example: "codes",
        reach: Reach::Local,
    },
];

/// Reads the command line, without the program's name.
///
/// # Errors
///
/// A usage problem that names the help page.
pub fn parse(args: &[String]) -> Result<Parsed, CommandError> {
    let Some(first) = args.first() else {
        return Err(CommandError::usage(
            "no command is given",
            "run `medlarctl --help`",
        ));
    };
    if first == "--help" || first == "-h" {
        return Ok(Parsed::Help(overview()));
    }
    let Some(usage) = USAGES.iter().find(|usage| usage.name == first) else {
        let detail = format!("unknown command `{first}`");
        return Err(CommandError::usage(detail, "run `medlarctl --help`"));
    };
    let options = options(usage);
    let matches = options
        .parse(&args[1..])
        .map_err(|fail| usage.usage_error(fail))?;
    if matches.opt_present("help") {
        return Ok(Parsed::Help(usage.help(&options)));
    }
    let command = usage.command(&matches)?;
    Ok(Parsed::Call(Call {
        command,
        instances: usage.instances(&matches)?,
        token: usage.token(&matches)?,
        json: matches.opt_present("json"),
    }))
}

fn overview() -> String {
    let line = |usage: &Usage| {
        let summary = usage.summary.lines().next().unwrap_or_default();
        format!("  {:9} {summary}\n", usage.name)
    };
    let commands: String = USAGES.iter().map(line).collect();
    format!(
        "Usage: medlarctl COMMAND [ARGUMENTS]\n\nCommands:\n{commands}\n\
         Each command has its own --help.\n\n\
         Exit codes: 0 done, 1 rejected, 2 usage, 3 outcome unknown, 4 unreachable,\n\
         5 the file has mistakes\n\n\
         Example: medlarctl status --instance 127.0.0.1:7002\n"
    )
}

fn options(usage: &Usage) -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this text");
    options.optflag("", "json", "print JSON");
    if usage.reach != Reach::Local {
        let several = if usage.reach == Reach::Several {
            "; repeatable"
        } else {
            ""
        };
        let about = format!("operators' address of an instance{several}");
        options.optmulti("", "instance", &about, "IP:PORT");
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
    match usage.name {
        "activate" => options.optopt("", "version", "version of the preset", "N"),
        "audit" => options.optopt("", "after", "list changes after this offset", "N"),
        "release" => options
            .optopt("", "upstream", "upstream that is gone", "NAME")
            .optopt("", "domain", "failure domain that is gone", "NAME"),
        _ => &mut options,
    };
    options
}

impl Usage {
    fn usage_error(&self, detail: impl std::fmt::Display) -> CommandError {
        CommandError::usage(detail, format!("run `medlarctl {} --help`", self.name))
    }

    fn help(&self, options: &Options) -> String {
        let brief = format!("Usage: medlarctl {} {}", self.name, self.arguments);
        let brief = format!("{}\n\n{}", brief.trim_end(), self.summary);
        let text = options.usage(&brief);
        format!("{text}\nExample: medlarctl {}\n", self.example)
    }

    fn command(&self, matches: &Matches) -> Result<Command, CommandError> {
        let free: Vec<&str> = matches.free.iter().map(String::as_str).collect();
        let command = match (self.name, free.as_slice()) {
            ("publish", [file]) => Command::Publish {
                file: (*file).to_owned(),
            },
            ("activate", [name]) => Command::Activate {
                name: (*name).to_owned(),
                version: self.number(matches.opt_str("version"))?,
            },
            ("release", []) => self.release(matches)?,
            ("status", []) => Command::Status,
            ("where", []) => Command::Where,
            ("owner", [service, key]) => Command::Owner {
                service: (*service).to_owned(),
                key: (*key).to_owned(),
            },
            ("audit", []) => Command::Audit {
                after: self.number(matches.opt_str("after"))?,
            },
            ("proposal", [id]) => Command::Proposal {
                id: self.whole(id)?,
            },
            ("check", [file]) => Command::Check {
                file: (*file).to_owned(),
            },
            ("defaults", ["settings"]) => Command::Defaults(Kind::Settings),
            ("defaults", ["preset"]) => Command::Defaults(Kind::Preset),
            ("codes", []) => Command::Codes,
            _ => {
                let expected = format!("expected `{} {}`", self.name, self.arguments);
                return Err(self.usage_error(expected));
            }
        };
        Ok(command)
    }

    fn release(&self, matches: &Matches) -> Result<Command, CommandError> {
        let upstream = matches.opt_str("upstream");
        let domain = matches.opt_str("domain");
        if upstream.is_some() == domain.is_some() {
            return Err(self.usage_error("expected one of --upstream and --domain"));
        }
        Ok(Command::Release { upstream, domain })
    }

    fn instances(&self, matches: &Matches) -> Result<Vec<SocketAddr>, CommandError> {
        if self.reach == Reach::Local {
            return Ok(Vec::new());
        }
        let texts = matches.opt_strs("instance");
        let one = texts.len() == 1 || self.reach == Reach::Several;
        if texts.is_empty() || !one {
            return Err(self.usage_error("expected one --instance IP:PORT"));
        }
        let address = |text: &String| {
            let wrong = || self.usage_error(format!("`{text}` is not an address IP:PORT"));
            text.parse().map_err(|_| wrong())
        };
        texts.iter().map(address).collect()
    }

    fn token(&self, matches: &Matches) -> Result<Option<String>, CommandError> {
        if self.reach == Reach::Local {
            return Ok(None);
        }
        let token = match (matches.opt_str("token"), matches.opt_str("token-file")) {
            (Some(_), Some(_)) => {
                return Err(self.usage_error("expected one of --token and --token-file"));
            }
            (Some(token), None) => Some(token),
            (None, Some(file)) => {
                let text = read_text(Path::new(&file));
                let text = text.map_err(|mistake| CommandError::unreadable(&file, &mistake))?;
                Some(text.trim().to_owned())
            }
            (None, None) => None,
        };
        let valid =
            |token: &String| !token.is_empty() && token.bytes().all(|byte| byte.is_ascii_graphic());
        match &token {
            Some(token) if !valid(token) => Err(self.usage_error("the token is not visible ASCII")),
            None if self.reach == Reach::Action => {
                Err(self.usage_error("actions need --token or --token-file"))
            }
            _ => Ok(token),
        }
    }

    fn number<T: FromStr>(&self, text: Option<String>) -> Result<Option<T>, CommandError> {
        text.map(|text| self.whole(&text)).transpose()
    }

    fn whole<T: FromStr>(&self, text: &str) -> Result<T, CommandError> {
        let wrong = |_| self.usage_error(format!("`{text}` is not a whole number"));
        text.parse().map_err(wrong)
    }
}
