use super::*;

fn encoded(command: &Command) -> String {
    String::from_utf8(command.encode()).unwrap()
}

fn parse(elements: &[&[u8]]) -> Result<String, ProtocolError> {
    let mut bytes = Vec::new();
    resp::write(&mut bytes, elements, None);
    let frame = resp::parse(&bytes).unwrap().unwrap();
    EngineReply::parse(&frame).map(|reply| format!("{reply:?}"))
}

#[test]
fn commands_are_encoded_as_resp_arrays() {
    for (command, bytes) in [
        (
            Command::RequestPage { id: "i1", page: 2 },
            "*3\r\n$4\r\nmore\r\n$2\r\ni1\r\n$1\r\n2\r\n",
        ),
        (
            Command::ReleaseResult { id: "i1" },
            "*2\r\n$4\r\ndone\r\n$2\r\ni1\r\n",
        ),
        (
            Command::Abort { id: "i1" },
            "*2\r\n$5\r\nabort\r\n$2\r\ni1\r\n",
        ),
        (
            Command::SetPriority {
                id: "i1",
                priority: 7,
            },
            "*3\r\n$6\r\nrenice\r\n$2\r\ni1\r\n$1\r\n7\r\n",
        ),
        (
            Command::CheckHealth { tag: "t1" },
            "*2\r\n$5\r\nalive\r\n$2\r\nt1\r\n",
        ),
    ] {
        assert_eq!(encoded(&command), bytes);
    }
}

#[test]
fn known_reply_types_are_parsed_and_unknown_ones_are_errors() {
    for (elements, reply) in [
        (
            [b"i1".as_slice(), b"DONE", b"batches=3", b"rows"],
            EngineReply::FirstPage {
                page_count: Some(3),
                rows: b"rows",
            },
        ),
        (
            [b"i1", b"MORE", b"batch=1", b"rows"],
            EngineReply::NumberedPage {
                page_number: Some(1),
                rows: b"rows",
            },
        ),
        (
            [b"i1", b"MORE", b"-", b""],
            EngineReply::NumberedPage {
                page_number: None,
                rows: b"",
            },
        ),
        (
            [b"i1", b"TELL", b"tell=parked,num=2", b""],
            EngineReply::Progress(Some(ProgressNote {
                kind: NoteKind::Waiting,
                amount: 2.0,
            })),
        ),
        (
            [b"i1", b"TELL", b"tell=other,num=2", b""],
            EngineReply::Progress(None),
        ),
        ([b"i1", b"WAIT", b"-", b""], EngineReply::Full),
        ([b"i1", b"PAST", b"-", b""], EngineReply::DeadlinePassed),
        ([b"i1", b"BROKE", b"-", b""], EngineReply::Failed),
    ] {
        assert_eq!(parse(&elements), Ok(format!("{reply:?}")));
    }
    let unknown = parse(&[b"i1", b"done", b"-", b""]);
    assert_eq!(unknown, Err(ProtocolError::UnknownReply));
}

#[test]
fn request_head_has_the_time_limit_after_the_resource_group() {
    let fields = RequestFields {
        before_limit: "cls=look".to_owned(),
        after_limit: ",nonce=ab,nice=3".to_owned(),
    };
    let mut head = Vec::new();
    fields.encode_head(&mut head, "i1", 85, 8);
    assert_eq!(
        String::from_utf8(head).unwrap(),
        "*4\r\n$5\r\nfetch\r\n$2\r\ni1\r\n$33\r\ncls=look,limit=85,nonce=ab,nice=3\r\n$8\r\n"
    );
}
