//! A stand-in name service: answers dispatchers' questions with the complete list of engines, in DNS records.

use crate::record::{EventKind, Record, Status};
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;

/// A pointer to the name in the question, as a record's name.
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

/// An engine as it is listed.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// The engine.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// Its kind of machine.
    pub kind: String,
    /// Its cell.
    pub cell: u32,
    /// Where it listens.
    pub address: SocketAddr,
    /// Ready, draining or gone.
    pub status: Status,
    /// Unix milliseconds of a late start.
    pub started: f64,
}

#[derive(Debug, Default)]
struct List {
    engines: Vec<Endpoint>,
    serial: u32,
    silent: bool,
    /// Entries that were changed and that no answer has announced yet.
    unannounced: Vec<Endpoint>,
}

/// A name service, until the process ends.
#[derive(Debug, Clone)]
pub struct NameService {
    /// The address at which it receives questions.
    pub address: SocketAddr,
    list: Arc<Mutex<List>>,
}

impl NameService {
    /// Starts on the loopback. `record` gets an entry when an answer first announces a change.
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
            let mut asked = [0; 512];
            while let Ok((count, from)) = socket.recv_from(&mut asked) {
                let mut list = shared.lock().expect("no holder panics");
                if list.silent || count < 12 {
                    continue;
                }
                let bytes = answer(&asked[..count], &list);
                let unannounced = std::mem::take(&mut list.unannounced);
                drop(list);
                unannounced
                    .iter()
                    .for_each(|engine| record.push(listed_event(engine)));
                // Dispatchers must ignore a datagram that is no answer.
                let _ = socket.send_to(b"no answer", from);
                let _ = socket.send_to(&bytes, from);
            }
        });
        NameService { address, list }
    }

    /// Changes an engine's status; an engine that is gone has no records any more.
    pub fn set(&self, id: &str, status: Status) {
        self.change(id, |engine| engine.status = status);
    }

    /// Changes an entry.
    pub fn change(&self, id: &str, change: impl FnOnce(&mut Endpoint)) {
        let mut list = self.list.lock().expect("no holder panics");
        if let Some(index) = list.engines.iter().position(|engine| engine.id == id) {
            change(&mut list.engines[index]);
            let engine = list.engines[index].clone();
            list.unannounced.push(engine);
            list.serial += 1;
        }
    }

    /// Adds an entry, or replaces the one of the same engine.
    pub fn add(&self, engine: Endpoint) {
        let mut list = self.list.lock().expect("no holder panics");
        list.engines.retain(|other| other.id != engine.id);
        list.engines.push(engine.clone());
        list.unannounced.push(engine);
        list.serial += 1;
    }

    /// Sets whether questions remain unanswered.
    pub fn silent(&self, silent: bool) {
        self.list.lock().expect("no holder panics").silent = silent;
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

fn name(labels: &[&str]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for label in labels {
        bytes.push(label.len() as u8);
        bytes.extend_from_slice(label.as_bytes());
    }
    bytes.push(0);
    bytes
}

/// The answer to a question: SRV, SOA, and A and TXT records for each engine that is not gone.
fn answer(asked: &[u8], list: &List) -> Vec<u8> {
    let mut bytes = asked.to_vec();
    bytes[2] |= 0x80;
    let there: Vec<&Endpoint> = list
        .engines
        .iter()
        .filter(|engine| engine.status != Status::Gone)
        .collect();
    let count = |records: usize| (records as u16).to_be_bytes();
    bytes[6..8].copy_from_slice(&count(there.len()));
    bytes[8..10].copy_from_slice(&count(1));
    bytes[10..12].copy_from_slice(&count(2 * there.len()));
    for engine in &there {
        append_record(&mut bytes, &QUESTION_NAME, TYPE_SRV, &srv_data(engine));
    }
    let soa = soa_data(list.serial);
    append_record(&mut bytes, &QUESTION_NAME, TYPE_SOA, &soa);
    for engine in &there {
        let SocketAddr::V4(address) = engine.address else {
            continue;
        };
        let target = target_name(engine);
        append_record(&mut bytes, &target, TYPE_A, &address.ip().octets());
        append_record(&mut bytes, &target, TYPE_TXT, &txt_data(engine));
    }
    bytes
}

/// Appends a record of class IN that may be cached for a second.
fn append_record(bytes: &mut Vec<u8>, name: &[u8], record_type: u8, data: &[u8]) {
    bytes.extend_from_slice(name);
    bytes.extend_from_slice(&[0, record_type, 0, 1, 0, 0, 0, 1]);
    bytes.extend_from_slice(&(data.len() as u16).to_be_bytes());
    bytes.extend_from_slice(data);
}

/// The name of an engine's host.
fn target_name(engine: &Endpoint) -> Vec<u8> {
    name(&[&engine.id, &engine.zone, "hosts"])
}

/// The data of an engine's SRV record; an engine that drains has the lower priority.
fn srv_data(engine: &Endpoint) -> Vec<u8> {
    let priority = u16::from(engine.status == Status::Draining);
    let numbers = [
        priority.to_be_bytes(),
        SRV_WEIGHT.to_be_bytes(),
        engine.address.port().to_be_bytes(),
    ];
    [numbers.concat(), target_name(engine)].concat()
}

/// The data of the SOA record with a serial number; the other numbers are 0.
fn soa_data(serial: u32) -> Vec<u8> {
    [
        QUESTION_NAME.as_slice(),
        &QUESTION_NAME,
        &serial.to_be_bytes(),
        &[0; 16],
    ]
    .concat()
}

/// The data of an engine's TXT record.
fn txt_data(engine: &Endpoint) -> Vec<u8> {
    let texts = [
        format!("kind={}", engine.kind),
        format!("cell={}", engine.cell),
        format!("started={}", engine.started),
    ];
    let with_length = |text: &String| [&[text.len() as u8], text.as_bytes()].concat();
    texts.iter().flat_map(with_length).collect()
}
