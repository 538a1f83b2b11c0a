//! Replies to grants and releases.

use std::time::Duration;

use http::{HeaderMap, HeaderValue, StatusCode};
use medlarreel_core::entry::ledger::{OrderKind, Reply};
use medlarreel_entry::platform::grants::decode_reply;

fn grant() -> OrderKind {
    OrderKind::Grant {
        hold: Duration::from_secs(4),
        handover: None,
    }
}

/// Guards against taking an answer to a request, which an upstream has repeated on a kept
/// connection, for the reply to a grant or a release.
#[test]
fn answer_to_a_request_is_not_a_reply_to_an_order() {
    for name in ["attempt-id", "response-signature"] {
        let mut headers = HeaderMap::new();
        headers.insert(name, HeaderValue::from_static("a1"));
        for status in [StatusCode::OK, StatusCode::MISDIRECTED_REQUEST] {
            for kind in [grant(), OrderKind::Release] {
                let reply = decode_reply(&kind, status, &headers);
                assert_eq!(reply, None, "{name} {status}");
            }
        }
    }
}

/// Guards against orders whose outcome is taken for another one.
#[test]
fn status_tells_the_outcome_of_an_order() {
    let decode = |status| decode_reply(&grant(), status, &HeaderMap::new());

    assert_eq!(decode(StatusCode::OK), Some(Reply::Done { handover: None }));
    assert_eq!(decode(StatusCode::CONFLICT), Some(Reply::Fenced));
    assert_eq!(
        decode(StatusCode::MISDIRECTED_REQUEST),
        Some(Reply::Misdirected)
    );
    assert_eq!(decode(StatusCode::BAD_GATEWAY), Some(Reply::Unknown));
}

/// Guards against keys that are granted to another upstream while their holder still works on
/// them: it has repeated its reply to a grant, which is taken for that to the release.
#[test]
fn reply_to_a_grant_is_not_a_reply_to_a_release() {
    let decode = |status, headers| decode_reply(&OrderKind::Release, status, &headers);
    let mut with_token = HeaderMap::new();
    with_token.insert("handover", HeaderValue::from_static("5c0e"));

    assert_eq!(decode(StatusCode::OK, HeaderMap::new()), None);
    let handover = Some("5c0e".to_owned());
    assert_eq!(
        decode(StatusCode::OK, with_token),
        Some(Reply::Done { handover })
    );
    assert_eq!(
        decode(StatusCode::MISDIRECTED_REQUEST, HeaderMap::new()),
        Some(Reply::Misdirected)
    );
}
