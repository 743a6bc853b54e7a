//! Ids in the paths of messages between gateways.

use flamingotrail_wire::paths;
use proptest::prelude::*;

// Guards against lookups that a version without encoding does not understand.
#[test]
fn usual_ids_stay_as_they_are() {
    assert_eq!(paths::encode_segment("req-7.a_b~C"), "req-7.a_b~C");
}

// Guards against bytes that are no id and stop the gateway that is asked.
#[test]
fn segment_that_is_not_utf_8_is_no_id() {
    assert_eq!(paths::decode_segment("%ff%fe"), None);
    assert_eq!(paths::decode_segment("%zz%"), Some("%zz%".to_owned()));
}

proptest! {
    // Guards against ids that end the path or the request line, or that arrive as another id.
    #[test]
    fn ids_survive_a_path(id in any::<String>()) {
        let segment = paths::encode_segment(&id);

        prop_assert!(segment.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-._~%".contains(&byte)));
        prop_assert_eq!(paths::decode_segment(&segment), Some(id));
    }
}
