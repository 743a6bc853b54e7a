//! Codecs of continuations, log entries and messages, and their compatibility between versions.

use flamingotrail_core::digest;
use flamingotrail_core::history;
use flamingotrail_core::ids;
use flamingotrail_core::journal;
use flamingotrail_core::messages;
use flamingotrail_core::work;
use flamingotrail_wire::codec;
use flamingotrail_wire::messages as wire;
use proptest::prelude::*;

fn partition() -> ids::Partition {
    ids::Partition::new(&ids::RegionName::new("vestland"), 3)
}

fn turn_record(turn: ids::Turn, text: &str) -> history::TurnRecord {
    history::TurnRecord {
        turn,
        since: turn - 1,
        kind: history::TurnKind::Model,
        request: digest::hash_token(text),
        input: vec![history::Message::new(history::Role::User, text)],
        output: text.to_owned(),
        finish: work::FinishReason::Stop,
        usage: work::Usage { prompt_tokens: 7, cached_tokens: 3, completion_tokens: 2 },
    }
}

fn continuation(text: &str) -> history::Continuation {
    let key = digest::hash_token("key");
    history::Continuation {
        conversation: ids::ConversationId::new(&partition(), 1),
        program: ids::ProgramId::new(&partition(), 2),
        root: ids::ProgramId::new(&partition(), 2),
        workspace: ids::WorkspaceName::new("desk"),
        turn: 1,
        digest: digest::hash_token(text),
        epoch: ids::Epoch(9),
        journaled: 0,
        tail: vec![turn_record(1, text)],
        code: digest::Digest::default(),
    }
    .authenticated(&key)
}

/// A change to one field of a continuation.
type Change = fn(&mut history::Continuation);

#[test]
fn the_mac_of_a_continuation_covers_every_field() {
    let key = digest::hash_token("key");
    let changes: [(&str, Change); 20] = [
        ("conversation", |c| c.conversation = ids::ConversationId::new(&partition(), 7)),
        ("program", |c| c.program = ids::ProgramId::new(&partition(), 7)),
        ("root", |c| c.root = ids::ProgramId::new(&partition(), 7)),
        ("workspace", |c| c.workspace = ids::WorkspaceName::new("other")),
        ("turn", |c| c.turn += 1),
        ("digest", |c| c.digest = digest::hash_token("other")),
        ("epoch", |c| c.epoch.0 += 1),
        ("journaled", |c| c.journaled += 1),
        ("tail", |c| c.tail.clear()),
        ("tail.turn", |c| c.tail[0].turn += 1),
        ("tail.since", |c| c.tail[0].since += 1),
        ("tail.kind", |c| c.tail[0].kind = history::TurnKind::Doubtful),
        ("tail.request", |c| c.tail[0].request = digest::hash_token("other")),
        ("tail.input", |c| c.tail[0].input.clear()),
        ("tail.input.role", |c| c.tail[0].input[0].role = history::Role::System),
        ("tail.input.content", |c| c.tail[0].input[0].content.push('x')),
        ("tail.input and tail.output", |c| {
            // Moves a character across the boundary of the two texts, which leaves their
            // concatenation unchanged.
            let moved = c.tail[0].input[0].content.pop();
            c.tail[0].output.insert(0, moved.unwrap_or('x'));
        }),
        ("tail.output", |c| c.tail[0].output.push('x')),
        ("tail.finish", |c| c.tail[0].finish = work::FinishReason::Budget),
        ("tail.usage", |c| c.tail[0].usage.completion_tokens = 0),
    ];

    for (field, change) in changes {
        let mut modified = continuation("a booking");
        change(&mut modified);
        assert!(!modified.is_authentic(&key), "the MAC does not cover {field}");
    }
    assert!(continuation("a booking").is_authentic(&key));
}

proptest! {
    #[test]
    fn a_continuation_round_trips_through_its_encoding(text in ".{0,200}") {
        let original = continuation(&text);

        let decoded = codec::decode_continuation(&codec::encode_continuation(&original));

        prop_assert_eq!(decoded.ok(), Some(original));
    }

    #[test]
    fn a_continuation_with_a_modified_byte_is_rejected(position in any::<prop::sample::Index>()) {
        let key = digest::hash_token("key");
        let text = codec::encode_continuation(&continuation("a booking"));
        let mut bytes = text.into_bytes();
        let index = position.index(bytes.len());
        bytes[index] = if bytes[index] == b'A' { b'B' } else { b'A' };
        let modified = String::from_utf8(bytes).expect("base64 is text");

        let decoded = codec::decode_continuation(&modified);

        let accepted = decoded.is_ok_and(|decoded| {
            decoded.is_authentic(&key) && decoded != continuation("a booking")
        });
        prop_assert!(!accepted);
    }

    #[test]
    fn a_log_entry_round_trips_through_its_encoding(text in ".{0,200}", granted in any::<u64>()) {
        let records = vec![
            journal::Record::Grant { root: ids::ProgramId::new(&partition(), 2), granted },
            journal::Record::Turn {
                conversation: ids::ConversationId::new(&partition(), 1),
                program: ids::ProgramId::new(&partition(), 2),
                record: turn_record(4, &text),
            },
        ];
        let original = journal::Entry {
            nonce: ids::Nonce(granted),
            writer: ids::Peer::default(),
            body: journal::Body::Records { epoch: ids::Epoch(5), records },
        };

        let decoded = codec::decode_entry(&codec::encode_entry(&original));

        prop_assert_eq!(decoded.ok(), Some(original));
    }

    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let decoded = codec::decode::<wire::Envelope>(&bytes);

        prop_assert!(decoded.is_ok() || decoded.is_err());
    }
}

#[test]
fn unknown_fields_are_ignored() {
    #[derive(serde::Serialize)]
    struct NewerHoldLease {
        id: u64,
        lease: u64,
        added: &'static str,
    }
    let encoded = codec::encode(&NewerHoldLease { id: 4, lease: 2_000_000, added: "value" });

    let decoded = codec::decode::<wire::HoldLease>(&encoded).map(messages::HoldLease::from);

    let expected =
        messages::HoldLease { id: ids::HoldId(4), lease: std::time::Duration::from_secs(2) };
    assert_eq!(decoded.ok(), Some(expected));
}

#[test]
fn an_unknown_message_kind_is_a_decoding_error() {
    #[derive(serde::Serialize)]
    enum NewerMessage {
        AddedKind { field: u32 },
    }
    let encoded = codec::encode(&NewerMessage::AddedKind { field: 1 });

    let decoded = codec::decode::<wire::Message>(&encoded);

    assert!(decoded.is_err());
}
