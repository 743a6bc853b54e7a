//! Messages between gateways.

use std::time;

use flamingotrail_gateway::ids;
use flamingotrail_gateway::input;
use flamingotrail_wire::gateway as wire;

fn notice(endpoint: &str, limit: Option<f64>) -> input::PeerNotice {
    input::PeerNotice {
        endpoint: ids::EndpointId::new(endpoint),
        notice: input::Notice { max_requests_per_s: limit, is_leaving: limit.is_none() },
        age: time::Duration::from_millis(40),
    }
}

#[test]
fn notices_are_decoded_as_they_were_encoded() {
    let notices = [notice("e1", Some(2.5)), notice("e2", None)];

    let bytes = wire::encode_notices(&notices).expect("encoded");

    assert_eq!(wire::decode_notices(&bytes).expect("decoded"), notices);
}

#[test]
fn bytes_that_are_no_notices_are_an_error() {
    assert!(wire::decode_notices(b"garbage").is_err());
}
