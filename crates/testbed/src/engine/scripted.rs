//! Scripted engines, and a listener that accepts no connections.

use super::protocol::{Reply, Request, ONE_PAGE};
use crate::wire::{read_frame, write_frame};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{Duration, Instant};

/// The fields of a received frame, and the time of its receipt.
pub type ReceivedFrame = (Vec<String>, Instant);

/// Starts an engine that passes each received frame to `handler`, which writes the answer. Returns its address and a
/// channel with the received frames.
///
/// # Panics
/// The loopback has no free port.
pub fn start_scripted_engine(
    handler: impl Fn(&[String], &mut TcpStream) + Send + Clone + 'static,
) -> (SocketAddr, Receiver<ReceivedFrame>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let address = listener
        .local_addr()
        .expect("a bound socket has an address");
    let (sender, receiver) = channel();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let sender = sender.clone();
            let handler = handler.clone();
            thread::spawn(move || {
                let Ok(reader) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(reader);
                let mut writer = stream;
                while let Some(fields) = read_frame(&mut reader) {
                    let _ = sender.send((fields.clone(), Instant::now()));
                    handler(&fields, &mut writer);
                }
            });
        }
    });
    (address, receiver)
}

/// Writes the reply of a completed query with one row.
pub fn write_result(to: &mut TcpStream, query_id: &str) {
    write_result_of(to, query_id, "a\tb\tc\n");
}

/// Writes the reply of a completed query with these rows.
pub fn write_result_of(to: &mut TcpStream, query_id: &str, rows: &str) {
    write_frame(to, &[query_id, Reply::Done.as_str(), ONE_PAGE, rows]);
}

/// Starts an engine that completes each query after `delay`. Returns its address and a channel with the received
/// frames.
///
/// # Panics
/// The loopback has no free port.
pub fn start_delayed_engine(delay: Duration) -> (SocketAddr, Receiver<ReceivedFrame>) {
    start_scripted_engine(move |fields, to| {
        let Ok(mut to) = to.try_clone() else {
            return;
        };
        if Request::parse(&fields[0]) == Request::Fetch {
            let query_id = fields[1].clone();
            thread::spawn(move || {
                thread::sleep(delay);
                write_result(&mut to, &query_id);
            });
        }
    })
}

/// Makes a listener unreachable, as on a machine that vanished, by setting its backlog to the minimum and filling it.
/// No further connection is established while the returned streams are held and the listener accepts none of them.
///
/// # Panics
/// The listener has no address or can't listen.
pub fn fill_accept_backlog(listener: &TcpListener) -> Vec<TcpStream> {
    let address = listener
        .local_addr()
        .expect("a bound socket has an address");
    socket2::SockRef::from(listener)
        .listen(0)
        .expect("a listener listens");
    let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(50)).ok();
    std::iter::from_fn(connect).collect()
}
