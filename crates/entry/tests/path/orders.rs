//! Replies to grants and releases.

use http::{HeaderMap, HeaderValue, StatusCode};
use medlarreel_core::entry::ledger::Reply;
use medlarreel_entry::platform::grants::decode_reply;

/// Guards against taking an answer to a request, which an upstream has repeated on a kept
/// connection, for the reply to a grant or a release.
#[test]
fn answer_to_a_request_is_not_a_reply_to_an_order() {
    for name in ["attempt-id", "response-signature"] {
        let mut headers = HeaderMap::new();
        headers.insert(name, HeaderValue::from_static("a1"));
        for status in [StatusCode::OK, StatusCode::MISDIRECTED_REQUEST] {
            assert_eq!(decode_reply(status, &headers), None, "{name} {status}");
        }
    }
}

/// Guards against orders whose outcome is taken for another one.
#[test]
fn status_tells_the_outcome_of_an_order() {
    let decode = |status| decode_reply(status, &HeaderMap::new());

    assert_eq!(decode(StatusCode::OK), Some(Reply::Done { handover: None }));
    assert_eq!(decode(StatusCode::CONFLICT), Some(Reply::Fenced));
    assert_eq!(
        decode(StatusCode::MISDIRECTED_REQUEST),
        Some(Reply::Misdirected)
    );
    assert_eq!(decode(StatusCode::BAD_GATEWAY), Some(Reply::Unknown));
}
