use super::*;

const POST: &[u8] = b"POST /invoke/report HTTP/1.1\r\nHost: backend.local\r\nreq-id: 9b1f03aa5c7e2d41\r\n\
    Req-Wait-Ms: 1500\r\nReq-Owner:acme\r\nReq-Cost: 820.0\r\nX-Need-Mb: 96\r\nContent-Length: 8\r\n\r\nSELECT 1";

#[test]
fn head_is_parsed_only_once_all_its_bytes_have_arrived() {
    let head_len = POST.len() - 8;
    for end in 0..head_len {
        assert_eq!(parse(&POST[..end]), Ok(None), "{end}");
    }
    let head = parse(&POST[..head_len]).unwrap().unwrap();
    assert_eq!(
        (head.method, head.path, head.head_len, head.body_len),
        ("POST", "/invoke/report", head_len, 8)
    );
    assert_eq!(
        (head.id, head.wait_ms, head.tenant),
        (Some("9b1f03aa5c7e2d41"), Some("1500"), Some("acme"))
    );
    assert_eq!(
        (head.cost_ms, head.memory_mb, head.keep_alive),
        (Some("820.0"), Some("96"), true)
    );
}

#[test]
fn malformed_and_oversized_heads_are_refused() {
    let long_head = [b"GET / HTTP/1.1\r\nA: ".as_slice(), &[b'x'; MAX_HEAD_BYTES]].concat();
    let many_fields = format!(
        "GET / HTTP/1.1\r\n{}\r\n",
        "A: b\r\n".repeat(MAX_FIELDS + 1)
    );
    let cases: [(&[u8], u16); 16] = [
        (&long_head, 431),
        (many_fields.as_bytes(), 431),
        (b"GET /\r\n\r\n", 400),
        (b"GET  / HTTP/1.1\r\n\r\n", 400),
        (b"GET x HTTP/1.1\r\n\r\n", 400),
        (b"GET / HTTP/2\r\n\r\n", 505),
        (b"GET / HTTP/1.1\r\nno colon\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nA : b\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
        (
            b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
            400,
        ),
        (b"POST / HTTP/1.1\r\nContent-Length: 999999999\r\n\r\n", 413),
        (
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
            501,
        ),
        (
            b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n",
            400,
        ),
        (
            b"POST / HTTP/1.1\r\nA: b\nTransfer-Encoding: chunked\r\n\r\n",
            400,
        ),
        (
            b"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: x\r\n\r\n",
            501,
        ),
        (b"POST / HTTP/1.1\r\nReq-Id: 1\r\nReq-Id: 2\r\n\r\n", 400),
    ];
    for (bytes, status) in cases {
        assert_eq!(
            parse(bytes).map_err(|error| error.status().code()),
            Err(status),
            "{}",
            String::from_utf8_lossy(bytes)
        );
    }
    assert_eq!(
        parse(b"\xff\xfe / HTTP/1.1\r\n\r\n").map_err(|error| error.status().code()),
        Err(400)
    );
}

#[test]
fn changing_any_single_byte_does_not_make_the_parser_panic() {
    for index in 0..POST.len() {
        for value in 0..=255 {
            let mut bytes = POST.to_vec();
            bytes[index] = value;
            if let Ok(Some(head)) = parse(&bytes) {
                assert!(head.head_len <= bytes.len());
            }
        }
    }
}

#[test]
fn response_head_has_length_retry_time_and_connection_close() {
    let head = ResponseHead {
        status: Status::TooManyRequests,
        body_len: 20,
        keep_alive: false,
        retry_after_ms: Some(250),
    };
    let head = String::from_utf8(head.encode()).unwrap();
    assert!(head.starts_with("HTTP/1.1 429 Too Many Requests\r\n") && head.ends_with("\r\n\r\n"));
    assert!(head.contains("Content-Length: 20\r\n") && head.contains("Srv-Wait-Ms: 250\r\n"));
    assert!(head.contains("Connection: close\r\n"));
}
