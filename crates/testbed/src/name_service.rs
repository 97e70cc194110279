//! A stand-in name service: answers the dispatchers' DNS requests with the records of all listed engines.

use crate::record::{EventKind, Record, Status};
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;

/// DNS compression pointer to the name in the question, which follows the header of 12 bytes.
const QUESTION_NAME: [u8; 2] = [0xc0, 12];
/// DNS record type A.
const TYPE_A: u8 = 1;
/// DNS record type SOA.
const TYPE_SOA: u8 = 6;
/// DNS record type TXT.
const TYPE_TXT: u8 = 16;
/// DNS record type SRV.
const TYPE_SRV: u8 = 33;
/// The weight of all SRV records.
const SRV_WEIGHT: u16 = 10;

/// An engine's entry in the endpoint list.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Engine id.
    pub id: String,
    /// Zone of the engine.
    pub zone: String,
    /// Machine type.
    pub kind: String,
    /// Cell of the engine.
    pub cell: u32,
    /// Address on which the engine listens.
    pub address: SocketAddr,
    /// Ready, draining or gone.
    pub status: Status,
    /// The engine's start time (Unix ms); 0 if it is unknown.
    pub started_ms: f64,
}

#[derive(Debug, Default)]
struct List {
    engines: Vec<Endpoint>,
    serial: u32,
    silent: bool,
    /// Changed entries that no answer has announced yet.
    unannounced: Vec<Endpoint>,
}

/// A running name service; it runs until the process exits.
#[derive(Debug, Clone)]
pub struct NameService {
    /// Address on which it receives requests.
    pub address: SocketAddr,
    list: Arc<Mutex<List>>,
}

impl NameService {
    /// Starts a name service on the loopback. Records each initial entry now, and each later change when an answer
    /// first announces it.
    ///
    /// # Panics
    /// The loopback has no free port.
    pub fn start(engines: Vec<Endpoint>, record: Arc<Record>) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("loopback has a free port");
        let address = socket.local_addr().expect("a bound socket has an address");
        engines
            .iter()
            .for_each(|engine| record.push(listed_event(engine)));
        let list = Arc::new(Mutex::new(List {
            engines,
            serial: 1,
            ..List::default()
        }));
        let shared = list.clone();
        thread::spawn(move || {
            let mut request = [0; 512];
            while let Ok((length, from)) = socket.recv_from(&mut request) {
                let mut list = shared.lock().expect("the lock is not poisoned");
                if list.silent || length < 12 {
                    continue;
                }
                let answer = encode_answer(&request[..length], &list);
                let unannounced = std::mem::take(&mut list.unannounced);
                drop(list);
                unannounced
                    .iter()
                    .for_each(|engine| record.push(listed_event(engine)));
                // Dispatchers must ignore a datagram that is not an answer.
                let _ = socket.send_to(b"no answer", from);
                let _ = socket.send_to(&answer, from);
            }
        });
        NameService { address, list }
    }

    /// Changes an engine's status. Answers have no records of an engine that is gone.
    pub fn set_status(&self, id: &str, status: Status) {
        self.change(id, |engine| engine.status = status);
    }

    /// Changes the entry of an engine, if it has one.
    pub fn change(&self, id: &str, change: impl FnOnce(&mut Endpoint)) {
        let mut list = self.list.lock().expect("the lock is not poisoned");
        if let Some(index) = list.engines.iter().position(|engine| engine.id == id) {
            change(&mut list.engines[index]);
            let engine = list.engines[index].clone();
            list.unannounced.push(engine);
            list.serial += 1;
        }
    }

    /// Adds an entry, replacing any entry of the same engine.
    pub fn add(&self, engine: Endpoint) {
        let mut list = self.list.lock().expect("the lock is not poisoned");
        list.engines.retain(|other| other.id != engine.id);
        list.engines.push(engine.clone());
        list.unannounced.push(engine);
        list.serial += 1;
    }

    /// Sets whether requests remain unanswered.
    pub fn set_silent(&self, silent: bool) {
        self.list.lock().expect("the lock is not poisoned").silent = silent;
    }
}

fn listed_event(engine: &Endpoint) -> EventKind {
    EventKind::Listed {
        engine: engine.id.clone(),
        status: engine.status,
        zone: engine.zone.clone(),
        kind: engine.kind.clone(),
        cell: engine.cell,
    }
}

fn encode_name(labels: &[&str]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for label in labels {
        bytes.push(label.len() as u8);
        bytes.extend_from_slice(label.as_bytes());
    }
    bytes.push(0);
    bytes
}

/// Encodes the answer to a request: an SOA record, and SRV, A and TXT records for each engine that is not gone.
fn encode_answer(request: &[u8], list: &List) -> Vec<u8> {
    let mut bytes = request.to_vec();
    bytes[2] |= 0x80;
    let listed: Vec<&Endpoint> = list
        .engines
        .iter()
        .filter(|engine| engine.status != Status::Gone)
        .collect();
    let count = |records: usize| (records as u16).to_be_bytes();
    bytes[6..8].copy_from_slice(&count(listed.len()));
    bytes[8..10].copy_from_slice(&count(1));
    bytes[10..12].copy_from_slice(&count(2 * listed.len()));
    for engine in &listed {
        append_record(&mut bytes, &QUESTION_NAME, TYPE_SRV, &srv_data(engine));
    }
    let soa = soa_data(list.serial);
    append_record(&mut bytes, &QUESTION_NAME, TYPE_SOA, &soa);
    for engine in &listed {
        let SocketAddr::V4(address) = engine.address else {
            continue;
        };
        let target = target_name(engine);
        append_record(&mut bytes, &target, TYPE_A, &address.ip().octets());
        append_record(&mut bytes, &target, TYPE_TXT, &txt_data(engine));
    }
    bytes
}

/// Appends a record of class IN with a TTL of one second.
fn append_record(bytes: &mut Vec<u8>, name: &[u8], record_type: u8, data: &[u8]) {
    bytes.extend_from_slice(name);
    bytes.extend_from_slice(&[0, record_type, 0, 1, 0, 0, 0, 1]);
    bytes.extend_from_slice(&(data.len() as u16).to_be_bytes());
    bytes.extend_from_slice(data);
}

/// Encodes the host name of an engine.
fn target_name(engine: &Endpoint) -> Vec<u8> {
    encode_name(&[&engine.id, &engine.zone, "hosts"])
}

/// Encodes the data of an engine's SRV record; a draining engine has the lower priority.
fn srv_data(engine: &Endpoint) -> Vec<u8> {
    let priority = u16::from(engine.status == Status::Draining);
    let numbers = [
        priority.to_be_bytes(),
        SRV_WEIGHT.to_be_bytes(),
        engine.address.port().to_be_bytes(),
    ];
    [numbers.concat(), target_name(engine)].concat()
}

/// Encodes the data of the SOA record with a serial number; the other numbers are 0.
fn soa_data(serial: u32) -> Vec<u8> {
    [
        QUESTION_NAME.as_slice(),
        &QUESTION_NAME,
        &serial.to_be_bytes(),
        &[0; 16],
    ]
    .concat()
}

/// Encodes the data of an engine's TXT record.
fn txt_data(engine: &Endpoint) -> Vec<u8> {
    let texts = [
        format!("kind={}", engine.kind),
        format!("cell={}", engine.cell),
        format!("started={}", engine.started_ms),
    ];
    let with_length = |text: &String| [&[text.len() as u8], text.as_bytes()].concat();
    texts.iter().flat_map(with_length).collect()
}
