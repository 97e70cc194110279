use super::*;

#[test]
fn field_names_are_parsed_in_any_case_and_undefined_names_are_not() {
    for field in RequestField::ALL {
        let name = field.as_str();
        assert_eq!(RequestField::parse(name), Some(field));
        assert_eq!(RequestField::parse(&name.to_ascii_lowercase()), Some(field));
    }
    assert_eq!(RequestField::parse("Req-Ids"), None);
    assert_eq!(RequestField::parse("Content-Length"), None);
}

#[test]
fn status_codes_match_their_reason_phrases() {
    for (status, code, reason) in [
        (Status::Ok, 200, "OK"),
        (Status::BadRequest, 400, "Bad Request"),
        (Status::TooManyRequests, 429, "Too Many Requests"),
        (Status::ServiceUnavailable, 503, "Service Unavailable"),
    ] {
        assert_eq!((status.code(), status.reason_phrase()), (code, reason));
    }
}
