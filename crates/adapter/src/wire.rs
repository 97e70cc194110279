//! Reads batches: gives each instance's lines to its own decisions as one round, events in order.

use crate::reply::Reply;
use base64::prelude::{Engine, BASE64_STANDARD};
use std::collections::BTreeMap;
use std::io::Write;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;
use std::str::SplitN;
use tansymux::control::{Control, EventSource};
use tansymux::events::{
    AttemptEnded, DecisionSink, EndpointListKind, EndpointState, EndpointUpdate, HealthCheckEnded,
    NoteKind, Outcome, PeerMessage, ProgressNote, QueryArrived, ResourceUsage, StatementTraits,
};
use tansymux::settings;

const CENSUS_SLOTS: usize = 16;
const EVENTS: [&str; 11] = [
    "enlist",
    "update",
    "inbound",
    "first",
    "ping_result",
    "vanished",
    "power_off",
    "status_note",
    "peer",
    "deadline_hit",
    "closed_attempt",
];

/// What is wrong with the input, and in which line of the batch (from 0).
#[derive(Debug)]
pub struct Wrong {
    pub line: usize,
    pub what: String,
}

/// One `census`: its entry lines as they came, and the line of the batch they start on.
struct Census {
    text: String,
    first_line: usize,
}

struct Event<'a> {
    line: usize,
    text: &'a str,
    census: Option<Rc<Census>>,
}

#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Control>,
    censuses: [Option<Rc<Census>>; CENSUS_SLOTS],
    order: Vec<u64>,
}

impl Host {
    /// Answers one batch (all lines but `end`) with the actions and the closing line.
    pub fn answer(&mut self, batch: &[u8], to: &mut Vec<u8>) -> Result<(), Wrong> {
        let text = std::str::from_utf8(batch).map_err(|_| Wrong {
            line: 0,
            what: "not UTF-8".into(),
        })?;
        let mut lines = text.lines().enumerate();
        let now = match lines
            .next()
            .map(|(_, l)| l.split_once(' ').unwrap_or((l, "")))
        {
            Some(("batch", clock)) => {
                millis(parse(clock, "clock").map_err(|what| Wrong { line: 0, what })?)
            }
            other => {
                return Err(Wrong {
                    line: 0,
                    what: format!("a batch was expected, not {other:?}"),
                })
            }
        };
        let mut events: BTreeMap<u64, Vec<Event>> = BTreeMap::new();
        self.order.clear();
        while let Some((line, text)) = lines.next() {
            let wrong = |what| Wrong { line, what };
            let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
            if word == "census" {
                let mut fields = Fields::of(rest, 2);
                let slot: usize = fields.number("slot").map_err(wrong)?;
                let count: usize = fields.number("entries").map_err(wrong)?;
                fields.end().map_err(wrong)?;
                if slot >= CENSUS_SLOTS {
                    return Err(wrong(format!(
                        "census slot {slot} is above {}",
                        CENSUS_SLOTS - 1
                    )));
                }
                let mut entries = String::new();
                for _ in 0..count {
                    match lines.next() {
                        Some((_, entry)) if entry.starts_with("m ") => {
                            entries.push_str(entry);
                            entries.push('\n');
                        }
                        _ => return Err(wrong(format!("the census should hold {count} entries"))),
                    }
                }
                self.censuses[slot] = Some(Rc::new(Census {
                    text: entries,
                    first_line: line + 1,
                }));
                continue;
            }
            if !EVENTS.contains(&word) {
                return Err(wrong(format!("unknown event {word:?}")));
            }
            let dispatcher: u64 =
                parse(rest.split(' ').next().unwrap_or(""), "dispatcher").map_err(wrong)?;
            let census = match word {
                "update" => {
                    let mut fields = Fields::of(rest, 4);
                    let (_, form) = (
                        fields.next("dispatcher").map_err(wrong)?,
                        fields.next("form").map_err(wrong)?,
                    );
                    fields.next("rev").map_err(wrong)?;
                    if form == "X" {
                        None
                    } else {
                        let slot: usize = fields.number("slot").map_err(wrong)?;
                        let held = self.censuses.get(slot).and_then(Clone::clone);
                        Some(held.ok_or_else(|| wrong(format!("no census has slot {slot}")))?)
                    }
                }
                _ => None,
            };
            if !events.contains_key(&dispatcher) {
                self.order.push(dispatcher);
            }
            events
                .entry(dispatcher)
                .or_default()
                .push(Event { line, text, census });
        }
        for &dispatcher in &self.order {
            let mut reply = Reply { to, dispatcher };
            play(
                &mut self.instances,
                dispatcher,
                now,
                &events[&dispatcher],
                &mut reply,
            )?;
        }
        to.extend_from_slice(b"finished\n");
        Ok(())
    }
}

