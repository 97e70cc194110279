//! The name service: asks over and over for the list of engines and tells what has changed.

use crate::dns::{self, Answer};
use crate::exchange::{Event, Exchange, Listed};
use async_io::{Async, Timer};
use futures_lite::{future, StreamExt};
use rustc_hash::FxHashMap;
use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;
use tansymux::interface::{EngineStatus, ListForm};

const SERVICE: &str = "_back._tcp.pool.lan";
const ASK_EVERY: Duration = Duration::from_millis(250);
const MOST_ANSWER: usize = 16 * 1024;
const MOST_ENGINES: usize = 1024;
/// Answers to this many of the last queries still count.
const QUERIES_OPEN: u16 = 20;

/// Engines by their ids: every dispatcher gives an engine the same number, drawn from its id alone.
#[derive(Debug, Default)]
pub struct Directory {
    nodes: FxHashMap<String, u64>,
    taken: FxHashMap<u64, ()>,
    /// The list as last told.
    engines: FxHashMap<u64, Listed>,
    /// The number of the last event that is known.
    pub last: u32,
}

impl Directory {
    /// The number of an engine: that of its id, the next free one where two ids fall together.
    pub fn node(&mut self, id: &str) -> u64 {
        if let Some(&node) = self.nodes.get(id) {
            return node;
        }
        let mut node = u64::from(tansymux_operator::number_of(id));
        while self.taken.insert(node, ()).is_some() {
            node = (node + 1) & 0xffff_ffff;
        }
        self.nodes.insert(id.to_owned(), node);
        node
    }

    pub fn keep(&mut self, engine: Listed) {
        self.engines.insert(engine.node, engine);
    }

    /// All engines that are known, in the order of their numbers.
    pub fn all(&self) -> Vec<Listed> {
        let mut all: Vec<Listed> = self.engines.values().cloned().collect();
        all.sort_by_key(|engine| engine.node);
        all
    }

    /// Takes in an answer; the whole list if it tells of events that are not known yet. An engine that has no
    /// records any more is gone.
    pub fn take(&mut self, answer: &Answer) -> Option<Vec<Listed>> {
        let serial = answer.serial.filter(|&serial| serial > self.last)?;
        if answer.srv.len() > MOST_ENGINES {
            tracing::warn!("the list of engines is too long");
            return None;
        }
        let mut listed = Vec::new();
        for srv in &answer.srv {
            let mut labels = srv.target.split('.');
            let (Some(id), Some(hall)) = (labels.next(), labels.next()) else { continue };
            let address = answer.addresses.iter().find(|(name, _)| *name == srv.target).map(|(_, ip)| *ip);
            let texts = answer.texts.iter().find(|(name, _)| *name == srv.target);
            let text = |name: &str| {
                let texts = texts.map_or([].as_slice(), |(_, texts)| texts);
                texts.iter().find_map(|text| text.split_once('=').filter(|(n, _)| *n == name)).map(|(_, v)| v)
            };
            let node = self.node(id);
            let before = self.engines.get(&node);
            let kind = text("kind").or(before.map(|b| b.kind.as_str())).unwrap_or("").to_owned();
            listed.push(Listed {
                node,
                address: address
                    .map(|ip: Ipv4Addr| SocketAddr::from((ip, srv.port)))
                    .or(before.and_then(|b| b.address)),
                kind,
                hall: hall.to_owned(),
                cell: text("cell").and_then(|cell| cell.parse().ok()).unwrap_or(0),
                status: if srv.priority == 0 { EngineStatus::Ready } else { EngineStatus::Draining },
                started: text("started").and_then(|ms| ms.parse().ok()).filter(|ms| *ms > 0.0),
            });
        }
        self.last = serial;
        let known = std::mem::take(&mut self.engines);
        for engine in &listed {
            self.engines.insert(engine.node, engine.clone());
        }
        let gone = known.into_values().filter(|engine| !self.engines.contains_key(&engine.node));
        let mut gone: Vec<Listed> = gone.map(|e| Listed { status: EngineStatus::Gone, ..e }).collect();
        gone.sort_by_key(|engine| engine.node);
        // Ids of engines that are gone are forgotten; one that comes back gets the same number by its id.
        let engines = &self.engines;
        self.nodes.retain(|_, node| engines.contains_key(node));
        self.taken.retain(|node, _| engines.contains_key(node));
        listed.append(&mut gone);
        Some(listed)
    }
}

