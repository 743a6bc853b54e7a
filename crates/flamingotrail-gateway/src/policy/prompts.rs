//! How many tokens of a prompt an endpoint probably has to read.

use crate::policy;

/// Returns the number of tokens of the prompt that `candidate` probably has not cached; 0 for plain
/// services.
pub fn uncached_tokens(request: &policy::Request<'_>, candidate: &policy::Candidate<'_>) -> u64 {
    if !request.is_engine {
        return 0;
    }
    request.prompt_tokens.saturating_sub(cached_tokens(request, candidate))
}

/// Returns the number of tokens at the start of the prompt that `candidate` probably has cached.
fn cached_tokens(request: &policy::Request<'_>, candidate: &policy::Candidate<'_>) -> u64 {
    let known = candidate.row.cached_parts.tokens_at_start(request.prompt);
    if request.previous != Some(candidate.id) {
        return known;
    }
    // The endpoint has processed all but the new input, possibly on behalf of another gateway.
    let earlier = request.prompt.split_last().map_or(&[][..], |(_, earlier)| earlier);
    known.max(earlier.iter().map(|part| part.tokens).sum())
}
