//! Stand-in clients: each sends one query on its own connection and records the outcome.

use crate::program::TIMEOUT;
use crate::record::{EventKind, Record};
use crate::wire::{field, read_response, HttpResponse, RETRY_AFTER_FIELD};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

/// Added to a client's maximum wait to give the read timeout of its connection.
const ANSWER_GRACE: Duration = Duration::from_secs(2);

/// A query of a stand-in client.
#[derive(Debug, Clone)]
pub struct ClientQuery {
    /// Query id, sent as 16 hex digits.
    pub id: u64,
    /// The request path, for example `/invoke/look`.
    pub path: String,
    /// Class under which the query is recorded.
    pub class: String,
    /// The statement.
    pub statement: String,
    /// Maximum time that the client waits for an answer (ms).
    pub max_wait_ms: f64,
    /// The tenant.
    pub tenant: String,
    /// The declared cost (ms on one core).
    pub cost: Option<f64>,
    /// The declared memory need (MB).
    pub memory: Option<f64>,
}

impl ClientQuery {
    /// A query of the tenant `acme`, with no declared cost or memory need.
    pub fn new(id: u64, path: &str, class: &str, statement: &str, max_wait_ms: f64) -> Self {
        ClientQuery {
            id,
            path: path.to_owned(),
            class: class.to_owned(),
            statement: statement.to_owned(),
            max_wait_ms,
            tenant: "acme".into(),
            cost: None,
            memory: None,
        }
    }

    /// The id as 16 hex digits.
    pub fn id(&self) -> String {
        format!("{:016x}", self.id)
    }

    /// The encoded HTTP request.
    pub fn bytes(&self) -> Vec<u8> {
        let mut head = format!(
            "POST {} HTTP/1.1\r\nHost: b\r\nReq-Id: {}\r\nReq-Wait-Ms: {}\r\nReq-Owner: {}\r\n",
            self.path,
            self.id(),
            self.max_wait_ms,
            self.tenant
        );
        if let Some(cost) = self.cost {
            head += &format!("Req-Cost: {cost:.3}\r\n");
        }
        if let Some(memory) = self.memory {
            head += &format!("X-Need-Mb: {memory:.3}\r\n");
        }
        head += &format!("Content-Length: {}\r\n\r\n", self.statement.len());
        [head.as_bytes(), self.statement.as_bytes()].concat()
    }
}

/// A response received by a client.
#[derive(Debug, Clone, PartialEq)]
pub struct ClientResponse {
    /// The HTTP status.
    pub status: u16,
    /// Time after which the client may retry a rejected query (ms).
    pub retry_after_ms: Option<f64>,
    /// The response body.
    pub body: String,
    /// Time from just before the query is written until the answer is complete (ms).
    pub latency_ms: f64,
}

/// Sends a query and waits for its answer. Returns none if the connection failed, closed or timed out before the answer
/// was complete.
pub fn send_query(to: SocketAddr, query: &ClientQuery, record: &Record) -> Option<ClientResponse> {
    let mut stream = TcpStream::connect(to).ok()?;
    stream.set_nodelay(true).ok()?;
    stream
        .set_read_timeout(Some(
            Duration::from_secs_f64(query.max_wait_ms / 1000.0) + ANSWER_GRACE,
        ))
        .ok()?;
    let sent_ms = record.now_ms();
    let id = query.id();
    record.push_at(
        sent_ms,
        EventKind::Asked {
            id: id.clone(),
            class: query.class.clone(),
            max_wait_ms: query.max_wait_ms,
            key: None,
        },
    );
    stream.write_all(&query.bytes()).ok()?;
    let HttpResponse { status, head, body } = read_response(&mut BufReader::new(stream))?;
    let retry_after_ms = field(&head, RETRY_AFTER_FIELD).and_then(|ms| ms.parse().ok());
    record.push(EventKind::Answered {
        id,
        status,
        retry_after_ms,
    });
    Some(ClientResponse {
        status,
        retry_after_ms,
        body,
        latency_ms: record.now_ms() - sent_ms,
    })
}

/// Sends the first `first_len` bytes of a query and, after a pause, the rest. Returns the connection, on which the
/// answer will arrive.
pub fn send_query_in_two_writes(
    to: SocketAddr,
    query: &ClientQuery,
    first_len: usize,
    pause: Duration,
) -> TcpStream {
    let mut stream = TcpStream::connect(to).expect("the program listens");
    stream
        .set_read_timeout(Some(TIMEOUT))
        .expect("a socket takes a timeout");
    let bytes = query.bytes();
    let (first, second) = bytes.split_at(first_len.min(bytes.len()));
    stream.write_all(first).expect("the program reads");
    thread::sleep(pause);
    stream.write_all(second).expect("the program reads");
    stream
}
