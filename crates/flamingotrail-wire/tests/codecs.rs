//! What crosses between processes and versions.

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

fn turn(number: ids::Turn, text: &str) -> history::TurnRecord {
    history::TurnRecord {
        turn: number,
        since: number - 1,
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
        tail: vec![turn(1, text)],
        code: digest::Digest::default(),
    }
    .authenticated(&key)
}

/// A change to one field of a continuation.
type Change = fn(&mut history::Continuation);

#[test]
fn a_continuation_with_any_field_changed_is_refused() {
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
            // The same text, divided in another way.
            let moved = c.tail[0].input[0].content.pop();
            c.tail[0].output.insert(0, moved.unwrap_or('x'));
        }),
        ("tail.output", |c| c.tail[0].output.push('x')),
        ("tail.finish", |c| c.tail[0].finish = work::FinishReason::Budget),
        ("tail.usage", |c| c.tail[0].usage.completion_tokens = 0),
    ];

    for (field, change) in changes {
        let mut forged = continuation("a booking");
        change(&mut forged);
        assert!(!forged.is_authentic(&key), "{field} is not covered by the code");
    }
    assert!(continuation("a booking").is_authentic(&key));
}

proptest! {
    #[test]
    fn a_continuation_survives_its_text(text in ".{0,200}") {
        let sent = continuation(&text);

        let read = codec::continuation_from_text(&codec::continuation_to_text(&sent));

        prop_assert_eq!(read.ok(), Some(sent));
    }

    #[test]
    fn a_continuation_with_any_byte_changed_is_refused(at in any::<prop::sample::Index>()) {
        let key = digest::hash_token("key");
        let text = codec::continuation_to_text(&continuation("a booking"));
        let mut bytes = text.into_bytes();
        let at = at.index(bytes.len());
        bytes[at] = if bytes[at] == b'A' { b'B' } else { b'A' };
        let forged = String::from_utf8(bytes).expect("base64 is text");

        let read = codec::continuation_from_text(&forged);

        let accepted = read.is_ok_and(|read| {
            read.is_authentic(&key) && read != continuation("a booking")
        });
        prop_assert!(!accepted);
    }

    #[test]
    fn an_entry_survives_its_text(text in ".{0,200}", granted in any::<u64>()) {
        let records = vec![
            journal::Record::Grant { root: ids::ProgramId::new(&partition(), 2), granted },
            journal::Record::Turn {
                conversation: ids::ConversationId::new(&partition(), 1),
                program: ids::ProgramId::new(&partition(), 2),
                record: turn(4, &text),
            },
        ];
        let sent = journal::Entry {
            nonce: ids::Nonce(granted),
            writer: ids::Peer::default(),
            body: journal::Body::Records { epoch: ids::Epoch(5), records },
        };

        let read = codec::entry_from_text(&codec::entry_to_text(&sent));

        prop_assert_eq!(read.ok(), Some(sent));
    }

    #[test]
    fn any_bytes_are_read_or_refused_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let read = codec::decode::<wire::Envelope>(&bytes);

        prop_assert!(read.is_ok() || read.is_err());
    }
}

#[test]
fn fields_of_a_newer_version_are_skipped() {
    #[derive(serde::Serialize)]
    struct NewerHoldTerms {
        id: u64,
        lease: u64,
        colour: &'static str,
    }
    let newer = codec::encode(&NewerHoldTerms { id: 4, lease: 2_000_000, colour: "red" });

    let read = codec::decode::<wire::HoldTerms>(&newer).map(messages::HoldLease::from);

    let expected =
        messages::HoldLease { id: ids::HoldId(4), lease: std::time::Duration::from_secs(2) };
    assert_eq!(read.ok(), Some(expected));
}

#[test]
fn a_kind_of_a_newer_version_is_refused() {
    #[derive(serde::Serialize)]
    enum NewerMessage {
        Sing { song: u32 },
    }
    let newer = codec::encode(&NewerMessage::Sing { song: 1 });

    let read = codec::decode::<wire::Message>(&newer);

    assert!(read.is_err());
}
