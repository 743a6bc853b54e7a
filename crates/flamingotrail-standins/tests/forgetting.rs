//! A long line of turns over gateway processes that remove rows from memory, with a store that drops
//! records: nothing that is needed is lost.

use std::thread;
use std::time;

use flamingotrail_standins::fleet::caller;
use flamingotrail_standins::fleet::gateways;
use flamingotrail_standins::fleet::platform;
use flamingotrail_standins::fleet::small;

/// Time for which turns are kept; rows stay in memory for 5 s more, and up to 5 s until the next removal.
const RETENTION_S: u64 = 1;
/// Time after which the store drops a record.
const LOG_RETENTION: time::Duration = time::Duration::from_secs(16);
const TURN_INTERVAL: time::Duration = time::Duration::from_millis(700);
/// Turns that go in through one gateway before the other one has its turn: longer than rows stay.
const TURNS_PER_GATEWAY: usize = 17;
const TURNS: usize = 4 * TURNS_PER_GATEWAY;
const TOKENS_PER_TURN: usize = 24;

fn start_gateway(fleet: &small::Fleet, name: &str) -> gateways::Gateway {
    let (folder, store) = (&fleet.folder, fleet.store_address);
    let gateway =
        gateways::start_with_retention(&small::program(), folder, name, store, LOG_RETENTION);
    let gateway =
        gateway.unwrap_or_else(|error| panic!("{error}; scripts/test builds the program"));
    assert!(gateway.wait_until_ready(), "the gateway did not become ready");
    gateway
}

fn start_fleet(name: &str) -> small::Fleet {
    let fleet = small::start(name).expect("no free port");
    fleet.store.set_retention(LOG_RETENTION);
    let configuration = platform::configuration_with_retention(4, 0, RETENTION_S);
    fleet.store.set("keyed.op", "config", &configuration);
    fleet
}

fn send_turn(gateway: &gateways::Gateway, number: usize, budget: usize) -> caller::Response {
    let (id, previous) = (format!("t{number}"), format!("t{}", number.wrapping_sub(1)));
    let (budget, usage) = (budget.to_string(), format!("100,{TOKENS_PER_TURN}"));
    let mut headers = vec![
        ("Request-Id", id.as_str()),
        ("Program-Id", "p"),
        ("Token-Budget", &budget),
        ("Token-Usage", &usage),
        ("Deadline-Ms", "4000"),
    ];
    if number > 0 {
        headers.push(("Previous-Turn", &previous));
    }
    let input = format!("input {number};");
    caller::call(gateway.caller_address, "POST", "/chat/1", &headers, &input).expect("no response")
}

// Guards against turns that are unknown, and budgets that begin anew, at a gateway that has read them
// from the log long ago, or after the log has dropped their records.
#[test]
fn long_line_is_whole_and_keeps_its_budget() {
    let fleet = start_fleet("forgetting");
    let gateways = ["one", "two"].map(|name| start_gateway(&fleet, name));
    // Allowances are granted in fifths, so the last turns of a budget need all of them settled.
    let budget = TURNS * TOKENS_PER_TURN;

    let mut refused = None;
    for number in 0..=TURNS {
        let gateway = &gateways[number / TURNS_PER_GATEWAY % gateways.len()];
        let response = send_turn(gateway, number, budget);
        if response.status == 402 {
            refused = Some(number);
            break;
        }
        assert!(response.status == 200 && response.is_complete(), "{number}: {}", response.text);
        thread::sleep(TURN_INTERVAL);
    }

    let bodies = fleet.model.bodies();
    let expected: String =
        (0..bodies.len() - 1).map(|number| format!("input {number};w1\nw2\nw3\n")).collect();
    let last = bodies.last().expect("a turn");
    assert!(*last == format!("{expected}input {};", bodies.len() - 1), "{last}");
    assert!(refused.is_some_and(|number| number + 2 > TURNS), "spent after {TURNS}: {refused:?}");
}
