//! Notices: which of an endpoint's announcements is in force.

use std::time;

use crate::fixture;

use flamingotrail_core::time as core_time;
use flamingotrail_gateway::ids;
use flamingotrail_gateway::input;
use flamingotrail_gateway::tables::notices;

fn at_ms(ms: u64) -> core_time::Timestamp {
    core_time::Timestamp::ZERO.after(time::Duration::from_millis(ms))
}

/// Applies a response to a request that was sent at `sent_ms` and began to be answered at `now_ms`.
fn apply(table: &mut notices::Notices, sent_ms: u64, now_ms: u64, limit: Option<f64>) {
    let notice = fixture::limit_notice(limit);
    let phase = 0.5;
    table.update_limit(&ids::EndpointId::new("e"), notice, at_ms(sent_ms), phase, at_ms(now_ms));
}

fn limit(table: &notices::Notices) -> Option<f64> {
    table.limit(&ids::EndpointId::new("e")).map(|limit| limit.max_requests_per_s)
}

#[test]
fn limit_changes_and_ends_with_the_responses_to_later_requests() {
    let mut table = notices::Notices::default();

    apply(&mut table, 0, 10, Some(5.0));
    apply(&mut table, 20, 30, Some(8.0));
    let raised = limit(&table);
    apply(&mut table, 40, 50, None);

    assert_eq!(raised, Some(8.0));
    assert_eq!(limit(&table), None);
}

// Guards against a response that was overtaken ending or raising a limit that was named after it.
#[test]
fn overtaken_response_only_lowers_a_limit() {
    let mut table = notices::Notices::default();
    apply(&mut table, 5, 10, Some(5.0));

    apply(&mut table, 0, 20, None);
    let after_none = limit(&table);
    apply(&mut table, 0, 30, Some(9.0));
    let after_higher = limit(&table);
    apply(&mut table, 0, 40, Some(2.0));

    assert_eq!((after_none, after_higher), (Some(5.0), Some(5.0)));
    assert_eq!(limit(&table), Some(2.0));
}

// Guards against a limit that is learned only at the end of a stream.
#[test]
fn limit_is_learned_when_the_response_begins() {
    let mut gateway = fixture::Gateway::new("one");
    gateway.receive(fixture::request(1, "a", "/book/1"));
    let endpoint = gateway.sent[0].endpoint.clone();

    gateway.begin_response(1, fixture::limit_notice(Some(5.0)));

    let limit = gateway.world.tables.notices.limit(&endpoint);
    assert_eq!(limit.map(|limit| limit.max_requests_per_s), Some(5.0));
}

// Guards against an old message between gateways that ends a limit which was named after it.
#[test]
fn message_of_another_gateway_does_not_end_a_newer_limit() {
    let mut gateway = fixture::Gateway::new("one");
    gateway.advance(time::Duration::from_secs(5), &mut fixture::MemoryLog::default());
    gateway.receive(fixture::request(1, "a", "/book/1"));
    let endpoint = gateway.sent[0].endpoint.clone();
    gateway.begin_response(1, fixture::limit_notice(Some(5.0)));

    let notice = fixture::limit_notice(None);
    let age = time::Duration::from_millis(50);
    let message = input::PeerNotice { endpoint: endpoint.clone(), notice, age };
    gateway.tick(vec![input::Input::PeerNotices(vec![message])]);

    assert!(gateway.world.tables.notices.limit(&endpoint).is_some());
}

// Guards against a gateway that has just started and drops what it is told before it has read the
// list of endpoints.
#[test]
fn announcement_of_an_endpoint_that_is_not_listed_yet_is_kept() {
    let mut gateway = fixture::Gateway::unconfigured("one");
    let endpoint = ids::EndpointId::new("ledger-1");
    let notice = fixture::limit_notice(Some(5.0));
    let age = time::Duration::from_millis(50);

    let message = input::PeerNotice { endpoint: endpoint.clone(), notice, age };
    gateway.tick(vec![input::Input::PeerNotices(vec![message])]);
    gateway.tick(vec![input::Input::Endpoints(fixture::endpoints())]);

    assert!(gateway.world.tables.notices.limit(&endpoint).is_some());
}
