//! Hints for operators about each result code.

use medlarreel_core::code::Code;

/// Recommended next step for whoever receives the code.
pub fn advice(code: Code) -> &'static str {
    match code {
        Code::BadRequest => "correct the request's path, method or medlar headers",
        Code::UnknownService => "check the first path segment against the preset in force",
        Code::MissingKey => "send the key in the medlar-key header",
        Code::NoPreset => "publish and activate a preset",
        Code::NoState => "send to another instance; check the log if all answer this",
        Code::NoOwner => "retry after a second; if it persists, look for a lost upstream",
        Code::QueueFull | Code::Shed | Code::TooManyRequests => {
            "retry later with backoff; if it persists, look at the load by rank"
        }
        Code::Expired => "send a longer deadline or retry later",
        Code::NotOwner => "retry; if it persists, compare `medlarctl where` of all instances",
        Code::Stopping => "send to another instance",
        Code::BodyTooLarge => "send less, or raise max_body in the preset",
        Code::NotDispatcher => "send to the instance that medlar-try names",
        Code::Unreachable => "retry; check the network between the failure domains",
        Code::HeadTooLarge => "send fewer or shorter headers, or raise head_size",
        Code::SlowRequest => "check the caller's connection, or raise head_timeout",
        Code::UpstreamFailed => "look at the upstream's own log",
        Code::AnswerTooLarge => "ask for less, or raise max_body in the preset",
        Code::AnswerLost | Code::AnswerLate | Code::AnswerMismatched => {
            "retry only if the request is idempotent; otherwise ask the service"
        }
        Code::KeyInProgress => "wait, then repeat with the same idempotency key",
        Code::KeyUnknown => "ask the service whether the request ran before repeating it",
        Code::FileUnreadable => "check the path, its permissions and that the text is UTF-8",
        Code::Syntax => "write `[section]`, `key = value` or a comment on its own line",
        Code::UnknownSection | Code::UnknownKey => "correct the name; see docs/settings.md",
        Code::Duplicate => "keep one of them",
        Code::BadValue => "write a value of the expected form",
        Code::BadUnit => "write the number followed by its unit",
        Code::OutOfRange => "choose a value within the range",
        Code::MissingSetting => "add it; `medlarctl defaults` prints a complete file",
        Code::Inconsistent => "change one of the values named",
        Code::VersionConflict => "look at `medlarctl status`, then decide whether to repeat",
        Code::UnknownPreset => "publish the preset first, or name its current version",
        Code::InvalidPreset => "run `medlarctl check` on the file; keep each service's shards",
        Code::StaleBallot => "nothing; a newer control holder has taken over",
        Code::ProposalUnknown => "ask again with `medlarctl proposal ID`",
        Code::LogUnavailable => "keys are still served; repeat once the log answers",
        Code::UnknownName => "check the name against `medlarctl status`",
        Code::Unauthorized => "pass the operator token of the instance's settings",
        Code::UnknownCommand => "check the path against docs/protocol.md",
        Code::Usage => "run `medlarctl --help`",
        Code::FrameMalformed | Code::FrameOversized => {
            "check what else sends to the peers' address"
        }
        Code::FrameForeign => "use the same cluster_secret at all instances",
        Code::FrameReplayed => "nothing, unless it is frequent; then check the network",
        Code::FrameVersion => "finish the rollout, so that all instances run one release",
    }
}
