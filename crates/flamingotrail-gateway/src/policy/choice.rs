//! Chooses among endpoints of nearly equal cost, so that gateways with the same knowledge don't all choose
//! the same one.

use crate::ids;

/// An endpoint with what decides between endpoints.
#[derive(Clone, Copy, Debug)]
pub struct Ranked<'a> {
    /// Id of the endpoint.
    pub id: &'a ids::EndpointId,
    /// Whether it is used only if there is no other.
    pub is_suspect: bool,
    /// Cost of the call there.
    pub cost: f64,
    /// Number of tokens that it probably has to read.
    pub uncached_tokens: u64,
    /// Whether it limits its requests: one that is due is lost if it is not used.
    pub is_limited: bool,
}

/// Returns the endpoint for a call: the cheaper one of the two that are first in `order` among those whose
/// cost exceeds the lowest by at most `margin`. Of these, limited endpoints go first, and none of them has
/// to read more of the prompt than the cheapest one.
pub fn choose<'a>(
    ranked: &[Ranked<'a>],
    margin: f64,
    order: impl Fn(&ids::EndpointId) -> u64,
) -> Option<Ranked<'a>> {
    let cheapest = ranked.iter().min_by(|a, b| {
        let by_cost = a.is_suspect.cmp(&b.is_suspect).then(a.cost.total_cmp(&b.cost));
        by_cost.then(a.uncached_tokens.cmp(&b.uncached_tokens))
    })?;
    let is_near = |row: &&Ranked<'a>| {
        row.is_suspect == cheapest.is_suspect
            && row.cost <= cheapest.cost + margin
            && row.uncached_tokens <= cheapest.uncached_tokens
    };
    let is_any_limited = ranked.iter().filter(is_near).any(|row| row.is_limited);
    let near = ranked.iter().filter(is_near).filter(|row| row.is_limited == is_any_limited);
    let mut ordered: Vec<(u64, &Ranked<'a>)> = near.map(|row| (order(row.id), row)).collect();
    ordered.sort_unstable_by_key(|(place, row)| (*place, row.id));
    let two = ordered.into_iter().take(2).map(|(_, row)| *row);
    // The first of equals is kept, so the order decides between them.
    two.min_by(|a, b| a.cost.total_cmp(&b.cost))
}
