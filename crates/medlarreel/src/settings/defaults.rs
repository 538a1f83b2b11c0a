//! Default values and the annotated file that shows them.

use std::time::Duration;

use medlarreel_core::config::value::{format_duration, format_size};
use tracing::Level;

use super::{Limits, LogFormat, Logging};

/// Name of the control stream.
pub(super) const STREAM: &str = "control";
/// Requests that may be open; about 64 MiB of heads at the default head size.
pub(super) const OPEN_REQUESTS: u32 = 4_096;
/// Largest request head in bytes; browsers and proxies stay well below it.
pub(super) const HEAD_SIZE: u32 = 16 * 1024;
/// Time for a request head; slower senders hold a connection without work.
pub(super) const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Traffic threads; entry instances are small.
pub(super) const WORKERS: u16 = 2;
/// Time for requests in flight at a shutdown.
pub(super) const DRAIN: Duration = Duration::from_secs(30);
/// Sample secret of the annotated file, which is not accepted.
pub(super) const UNSET: &str = "replace-with-a-random-value";

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            open_requests: OPEN_REQUESTS,
            head_size: HEAD_SIZE,
            head_timeout: HEAD_TIMEOUT,
            workers: WORKERS,
            drain: DRAIN,
        }
    }
}

impl Default for Logging {
    fn default() -> Logging {
        Logging {
            format: LogFormat::Text,
            level: Level::INFO,
        }
    }
}

/// Annotated settings file with all keys.
///
/// It is complete but for the two secrets, whose sample text is not accepted.
pub fn annotated_defaults() -> String {
    let head_size = format_size(HEAD_SIZE);
    let head_timeout = format_duration(HEAD_TIMEOUT);
    let drain = format_duration(DRAIN);
    format!(
        "\
# Settings of one medlarreeld instance. Comments stand on their own line.
# Check a file with: medlarctl check FILE

[instance]
# Club that this instance serves, as named in the presets.
club = kashmir
# Failure domain that this instance runs in, as named in the platform's list.
domain = loft-a

[listen]
# HTTP for callers, behind the platform's load balancer.
callers = 127.0.0.1:7000
# UDP and HTTP for peers. They are told this address, so it names one interface.
peers = 127.0.0.1:7001
# HTTP for operators: metrics, health, status page, control.
operators = 127.0.0.1:7002

[platform]
# The platform's log service and list of instances.
log = http://127.0.0.1:7100
list = http://127.0.0.1:7200
# Stream of the log service that holds the control records.
stream = {STREAM}

[security]
# The same at all instances; 16 to 256 visible ASCII characters each.
cluster_secret = {UNSET}
operator_token = {UNSET}

[limits]
# Callers' requests open at a time; further ones are refused with code 114.
open_requests = {OPEN_REQUESTS} requests
# Largest request head (8 KiB to 256 KiB) and the time to receive it.
head_size = {head_size}
head_timeout = {head_timeout}
# Threads that handle traffic.
workers = {WORKERS}
# Time for requests in flight at a shutdown.
drain = {drain}

[log]
# text or json
format = text
# error, warn, info, debug or trace
level = info
"
    )
}
