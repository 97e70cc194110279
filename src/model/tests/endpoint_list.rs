//! Requests for the endpoint list.

use super::START_MS;
use crate::model::EndpointListRequest;

#[test]
fn request_is_repeated_until_a_list_arrives() {
    let mut request = EndpointListRequest::new(true);
    assert!(request.begin_if_due(START_MS));
    assert!(!request.begin_if_due(START_MS + 1000.0), "too soon");
    assert!(request.begin_if_due(START_MS + 1001.0));
    request.record_success();
    assert!(!request.is_wanted());
    assert!(!request.begin_if_due(START_MS + 9000.0));
}

#[test]
fn pushed_list_is_requested_only_after_a_failure() {
    let mut request = EndpointListRequest::new(false);
    assert!(!request.begin_if_due(START_MS));
    request.record_failure(START_MS);
    assert!(request.is_wanted());
    assert!(!request.begin_if_due(START_MS + 1000.0));
    assert!(request.begin_if_due(START_MS + 1001.0));
}
