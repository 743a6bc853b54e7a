//! Replays partition streams: decides which entries are valid and applies them.

use crate::ids;
use crate::input;
use crate::journal;
use crate::systems::ownership;
use crate::systems::restore;
use crate::time;
use crate::world;

/// Applies one page of a stream. A claim starts a new epoch; records of any other epoch are
/// ignored.
pub fn apply_page(
    world: &mut world::World,
    tick: &world::Tick,
    partition: &ids::Partition,
    page: &input::StreamPage,
) {
    infer_expired_claim(world, partition, page);
    for stream_entry in &page.entries {
        let replay = &mut ownership::partition_row(world, partition).replay;
        if stream_entry.offset < replay.cursor {
            continue;
        }
        replay.cursor = ids::Offset(stream_entry.offset.0 + 1);
        apply_entry(world, tick, partition, stream_entry);
    }
    let replay = &mut ownership::partition_row(world, partition).replay;
    replay.cursor = replay.cursor.max(page.next);
}

/// Infers the claim in force at the start of a page if the log's retention has removed its entry.
/// Records name their epoch and always follow its claim, so the claim in force is the highest epoch
/// that lies before the first retained entry.
fn infer_expired_claim(
    world: &mut world::World,
    partition: &ids::Partition,
    page: &input::StreamPage,
) {
    let replay = &mut ownership::partition_row(world, partition).replay;
    if replay.cursor >= page.start {
        return;
    }
    for stream_entry in &page.entries {
        let Some(journal::Entry { body: journal::Body::Records { epoch, .. }, .. }) =
            &stream_entry.entry
        else {
            continue;
        };
        if epoch.0 < page.start.0 && replay.epoch.is_none_or(|known| known < *epoch) {
            replay.epoch = Some(*epoch);
            replay.owner = stream_entry.entry.as_ref().map(|entry| entry.writer.clone());
        }
    }
}

fn apply_entry(
    world: &mut world::World,
    tick: &world::Tick,
    partition: &ids::Partition,
    stream_entry: &input::StreamEntry,
) {
    let Some(entry) = &stream_entry.entry else {
        return;
    };
    let row = ownership::partition_row(world, partition);
    if !row.replay.record_nonce(entry.nonce) {
        return;
    }
    match &entry.body {
        journal::Body::Claim => {
            row.replay.epoch = Some(ids::Epoch(stream_entry.offset.0));
            row.replay.owner = Some(entry.writer.clone());
        }
        journal::Body::Records { epoch, records } => {
            if row.replay.epoch != Some(*epoch) {
                return;
            }
            if row.epoch().is_some() {
                return;
            }
            row.replay.owner = Some(entry.writer.clone());
            let logged_at = time::Timestamp::from_micros(
                tick.now
                    .as_micros()
                    .saturating_sub(time::Timestamp::ZERO.after(stream_entry.age).as_micros()),
            );
            for record in records {
                restore::restore_record(world, partition, record, logged_at);
            }
        }
        _ => {}
    }
}
