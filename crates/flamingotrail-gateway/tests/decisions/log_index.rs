//! The index of the log's records: it has every record that the log may still have.

use std::time;

use flamingotrail_core::time as core_time;
use flamingotrail_gateway::ids;
use flamingotrail_gateway::tables::log_index;
use proptest::prelude::*;

const RETENTION: time::Duration = time::Duration::from_secs(300);
/// Time between two removals of expired entries, in seconds.
const EXPIRY_INTERVAL_S: u64 = 5;

fn turn(number: u64) -> ids::TurnId {
    ids::TurnId::new(format!("t{number}"))
}

fn at_seconds(seconds: u64) -> core_time::Timestamp {
    core_time::Timestamp::ZERO.after(time::Duration::from_secs(seconds))
}

proptest! {
    /// An entry stays for the log's retention, in whatever order records are read and rows expire.
    #[test]
    fn entry_outlives_its_record(gaps in proptest::collection::vec(0_u64..90, 1..60)) {
        let mut index = log_index::LogIndex::default();
        let mut now_s = 0;
        let mut read = Vec::new();
        for (number, gap) in (0..).zip(gaps) {
            for second in now_s..now_s + gap {
                if second % EXPIRY_INTERVAL_S == 0 {
                    index.expire(at_seconds(second), RETENTION);
                }
            }
            now_s += gap;
            index.insert_turn(&turn(number), ids::Offset(number));
            read.push((number, now_s));
            for (number, read_s) in &read {
                let offset = index.turn_offset(&turn(*number), at_seconds(now_s));
                if now_s - read_s < RETENTION.as_secs() {
                    prop_assert_eq!(offset, Some(ids::Offset(*number)));
                } else if now_s - read_s > 2 * RETENTION.as_secs() {
                    prop_assert_eq!(offset, None);
                }
            }
        }
    }
}

// Guards against an index that grows without limit, and against one that says "never read" of a
// record whose entry did not fit.
#[test]
fn full_index_sends_searches_to_the_beginning_of_the_log() {
    const ENTRIES: u64 = 1_200_000;
    const RECORDS_PER_S: u64 = 10_000;
    let mut index = log_index::LogIndex::default();
    for number in 0..ENTRIES {
        if number % (EXPIRY_INTERVAL_S * RECORDS_PER_S) == 0 {
            index.expire(at_seconds(number / RECORDS_PER_S), RETENTION);
        }
        index.insert_turn(&turn(number), ids::Offset(number));
    }
    let now = at_seconds(ENTRIES / RECORDS_PER_S);

    index.expire(now, RETENTION);

    assert!(index.len() <= 1_000_000);
    let unknown = turn(ENTRIES + 1);
    assert_eq!(index.turn_offset(&unknown, now), Some(ids::Offset(0)));
    assert_eq!(index.turn_offset(&unknown, now.after(RETENTION)), None);
}
