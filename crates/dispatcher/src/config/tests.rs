use super::*;
use tansymux::events::EndpointState;

const VALID_CONFIG: &str = r#"{"name":"n0","listen":"127.0.0.1:1","seed":"6444882f5c620abb","limits":{"sockets":1024,"memory_mb":32},
    "peer_listen":"127.0.0.1:2","peers":["127.0.0.2:2"],"resolver":"127.0.0.1:53",
    "known":{"cursor":2,"cmds":[{"cursor":1,"nodes":{"instances":[{"instanceId":"s-1","hostPort":"10.0.0.1:1",
    "zone":"h","machineType":"std","cell":1,"lifecycle":"Ready","startedAtMs":0}]}},{"cursor":2,"nodes":
    {"instances":[{"instanceId":"s-1","lifecycle":"Terminating","startedAtMs":7}]}}]},
    "settings":{"balancers":2,"kinds":["a b","c"],"limits":{"probes":true,"connect-timeout-us":9000},
    "services":[{"name":"look","aim-us":5,"hard-limit-us":7000}],
    "family-info":{"dop":[1,2],"cores-by-kind":[8,4],"kind-memory-mb":[100,50]}}}"#;

#[test]
fn settings_are_flattened_and_updates_are_merged_into_one_endpoint_list() {
    let config = parse(VALID_CONFIG, None).unwrap();
    let settings: Vec<_> = config
        .settings
        .iter()
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    let expected =
        "balancers=2 family-info.cores-by-kind=8,4 family-info.dop=1,2 family-info.kind-memory-mb=100,50 \
        kinds=a_b,c limits.connect-timeout-us=9000 limits.probes=true services.0.aim-us=5 \
        services.0.hard-limit-us=7000 services.0.name=look services.count=1";
    assert_eq!(settings.join(" "), expected);
    assert_eq!(
        (
            config.connection_settings.connect_timeout_ms,
            config.connection_settings.idle_timeout_ms,
            config.directory.serial()
        ),
        (9.0, 30_000.0, 2)
    );
    assert_eq!(
        (
            config.admission.resource_groups.concat(),
            config.admission.tenants.len()
        ),
        ("look".to_owned(), 0)
    );
    let request_limits = (
        config.admission.max_wait_ms,
        config.admission.max_cost_ms,
        config.admission.max_memory_mb,
    );
    assert_eq!(request_limits, (28.0, 224.0, 400.0));
    assert_eq!(
        (
            config.admission.max_buffered_bytes,
            config.query_memory.max_statement_bytes,
            config.query_memory.max_answer_bytes
        ),
        ((32 << 20) / 10, (32 << 20) / 5, (32 << 20) / 10 * 3)
    );
    let endpoint = &config.directory.endpoints()[0];
    assert_eq!(
        (endpoint.state, endpoint.started_ms),
        (EndpointState::Draining, Some(7.0))
    );
    assert_eq!(
        parse(VALID_CONFIG, Some("127.0.0.9:9")).unwrap().listen,
        "127.0.0.9:9".parse().unwrap()
    );
}

#[test]
fn changed_keys_that_need_a_restart_are_listed() {
    let pending_keys = |old: &str, new: &str| {
        keys_pending_restart(
            &parse(VALID_CONFIG, None).unwrap().source,
            &parse(&VALID_CONFIG.replace(old, new), None).unwrap().source,
        )
    };
    assert_eq!(pending_keys("127.0.0.1:53", "127.0.0.1:54"), [""; 0]);
    assert_eq!(pending_keys("6444882f5c620abb", "7"), [""; 0]);
    assert_eq!(
        pending_keys("\"sockets\":1024", "\"sockets\":512"),
        ["limits"]
    );
    assert_eq!(pending_keys("\"name\":\"n0\",", ""), ["name"]);
}

#[test]
fn errors_name_the_key_and_the_value_found() {
    let cases = [
        (
            "\"seed\":\"6444882f5c620abb\"",
            "\"seed\":\"x\"",
            "key seed is \"x\"",
        ),
        ("\"listen\"", "\"lisTen\"", "key listen is missing"),
        (
            "\"sockets\":1024",
            "\"sockets\":2",
            "key limits.sockets is 2, expected at least 64",
        ),
        (
            "\"memory_mb\":32",
            "\"memory_mb\":\"a\"",
            "key limits.memory_mb is \"a\", expected a number",
        ),
        ("\"127.0.0.2:2\"", "7", "key peers.0 is 7, expected a text"),
        (
            "\"Ready\"",
            "\"Up\"",
            "key known.cmds.0.nodes.instances.0.lifecycle is \"Up\"",
        ),
        ("\"balancers\":2", "\"b\":2", "key settings.balancers"),
        (
            "\"connect-timeout-us\":9000",
            "\"connect-timeout-us\":0",
            "key settings.limits.connect-timeout-us",
        ),
        ("\"settings\"", "\"s\"", "key settings is missing"),
        ("{\"name\"", "\"name\"", "not JSON"),
    ];
    for (old, new, message) in cases {
        let errors = parse(&VALID_CONFIG.replace(old, new), None).unwrap_err();
        assert!(
            errors
                .iter()
                .any(|error| error.to_string().contains(message)),
            "{errors:?}"
        );
    }
}

#[test]
fn all_errors_are_reported_with_their_lines() {
    let text = VALID_CONFIG
        .replace("\"sockets\":1024", "\"sockets\":2")
        .replace("\"Terminating\"", "7")
        .replace("\"seed\"", "\"sed\"");
    let errors: Vec<String> = with_line_numbers(parse(&text, None).unwrap_err(), &text)
        .iter()
        .map(ConfigError::to_string)
        .collect();
    let has_error = |prefix: &str| errors.iter().any(|error| error.starts_with(prefix));
    assert!(has_error("line 1: key seed is missing"), "{errors:?}");
    assert!(
        has_error("line 1: key limits.sockets is 2, expected at least 64"),
        "{errors:?}"
    );
    assert!(
        has_error("line 5: key known.cmds.1.nodes.instances.0.lifecycle is 7"),
        "{errors:?}"
    );
    assert_eq!(errors.len(), 3);
}