/// Plays one instance's events of a batch. What lies before its last stop concerns the dead one only.
fn play(
    instances: &mut BTreeMap<u64, Control>,
    dispatcher: u64,
    now: f64,
    events: &[Event],
    reply: &mut Reply,
) -> Result<(), Wrong> {
    let mut events = events;
    if let Some(stop) = events
        .iter()
        .rposition(|e| first_word(e.text) == "power_off")
    {
        instances.remove(&dispatcher);
        events = &events[stop + 1..];
    }
    if let Some(start) = events.iter().rposition(|e| first_word(e.text) == "enlist") {
        let wrong = |what| Wrong {
            line: events[start].line,
            what,
        };
        let rest = events[start]
            .text
            .split_once(' ')
            .map_or("", |(_, rest)| rest);
        let mut fields = Fields::of(rest, 3);
        fields.next("dispatcher").map_err(wrong)?;
        let seed = fields.number("nonce64").map_err(wrong)?;
        let told = settings::parse_pairs(fields.next("profile-data").map_err(wrong)?)
            .map_err(|error| wrong(error.to_string()))?;
        instances.insert(
            dispatcher,
            Control::new(seed, &told).map_err(|error| wrong(error.to_string()))?,
        );
        events = &events[start + 1..];
    }
    if events.is_empty() {
        return Ok(());
    }
    let Some(control) = instances.get_mut(&dispatcher) else {
        return Err(Wrong {
            line: events[0].line,
            what: format!("dispatcher {dispatcher} is not enlisted"),
        });
    };
    let mut lines = Lines {
        events,
        wrong: None,
    };
    if catch_unwind(AssertUnwindSafe(|| {
        control.run_round(now, &mut lines, reply)
    }))
    .is_err()
    {
        let _ = writeln!(
            reply.to,
            "fault {dispatcher} the decisions panicked, see standard error"
        );
    }
    lines.wrong.map_or(Ok(()), Err)
}

fn first_word(line: &str) -> &str {
    line.split(' ').next().unwrap_or("")
}

struct Lines<'a> {
    events: &'a [Event<'a>],
    wrong: Option<Wrong>,
}

impl EventSource for Lines<'_> {
    fn deliver(&mut self, control: &mut Control, out: &mut dyn DecisionSink) {
        for event in self.events {
            if let Err(what) = hand_over(event, control, out) {
                self.wrong = Some(Wrong {
                    line: event.line,
                    what,
                });
                return;
            }
        }
    }
}