/// Asks and listens until dropped. `resolver` may come to name another address at any time: what is known stays
/// known, the next question goes there, and what still comes from the old one is passed over.
pub async fn follow(
    exchange: Rc<Exchange>, resolver: Rc<Cell<Option<SocketAddr>>>, mut directory: Directory, first_id: u16,
) {
    let unspecified = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
    let socket = match Async::<UdpSocket>::bind(unspecified) {
        Ok(socket) => socket,
        Err(e) => return tracing::error!(error = %e, "no socket for the name service"),
    };
    let id = Cell::new(first_id);
    let ask = async {
        let mut times = Timer::interval_at(std::time::Instant::now(), ASK_EVERY);
        while times.next().await.is_some() {
            let Some(resolver) = resolver.get() else { continue };
            id.set(id.get().wrapping_add(1));
            exchange.counters.lookups.add();
            if let Err(e) = socket.send_to(&dns::query(id.get(), SERVICE, dns::SRV), resolver).await {
                tracing::warn!(error = %e, "the name service could not be asked");
            }
        }
    };
    let listen = async {
        let mut bytes = vec![0; MOST_ANSWER];
        loop {
            let (count, from) = match socket.recv_from(&mut bytes).await {
                Ok(got) => got,
                Err(e) => {
                    tracing::warn!(error = %e, "the name service could not be heard");
                    Timer::after(ASK_EVERY).await;
                    continue;
                }
            };
            let answer = dns::parse(&bytes[..count]);
            let ours = |answer: &Answer| {
                Some(from) == resolver.get() && id.get().wrapping_sub(answer.id) < QUERIES_OPEN
            };
            let Some(answer) = answer.filter(ours) else {
                tracing::warn!(bytes = count, %from, "an answer of the name service could not be used");
                continue;
            };
            if let Some(engines) = directory.take(&answer) {
                exchange.counters.lists.add();
                exchange.happened(Event::List { form: ListForm::Full, engines });
            }
        }
    };
    future::or(ask, listen).await;
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_engine_without_records_is_gone_and_an_old_list_is_passed_over() {
        let mut directory = Directory { last: 3, ..Directory::default() };
        let answer = |serial, priority| dns::parse(&dns::tests::answer(1, serial, priority)).unwrap();
        assert_eq!(directory.take(&answer(3, 0)), None);
        let old = directory.node("s-old");
        directory.keep(Listed {
            node: old,
            address: None,
            kind: "std".into(),
            hall: "east".into(),
            cell: 1,
            status: EngineStatus::Ready,
            started: None,
        });
        let listed = directory.take(&answer(4, 1)).unwrap();
        let told: Vec<_> =
            listed.iter().map(|e| (e.node == old, e.status, e.kind.as_str(), e.cell)).collect();
        assert_eq!(told, [(false, EngineStatus::Draining, "std", 2), (true, EngineStatus::Gone, "std", 1)]);
        assert_eq!(listed[0].address, Some(SocketAddr::from(([10, 1, 0, 9], 10080))));
        assert_eq!(directory.take(&answer(4, 0)), None);
        assert_eq!((directory.nodes.len(), directory.taken.len(), directory.node("s-old")), (1, 1, old));
    }

    #[test]
    fn an_engine_keeps_its_number_and_two_never_share_one() {
        let mut directory = Directory::default();
        let node = directory.node("s-341e1dd2");
        assert_eq!((directory.node("s-341e1dd2"), Directory::default().node("s-341e1dd2")), (node, node));
        let mut taken = Directory::default();
        taken.taken.insert(node, ());
        assert_eq!(taken.node("s-341e1dd2"), (node + 1) & 0xffff_ffff);
    }
}
