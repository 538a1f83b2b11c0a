//! Default settings and the annotated sample file that shows them.

use std::time::Duration;

use medlarreel_core::config::value::{format_duration, format_size};
use tracing::Level;

use super::{Limits, LogFormat, Logging};

/// Name of the control stream.
pub(super) const DEFAULT_STREAM: &str = "control";
/// Number of open requests at which further ones from callers are refused. Their heads
/// take about 64 MiB at the default head size.
pub(super) const DEFAULT_MAX_OPEN_REQUESTS: u32 = 4_096;
/// Largest request head, in bytes. Browsers and proxies stay well below it.
pub(super) const DEFAULT_MAX_HEAD_BYTES: u32 = 16 * 1024;
/// Timeout for receiving a request head. A slower sender would occupy a connection
/// without doing work.
pub(super) const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Threads that serve callers; few, because instances are small.
pub(super) const DEFAULT_WORKERS: u16 = 2;
/// Time that requests in flight have to finish at a shutdown.
pub(super) const DEFAULT_DRAIN_TIMEOUT: Duration = Duration::from_secs(30);
/// Sample secret of the annotated file. Settings that contain it are rejected.
pub(super) const SAMPLE_SECRET: &str = "replace-with-a-random-value";

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            open_requests: DEFAULT_MAX_OPEN_REQUESTS,
            head_size: DEFAULT_MAX_HEAD_BYTES,
            head_timeout: DEFAULT_HEAD_TIMEOUT,
            workers: DEFAULT_WORKERS,
            drain: DEFAULT_DRAIN_TIMEOUT,
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
/// The file is complete except for the two secrets, whose sample text is rejected.
pub fn annotated_defaults() -> String {
    let head_size = format_size(DEFAULT_MAX_HEAD_BYTES);
    let head_timeout = format_duration(DEFAULT_HEAD_TIMEOUT);
    let drain = format_duration(DEFAULT_DRAIN_TIMEOUT);
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
stream = {DEFAULT_STREAM}

[security]
# The same at all instances; 16 to 256 visible ASCII characters each.
cluster_secret = {SAMPLE_SECRET}
operator_token = {SAMPLE_SECRET}

[limits]
# Callers' requests open at a time; further ones are refused with code 114.
open_requests = {DEFAULT_MAX_OPEN_REQUESTS} requests
# Largest request head (8 KiB to 256 KiB) and the time to receive it.
head_size = {head_size}
head_timeout = {head_timeout}
# Threads that handle traffic.
workers = {DEFAULT_WORKERS}
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