fn hand_over(
    event: &Event,
    control: &mut Control,
    out: &mut dyn DecisionSink,
) -> Result<(), String> {
    let (word, rest) = event.text.split_once(' ').unwrap_or((event.text, ""));
    let mut f = Fields::of(rest, 12);
    f.next("dispatcher")?;
    match word {
        "update" => {
            let form = match f.next("form")? {
                "D" => EndpointListKind::Delta,
                "F" => EndpointListKind::Snapshot,
                "C" => EndpointListKind::Cached,
                "X" => EndpointListKind::Failed,
                other => return Err(format!("unknown list form {other:?}")),
            };
            f.number::<u64>("rev")?;
            f.next("slot").ok();
            f.end()?;
            control.begin_update(form);
            if let Some(census) = &event.census {
                for (i, entry) in census.text.lines().enumerate() {
                    list_entry(entry, control).map_err(|what| {
                        format!(
                            "{what} (in the census entry on line {} of the batch)",
                            census.first_line + i + 1
                        )
                    })?;
                }
            }
            control.finish_update(form, out);
        }
        "inbound" => {
            let id = f.number("txn")?;
            let rg = f.next("cls")?;
            let tenant = f.optional("account")?.unwrap_or("");
            let key = match f.optional("object")? {
                Some(hex) => Some(
                    u64::from_str_radix(hex, 16)
                        .map_err(|_| format!("object {hex:?} is not a key"))?,
                ),
                None => None,
            };
            let due = millis(f.number("due-us")?);
            let cost = f
                .optional("plan-cost-us")?
                .map_or(Ok(0), |v| parse(v, "plan-cost-us"))?;
            let memory: f64 = f
                .optional("est-memory-mb")?
                .map_or(Ok(0.0), |v| parse(v, "est-memory-mb"))?;
            let tables: f64 = f
                .optional("tables")?
                .map_or(Ok(0.0), |v| parse(v, "tables"))?;
            let flags: u32 = f.optional("flags")?.map_or(Ok(0), |v| parse(v, "flags"))?;
            f.end()?;
            let cost = if flags & 1 == 1 { millis(cost) } else { 0.0 };
            let query = QueryArrived {
                query_id: id,
                group: rg,
                tenant,
                key,
                deadline_ms: due,
                estimated_cost_ms: cost,
                memory_mb: memory,
                tables: tables as u32,
                statement: StatementTraits::UNKNOWN,
            };
            control
                .on_query_arrived(&query, out)
                .map_err(|error| error.to_string())?;
        }
        "closed_attempt" => {
            let id = f.number("txn")?;
            let complete = f.flag("complete")?;
            let attempt = f.number("round-no")?;
            let bill: u64 = f.optional("bill")?.map_or(Ok(0), |v| parse(v, "bill"))?;
            let outcome = outcome(f.next("state-code")?)?;
            let engine_id = f.number("node")?;
            let latency = millis(f.number("latency-us")?);
            report(&mut f)?;
            let used = ResourceUsage {
                thread_ms: (bill >> 12) as f64,
                memory_mb: (bill & 4095) as f64 * 4.0,
            };
            let ended = AttemptEnded {
                query_id: id,
                attempt,
                engine_id,
                outcome,
                answer_delivered: complete,
                latency_ms: latency,
                used: Some(used),
            };
            control.on_attempt_ended(&ended, out);
        }
        "status_note" => {
            let id = f.number("txn")?;
            let amount = f.number("amount")?;
            let note = match f.number("sort")? {
                1 => NoteKind::Progress,
                2 => NoteKind::Spilling,
                3 => NoteKind::Waiting,
                other => return Err(format!("unknown sort of note {other}")),
            };
            let attempt = f.number("round-no")?;
            f.number::<u64>("node")?;
            f.end()?;
            control.on_progress_note(&ProgressNote {
                query_id: id,
                attempt,
                kind: note,
                amount,
            });
        }
        "ping_result" => {
            let outcome = outcome(f.next("state-code")?)?;
            let engine_id = f.number("node")?;
            f.number::<u64>("latency-us")?;
            report(&mut f)?;
            control.on_health_check_ended(&HealthCheckEnded { engine_id, outcome });
        }
        "vanished" => {
            let id = f.number("txn")?;
            f.end()?;
            control.on_client_gone(id, out);
        }
        "deadline_hit" => {
            // A timer only makes the round come.
            f.number::<u64>("handle")?;
            f.end()?;
        }
        // No streams here: an answer that has started says nothing that its end will not.
        "first" => {
            f.number::<u64>("txn")?;
        }
        "peer" => {
            let peer = f.number("origin-peer")?;
            let text = f.next("content")?;
            let content = if text == "-" {
                Ok(Vec::new())
            } else {
                BASE64_STANDARD.decode(text)
            };
            f.end()?;
            let content = content.map_err(|_| format!("content {text:?} is not base64"))?;
            control.on_peer_message(&PeerMessage {
                peer,
                content: &content,
            });
        }
        other => return Err(format!("unknown event {other:?}")),
    }
    Ok(())
}

