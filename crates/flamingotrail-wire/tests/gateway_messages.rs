//! Messages between gateways.

use std::time;

use flamingotrail_gateway::ids;
use flamingotrail_gateway::input;
use flamingotrail_gateway::journal;
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

fn settle(age: time::Duration) -> journal::Record {
    let turn = ids::TurnId::new("t1");
    journal::Record::Settle(journal::Settle {
        program: ids::ProgramId::new("p"),
        settled: vec![journal::SettledAllowance { turn: turn.clone(), tokens: 40 }],
        open: vec![journal::OpenAllowance { turn, tokens: 80 }],
        age,
    })
}

// Guards against records that look new to each process that reads them.
#[test]
fn record_ages_between_encoding_and_decoding() {
    let written = wire::UnixTime(1_800_000_000_000);
    let read = wire::UnixTime(written.0 + 7_000);
    let bytes =
        wire::encode_record(&settle(time::Duration::from_secs(5)), written).expect("encoded");

    let record = wire::decode_record(&bytes, read).expect("decoded");

    assert_eq!(record, settle(time::Duration::from_secs(12)));
}

// Guards against an overflow or a huge age if the clock of the reader is behind that of the writer.
#[test]
fn record_from_the_future_is_new() {
    let written = wire::UnixTime(1_800_000_000_000);
    let bytes = wire::encode_record(&settle(time::Duration::MAX), written).expect("encoded");
    let old = wire::decode_record(&bytes, written).expect("decoded");
    let bytes = wire::encode_record(&settle(time::Duration::ZERO), written).expect("encoded");

    let record = wire::decode_record(&bytes, wire::UnixTime(written.0 - 7_000)).expect("decoded");

    assert_eq!(record, settle(time::Duration::ZERO));
    assert_eq!(old, settle(time::Duration::from_millis(written.0)));
}

// Guards against records of an older version, which name no time, being taken for new ones.
#[test]
fn record_without_a_time_counts_as_old() {
    #[derive(serde::Serialize)]
    #[serde(rename_all = "snake_case")]
    enum OldRecord {
        Settle { program: &'static str, settled: Vec<(&'static str, u64)> },
    }
    let old = OldRecord::Settle { program: "p", settled: vec![("t1", 40)] };
    let bytes = rmp_serde::to_vec_named(&old).expect("encoded");
    let now = wire::UnixTime(1_800_000_000_000);

    let record = wire::decode_record(&bytes, now).expect("decoded");

    let journal::Record::Settle(settle) = record else { panic!("another kind: {record:?}") };
    assert_eq!(settle.settled.len(), 1);
    assert!(settle.age > time::Duration::from_secs(300));
}

#[test]
fn long_turn_is_decoded_as_it_was_encoded() {
    let end = journal::End {
        turn: ids::TurnId::new("a"),
        previous: Some(ids::TurnId::new("b")),
        endpoint: ids::EndpointId::new("e1"),
        input: vec![1; 30].into(),
        output: vec![2; 70].into(),
        age: time::Duration::from_secs(3),
    };
    let (parts, long) = end.split(40);
    let now = wire::UnixTime(1_800_000_000_000);
    let records = parts.into_iter().map(journal::Record::Part);
    let records: Vec<_> = records.chain([journal::Record::LongEnd(long)]).collect();

    let decoded = records.iter().map(|record| {
        let bytes = wire::encode_record(record, now).expect("encoded");
        wire::decode_record(&bytes, now).expect("decoded")
    });

    assert_eq!(decoded.collect::<Vec<_>>(), records);
    assert_eq!(records.len(), 4);
}

#[test]
fn crashes_are_decoded_as_they_were_encoded() {
    let crash = input::PeerCrash {
        fingerprint: ids::Fingerprint(u128::MAX - 5),
        endpoint: ids::EndpointId::new("e1"),
        age: time::Duration::from_millis(40),
        took: time::Duration::from_millis(30),
    };

    let bytes = wire::encode_crashes(std::slice::from_ref(&crash)).expect("encoded");

    assert_eq!(wire::decode_crashes(&bytes).expect("decoded"), [crash]);
}
