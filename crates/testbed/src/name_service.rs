//! A stand-in name service: answers the one question of dispatchers with the whole list of engines, in DNS records.

use crate::record::{EventKind, Record, Status};
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;

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
    /// Where it is asked.
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
                // What is no answer must be passed over.
                let _ = socket.send_to(b"no answer", from);
                let _ = socket.send_to(&bytes, from);
            }
        });
        NameService { address, list }
    }

    /// Changes an entry; one that is gone has no records any more.
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

    /// Whether questions go unanswered.
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

/// The answer to a question: SRV, SOA, and A and TXT for each engine that is there.
fn answer(asked: &[u8], list: &List) -> Vec<u8> {
    let mut bytes = asked.to_vec();
    bytes[2] |= 0x80;
    let there: Vec<&Endpoint> = list
        .engines
        .iter()
        .filter(|engine| engine.status != Status::Gone)
        .collect();
    let count = |n: usize| (n as u16).to_be_bytes();
    bytes[6..8].copy_from_slice(&count(there.len()));
    bytes[8..10].copy_from_slice(&count(1));
    bytes[10..12].copy_from_slice(&count(2 * there.len()));
    let mut record = |name: &[u8], kind: u8, data: &[u8]| {
        bytes.extend_from_slice(name);
        bytes.extend_from_slice(&[0, kind, 0, 1, 0, 0, 0, 1]);
        bytes.extend_from_slice(&(data.len() as u16).to_be_bytes());
        bytes.extend_from_slice(data);
    };
    let question = [0xc0, 12];
    let target = |engine: &Endpoint| name(&[&engine.id, &engine.zone, "hosts"]);
    for engine in &there {
        let priority = u16::from(engine.status == Status::Draining);
        let head = [
            priority.to_be_bytes(),
            10_u16.to_be_bytes(),
            engine.address.port().to_be_bytes(),
        ]
        .concat();
        record(&question, 33, &[head, target(engine)].concat());
    }
    let serial = list.serial.to_be_bytes();
    record(
        &question,
        6,
        &[&question, question.as_slice(), &serial, &[0; 16]].concat(),
    );
    for engine in &there {
        let SocketAddr::V4(address) = engine.address else {
            continue;
        };
        record(&target(engine), 1, &address.ip().octets());
        let texts = [
            format!("kind={}", engine.kind),
            format!("cell={}", engine.cell),
            format!("started={}", engine.started),
        ];
        let text = |text: &String| [&[text.len() as u8], text.as_bytes()].concat();
        record(
            &target(engine),
            16,
            &texts.iter().flat_map(text).collect::<Vec<u8>>(),
        );
    }
    bytes
}