fn list_entry(entry: &str, control: &mut Control) -> Result<(), String> {
    let mut f = Fields::of(entry, 9);
    f.next("m")?;
    let kind = f.next("family-type")?;
    let zone = f.next("rack-zone")?;
    let status = match f.next("status")? {
        "ready" => EndpointState::Ready,
        "draining" => EndpointState::Draining,
        "gone" => EndpointState::Gone,
        other => return Err(format!("unknown engine status {other:?}")),
    };
    let started = match f
        .optional("start-time-us")?
        .map_or(Ok(0), |v| parse(v, "start-time-us"))?
    {
        0 => None,
        at => Some(millis(at)),
    };
    let cell: u32 = f.optional("pod")?.map_or(Ok(0), |v| parse(v, "pod"))?;
    let engine_id = f.number("node")?;
    f.optional("capacity-hint")?
        .map_or(Ok(1.0), |v| parse::<f64>(v, "capacity-hint"))?;
    f.end()?;
    control.upsert_endpoint(&EndpointUpdate {
        engine_id,
        kind,
        zone,
        state: status,
        started_ms: started,
        cell,
    });
    Ok(())
}

/// The load report is checked and passed over.
fn report(f: &mut Fields) -> Result<(), String> {
    for pair in f
        .optional("report")?
        .unwrap_or("")
        .split(',')
        .filter(|pair| !pair.is_empty())
    {
        let (name, value) = pair
            .split_once(':')
            .ok_or_else(|| format!("report value {pair:?} has no name"))?;
        parse::<f64>(value, name)?;
    }
    f.end()
}

fn outcome(code: &str) -> Result<Outcome, String> {
    Ok(match code {
        "served" => Outcome::Completed,
        "server_error" => Outcome::Error,
        "turned_away" => Outcome::Full,
        "no_answer" => Outcome::Timeout,
        "no_connection" => Outcome::NoConnection,
        "connection_lost" => Outcome::Reset,
        "called_off" => Outcome::Cancelled,
        "not_sent" => Outcome::NotSent,
        other => return Err(format!("unknown outcome {other:?}")),
    })
}

fn millis(us: u64) -> f64 {
    us as f64 / 1000.0
}

fn parse<T: std::str::FromStr>(text: &str, name: &str) -> Result<T, String> {
    text.parse()
        .map_err(|_| format!("{name} {text:?} is not such a number"))
}

/// The space-separated fields of a line, taken one by one.
struct Fields<'a>(SplitN<'a, char>);

impl<'a> Fields<'a> {
    fn of(rest: &'a str, most: usize) -> Self {
        Fields(rest.splitn(most, ' '))
    }

