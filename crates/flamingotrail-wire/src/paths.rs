//! Ids as segments of URL paths, whatever characters callers put into them.

use percent_encoding::AsciiSet;
use percent_encoding::NON_ALPHANUMERIC;

/// The unreserved characters stay as they are, so that versions that encode nothing find usual ids.
const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// Encodes `id` as a path segment.
pub fn encode_segment(id: &str) -> String {
    percent_encoding::utf8_percent_encode(id, ESCAPED).to_string()
}

/// Decodes a path segment; `None` if it is not UTF-8.
pub fn decode_segment(segment: &str) -> Option<String> {
    let decoded = percent_encoding::percent_decode_str(segment).decode_utf8();
    decoded.ok().map(|id| id.into_owned())
}
