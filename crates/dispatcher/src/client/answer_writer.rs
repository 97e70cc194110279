//! Writes HTTP responses to a client connection.

use super::http::ResponseHead;
use super::protocol::{Status, FAILED_BODY, REJECTED_BODY};
use super::request_error::RequestError;
use crate::counters::Counters;
use crate::guard::AnswerPermit;
use crate::net::write_all_vectored;
use crate::query_registry::{Answer, AnswerMemory};
use async_io::{Async, Timer};
use futures_lite::future;
use std::io;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Time within which a response must be written; otherwise the connection closes. Bounds how long a client that does
/// not read can hold its connection.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval at which a write that the client does not accept is checked. While memory for results is scarce, the
/// connection closes at the first check.
const STALLED_WRITE_CHECK: Duration = Duration::from_millis(250);

/// Writes the responses of one connection.
pub struct AnswerWriter<'a> {
    /// The connection.
    pub stream: &'a Async<TcpStream>,
    /// The program's counters.
    pub counters: &'a Counters,
    /// The memory of results that wait to be written.
    pub answer_memory: &'a AnswerMemory,
}

impl AnswerWriter<'_> {
    /// Writes the response for a query's answer.
    pub async fn answer(
        &self,
        permit: AnswerPermit,
        answer: Answer,
        keep_alive: bool,
    ) -> io::Result<()> {
        match answer {
            Answer::Completed(pages) => self.result(permit, &pages, keep_alive).await,
            Answer::Rejected { retry_after_ms } => {
                let retry_after_ms = retry_after_ms.max(0.0).ceil() as u64;
                let head = ResponseHead {
                    status: Status::TooManyRequests,
                    body_len: REJECTED_BODY.len(),
                    keep_alive,
                    retry_after_ms: Some(retry_after_ms),
                }
                .encode();
                self.write(permit, &[&head, REJECTED_BODY.as_bytes()]).await
            }
            Answer::Failed => {
                self.json(permit, Status::InternalServerError, FAILED_BODY, keep_alive)
                    .await
            }
        }
    }

    /// Writes a result as a JSON object whose `data` is one list with the rows of all pages. The pages are not copied
    /// into one buffer.
    async fn result(
        &self,
        permit: AnswerPermit,
        pages: &[Vec<u8>],
        keep_alive: bool,
    ) -> io::Result<()> {
        let mut body: Vec<&[u8]> = vec![b"{\"data\":["];
        for page in pages.iter().filter(|page| !page.is_empty()) {
            if body.len() > 1 {
                body.push(b",");
            }
            body.push(page);
        }
        body.push(b"]}");
        let body_len = body.iter().map(|part| part.len()).sum();
        let head = ResponseHead {
            status: Status::Ok,
            body_len,
            keep_alive,
            retry_after_ms: None,
        }
        .encode();
        body.insert(0, &head);
        self.write(permit, &body).await
    }

    /// Writes a response with a JSON body.
    pub async fn json(
        &self,
        permit: AnswerPermit,
        status: Status,
        body: &str,
        keep_alive: bool,
    ) -> io::Result<()> {
        let head = ResponseHead {
            status,
            body_len: body.len(),
            keep_alive,
            retry_after_ms: None,
        }
        .encode();
        self.write(permit, &[&head, body.as_bytes()]).await
    }

    /// Writes an error response. A 503 contains the time after which the client may retry, if `retry_after_ms` is set.
    pub async fn error(
        &self,
        permit: AnswerPermit,
        error: RequestError,
        retry_after_ms: Option<f64>,
        keep_alive: bool,
    ) -> io::Result<()> {
        let status = error.status();
        let message = error.to_string();
        self.counters.requests_rejected.increment();
        tracing::info!(
            status = status.code(),
            reason = message.as_str(),
            "request rejected"
        );
        let body = format!("{{\"error\":\"{message}\"}}");
        let retry_after_ms = retry_after_ms
            .filter(|_| status == Status::ServiceUnavailable)
            .map(|ms| ms.ceil() as u64);
        let head = ResponseHead {
            status,
            body_len: body.len(),
            keep_alive,
            retry_after_ms,
        }
        .encode();
        self.write(permit, &[&head, body.as_bytes()]).await
    }

    /// Writes a response. All responses are written here, and each consumes a permit.
    async fn write(&self, _permit: AnswerPermit, parts: &[&[u8]]) -> io::Result<()> {
        let timeout = async {
            self.wait_until_stalled().await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let written = future::or(write_all_vectored(self.stream, parts), timeout).await;
        if written.is_err() {
            self.counters.answer_write_failures.increment();
        }
        written
    }

    /// Waits until a write that began now has taken too long.
    async fn wait_until_stalled(&self) {
        let deadline = Instant::now() + WRITE_TIMEOUT;
        while Instant::now() < deadline {
            Timer::after(STALLED_WRITE_CHECK).await;
            if self.answer_memory.is_scarce() {
                return;
            }
        }
    }
}