    fn next(&mut self, name: &str) -> Result<&'a str, String> {
        self.0
            .next()
            .filter(|text| !text.is_empty())
            .ok_or_else(|| format!("{name} is missing"))
    }

    fn optional(&mut self, name: &str) -> Result<Option<&'a str>, String> {
        Ok(Some(self.next(name)?).filter(|&text| text != "-"))
    }

    fn number<T: std::str::FromStr>(&mut self, name: &str) -> Result<T, String> {
        parse(self.next(name)?, name)
    }

    fn flag(&mut self, name: &str) -> Result<bool, String> {
        match self.next(name)? {
            "1" => Ok(true),
            "0" => Ok(false),
            other => Err(format!("{name} {other:?} is neither 1 nor 0")),
        }
    }

    fn end(&mut self) -> Result<(), String> {
        self.0
            .next()
            .map_or(Ok(()), |more| Err(format!("unexpected field {more:?}")))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SETTINGS: &str = "balancers=2 zone=h kinds=std family-info.cores-by-kind=8 family-info.dop=1 \
        limits.max-attempts=3 limits.cancelling=true services.count=1 services.0.name=look services.0.aim-us=500000 \
        services.0.effect=read_like";

    fn start(host: &mut Host, dispatchers: &[u64], engine_ids: &str) -> String {
        let mut batch = format!(
            "batch 1000\ncensus 0 {}\n{engine_ids}",
            engine_ids.lines().count()
        );
        for d in dispatchers {
            batch += &format!("enlist {d} 9 {SETTINGS}\nupdate {d} C 1 0\n");
        }
        answer(host, &batch).unwrap()
    }

    fn answer(host: &mut Host, batch: &str) -> Result<String, Wrong> {
        let mut to = Vec::new();
        host.answer(batch.as_bytes(), &mut to)
            .map(|()| String::from_utf8(to).unwrap())
    }

    #[test]
    fn each_instance_answers_for_itself_and_knows_only_its_own_list() {
        let mut host = Host::default();
        start(&mut host, &[1], "m std h ready - 0 71 1\n");
        let both = "batch 2000\ncensus 0 1\nm std h ready - 0 72 1\nenlist 2 9 ".to_owned()
            + SETTINGS
            + "\nupdate 2 C 1 0\ninbound 1 5 look - - 9000000 100 0 0 1\ninbound 2 6 look - - 9000000 100 0 0 1\n";
        let said = answer(&mut host, &both).unwrap();
        assert!(
            said.contains("try 1 5 71 9000000\n") && said.contains("try 2 6 72 9000000\n"),
            "{said}"
        );
        assert!(said.ends_with("finished\n"));
    }

    #[test]
    fn a_census_number_is_reused_within_a_batch() {
        let mut host = Host::default();
        let batch = format!(
            "batch 1000\ncensus 0 1\nm std h ready - 0 71 1\nenlist 1 9 {SETTINGS}\nupdate 1 C 1 0\n\
             census 0 1\nm std h gone - 0 71 1\nupdate 1 D 2 0\ninbound 1 5 look - - 9000000 100 0 0 1\n"
        );
        assert!(answer(&mut host, &batch).unwrap().contains("not_now 1 5"));
    }

    #[test]
    fn a_stop_and_a_start_in_one_batch_forget_all_that_went_before() {
        let mut host = Host::default();
        start(&mut host, &[1], "m std h ready - 0 71 1\n");
        let batch = format!(
            "batch 2000\ninbound 1 5 look - - 9000000 100 0 0 1\npower_off 1\nenlist 1 9 {SETTINGS}\n\
             update 1 C 1 0\ninbound 1 6 look - - 9000000 100 0 0 1\n"
        );
        let said = answer(&mut host, &batch).unwrap();
        assert!(
            said.contains("try 1 6 71") && !said.contains(" 5 "),
            "{said}"
        );
    }

    #[test]
    fn a_line_that_is_wrong_is_named() {
        let cases = [
            ("vanished 1 x\n", 1, "txn \"x\" is not such a number"),
            ("deadline_hit 1 1 2\n", 1, "unexpected field \"2\""),
            (
                "deadline_hit 1 1\nnonsense\n",
                2,
                "unknown event \"nonsense\"",
            ),
            ("deadline_hit 8 1\n", 1, "dispatcher 8 is not enlisted"),
            (
                "census 0 2\nm std h ready - 0 71 1\n",
                1,
                "the census should hold 2 entries",
            ),
            ("update 1 D 1 9\n", 1, "no census has slot 9"),
            (
                "closed_attempt 1 5 2 0 - served 71 10 -\n",
                1,
                "complete \"2\" is neither 1 nor 0",
            ),
            (
                "enlist 1 9 balancers=2\n",
                1,
                "setting services.count is missing",
            ),
        ];
        for (lines, line, what) in cases {
            let mut host = Host::default();
            start(&mut host, &[1], "m std h ready - 0 71 1\n");
            let wrong = answer(&mut host, &format!("batch 2000\n{lines}")).unwrap_err();
            assert_eq!((wrong.line, wrong.what.as_str()), (line, what));
        }
    }

    #[test]
    fn events_of_queries_that_are_over_or_unknown_do_no_harm() {
        let mut host = Host::default();
        start(&mut host, &[1], "m std h ready - 0 71 1\n");
        let batch = "batch 2000\nvanished 1 99\nclosed_attempt 1 99 1 0 - served 71 10 -\n\
                     status_note 1 99 0.5 1 0 71\nping_result 1 served 71 1400 -\nfirst 1 99 0 71 5\n";
        assert_eq!(answer(&mut host, batch).unwrap(), "finished\n");
    }
}
