//! Numbered result codes, shared by instances, the operators' command and docs.
//!
//! Every refusal carries one code. Codes of requests also state what is known
//! about their execution: `NotRun` is used only if no byte that could start the
//! request reached an upstream, or if the upstream itself reports it.

use medlarreel_macros::data;

/// What is known about the execution of a request.
#[data(key)]
pub enum Outcome {
    /// The request was not run and may be sent again.
    NotRun,
    /// The request ran and failed.
    Failed,
    /// Whether the request ran is not known.
    Unknown,
}

impl Outcome {
    /// Value of the `medlar-outcome` header.
    pub fn text(self) -> &'static str {
        match self {
            Outcome::NotRun => "not-run",
            Outcome::Failed => "failed",
            Outcome::Unknown => "unknown",
        }
    }

    /// Outcome named by a `medlar-outcome` header; `None` for any other text.
    pub fn parse(text: &str) -> Option<Outcome> {
        [Outcome::NotRun, Outcome::Failed, Outcome::Unknown]
            .into_iter()
            .find(|outcome| outcome.text() == text)
    }
}

macro_rules! codes {
    ($($name:ident = $number:literal, $status:literal, $outcome:expr, $text:literal;)*) => {
        /// Result code of a request, setting, proposal or frame.
        #[data(key)]
        pub enum Code {
            $(#[doc = $text] $name = $number,)*
        }

        impl Code {
            /// Every code, in ascending order.
            pub const ALL: &'static [Code] = &[$(Code::$name,)*];

            /// Number shown to users.
            pub fn number(self) -> u16 {
                self as u16
            }

            /// HTTP status sent with the code; 0 if the code is never sent in a response.
            pub fn status(self) -> u16 {
                match self { $(Code::$name => $status,)* }
            }

            /// Outcome reported with the code; `None` if it is not a code of requests.
            pub fn outcome(self) -> Option<Outcome> {
                match self { $(Code::$name => $outcome,)* }
            }

            /// Short description.
            pub fn text(self) -> &'static str {
                match self { $(Code::$name => $text,)* }
            }
        }
    };
}

const NOT_RUN: Option<Outcome> = Some(Outcome::NotRun);
const FAILED: Option<Outcome> = Some(Outcome::Failed);
const UNKNOWN: Option<Outcome> = Some(Outcome::Unknown);

codes! {
    BadRequest = 100, 400, NOT_RUN, "malformed request";
    UnknownService = 101, 404, NOT_RUN, "no such service";
    MissingKey = 102, 400, NOT_RUN, "the service needs a medlar-key header";
    NoPreset = 103, 503, NOT_RUN, "no preset is in force";
    NoState = 104, 503, NOT_RUN, "the instance has not established its state";
    NoOwner = 105, 503, NOT_RUN, "no reachable upstream owns the key";
    QueueFull = 106, 503, NOT_RUN, "the upstream's queue is full";
    Expired = 107, 504, NOT_RUN, "the deadline passed before the request was sent";
    NotOwner = 108, 503, NOT_RUN, "the upstream does not own the key under this epoch";
    Shed = 109, 503, NOT_RUN, "the upstream refused the request as overloaded";
    Stopping = 110, 503, NOT_RUN, "the instance or upstream is shutting down";
    BodyTooLarge = 111, 413, NOT_RUN, "the request body exceeds the limit";
    NotDispatcher = 112, 503, NOT_RUN, "the instance does not dispatch for this upstream";
    Unreachable = 113, 503, NOT_RUN, "no connection to the next hop could be opened";
    TooManyRequests = 114, 503, NOT_RUN, "the instance is at its limit of open requests";
    HeadTooLarge = 115, 431, NOT_RUN, "the request head exceeds the limit";
    SlowRequest = 116, 408, NOT_RUN, "the request was not received in time";
    UpstreamFailed = 200, 502, FAILED, "the upstream ran the request and failed";
    AnswerTooLarge = 201, 502, FAILED, "the upstream's answer exceeds the limit";
    AnswerLost = 300, 502, UNKNOWN, "the connection was lost before the whole answer arrived";
    AnswerLate = 301, 504, UNKNOWN, "the deadline passed after the request was sent";
    AnswerMismatched = 302, 502, UNKNOWN, "the answer does not belong to the request";
    KeyInProgress = 303, 409, UNKNOWN, "a request with this idempotency key is still in progress";
    KeyUnknown = 304, 409, UNKNOWN, "whether this idempotency key was used is not known";
    FileUnreadable = 400, 0, None, "the file cannot be read";
    Syntax = 401, 0, None, "the line is not valid INI";
    UnknownSection = 402, 0, None, "unknown section";
    UnknownKey = 403, 0, None, "unknown key";
    Duplicate = 404, 0, None, "section or key given twice";
    BadValue = 405, 0, None, "the value cannot be read";
    BadUnit = 406, 0, None, "the value has a missing or wrong unit";
    OutOfRange = 407, 0, None, "the value is out of range";
    MissingSetting = 408, 0, None, "a required section or key is missing";
    Inconsistent = 409, 0, None, "the values contradict each other";
    VersionConflict = 500, 409, None, "another proposal came first";
    UnknownPreset = 501, 404, None, "no such preset or version";
    InvalidPreset = 502, 400, None, "the preset does not pass the check";
    StaleBallot = 503, 409, None, "the record's ballot is no longer the highest";
    ProposalUnknown = 504, 503, None, "the proposal's outcome is not known yet";
    LogUnavailable = 505, 503, None, "the log service cannot be reached";
    UnknownName = 506, 404, None, "the record names something that does not exist";
    Unauthorized = 600, 401, None, "a valid operator token is required";
    UnknownCommand = 601, 404, None, "no such command";
    Usage = 602, 0, None, "the command line is not valid";
    FrameMalformed = 700, 0, None, "the frame cannot be decoded";
    FrameOversized = 701, 0, None, "the frame exceeds the size limit";
    FrameForeign = 702, 0, None, "the frame's authentication tag is wrong";
    FrameReplayed = 703, 0, None, "the frame's counter was seen before";
    FrameVersion = 704, 0, None, "the frame's version is not supported";
}
