//! Budget reservation: reserves the maximum cost of a call before it runs. Reservations draw on
//! grants, which the journal records in chunks.

use crate::config;
use crate::errors;
use crate::history;
use crate::ids;
use crate::journal;
use crate::systems::call_lifecycle;
use crate::systems::journal_writer;
use crate::tables::calls;
use crate::work;
use crate::world;

/// Tokens that a message adds to the prompt in addition to its text.
const MESSAGE_OVERHEAD_TOKENS: u64 = 8;
/// Bytes of text per token. Used only to estimate how many tokens were already generated.
const BYTES_PER_TOKEN: usize = 4;

/// Cost estimate of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CostEstimate {
    /// Cost units charged regardless of how many tokens are generated.
    base_cost: work::Cost,
    /// Cost units per generated token; 0 for services.
    token_price: work::Cost,
    /// Tokens to generate: what the call requests, less what earlier attempts already generated.
    max_tokens: u32,
}

/// Reserves the cost of every call that is ready for it.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    for key in std::mem::take(&mut world.tables.dirty.calls_to_reserve) {
        reserve_cost(world, tick, &key);
    }
}

fn reserve_cost(world: &mut world::World, tick: &world::Tick, key: &ids::CallKey) {
    let Some(call) = world.tables.calls.rows.get(key) else {
        return;
    };
    if !matches!(call.state, calls::State::Ready | calls::State::Granting) {
        return;
    }
    let (root, cost_bound) = (call.root.clone(), call.cost_bound);
    let Some((estimate, limit, chunk)) = estimate_cost(world, key, call) else {
        let refusal = errors::Refusal::NoConfiguration;
        call_lifecycle::end_without_turn(world, tick, key, work::Outcome::NotRun(refusal));
        return;
    };
    let Some(account) = world.tables.programs.account_mut(&root) else {
        return;
    };
    let used = account.spent.saturating_add(account.reserved);
    let remaining = limit.saturating_sub(used).min(cost_bound.unwrap_or(work::Cost::MAX));
    if remaining < estimate.base_cost + estimate.token_price {
        let needed = estimate.base_cost + estimate.token_price;
        let refusal = errors::Refusal::BudgetSpent { program: root, left: remaining, needed };
        call_lifecycle::end_without_turn(world, tick, key, work::Outcome::NotRun(refusal));
        return;
    }
    let (tokens, budget_bound) = affordable_tokens(&estimate, remaining);
    let total = estimate.base_cost + estimate.token_price * u64::from(tokens);
    if account.available() < total {
        let target = account.granted + chunk.max(total - account.available());
        account.waiting_calls.insert(key.clone());
        request_grant(world, &root, target.min(limit));
        call_lifecycle::set_state(world, tick, key, calls::State::Granting);
        return;
    }
    account.reserved += total;
    let below_half_chunk = account.available() < chunk / 2 && account.granted < limit;
    let target = account.granted + chunk;
    if below_half_chunk {
        request_grant(world, &root, target.min(limit));
    }
    if let Some(call) = world.tables.calls.rows.get_mut(key) {
        call.reserved = total;
        call.max_tokens = tokens;
        call.budget_bound = budget_bound;
    }
    advance_call(world, tick, key);
}

/// Returns the number of tokens that `remaining` pays for, at most `max_tokens`, and whether the
/// budget lowered it.
fn affordable_tokens(estimate: &CostEstimate, remaining: work::Cost) -> (u32, bool) {
    if estimate.token_price == 0 {
        return (estimate.max_tokens, false);
    }
    let affordable = (remaining - estimate.base_cost) / estimate.token_price;
    let affordable = u32::try_from(affordable).unwrap_or(u32::MAX);
    (estimate.max_tokens.min(affordable), affordable < estimate.max_tokens)
}

/// Appends a grant record that raises the total of the account's grants to `granted`, unless a
/// grant is already in flight.
fn request_grant(world: &mut world::World, root: &ids::ProgramId, granted: work::Cost) {
    let Some(account) = world.tables.programs.account_mut(root) else {
        return;
    };
    if account.pending_grant.is_some() || granted <= account.granted {
        return;
    }
    account.pending_grant = Some(granted);
    let record = journal::Record::Grant { root: root.clone(), granted };
    journal_writer::append(world, &root.home, record);
}

fn advance_call(world: &mut world::World, tick: &world::Tick, key: &ids::CallKey) {
    let is_effect = world.tables.calls.rows.get(key).is_some_and(|c| c.effect_key.is_some());
    if is_effect {
        call_lifecycle::set_state(world, tick, key, calls::State::Intending);
        world.tables.dirty.calls_to_log_intent.insert(key.clone());
    } else {
        call_lifecycle::set_state(world, tick, key, calls::State::Placing);
        world.tables.dirty.calls_to_place.insert(key.clone());
    }
}

/// Returns the cost estimate of the call, and the limit and the grant chunk size of its budget.
fn estimate_cost(
    world: &world::World,
    key: &ids::CallKey,
    call: &calls::Call,
) -> Option<(CostEstimate, work::Cost, work::Cost)> {
    let config = world.config()?;
    let budget = config.budgets.get(&config.workspaces.get(&call.workspace)?.budget)?;
    let estimate = match &call.work {
        work::Work::Model { model, max_tokens, messages } => {
            let model = config.models.get(model)?;
            estimate_model_cost(world, key, call, model, *max_tokens, messages)
        }
        work::Work::Service { service, .. } => {
            let price = config.services.get(service)?.price;
            CostEstimate { base_cost: price, token_price: 0, max_tokens: 0 }
        }
        work::Work::EndProgram => CostEstimate { base_cost: 0, token_price: 0, max_tokens: 0 },
    };
    Some((estimate, budget.limit, budget.chunk))
}

fn estimate_model_cost(
    world: &world::World,
    key: &ids::CallKey,
    call: &calls::Call,
    model: &config::Model,
    max_tokens: u32,
    messages: &[history::Message],
) -> CostEstimate {
    let requested = if max_tokens == 0 { model.default_max_tokens } else { max_tokens };
    let generated = call.prefix.len() / BYTES_PER_TOKEN;
    let generated = u32::try_from(generated).unwrap_or(u32::MAX);
    let prompt_tokens = max_prompt_tokens(world, key, messages) + call.prefix.len() as u64;
    CostEstimate {
        base_cost: prompt_tokens * model.prompt_price,
        token_price: model.completion_price,
        max_tokens: requested.saturating_sub(generated).max(1),
    }
}

/// Returns an upper bound on the number of prompt tokens: the usage reported for the latest model
/// turn that has one, plus one token per byte and an overhead per message for everything after it.
pub fn max_prompt_tokens(
    world: &world::World,
    key: &ids::CallKey,
    messages: &[history::Message],
) -> u64 {
    let new_tokens: u64 =
        messages.iter().map(|m| m.content.len() as u64 + MESSAGE_OVERHEAD_TOKENS).sum();
    let Some(row) = world.tables.conversations.rows.get(&key.conversation) else {
        return new_tokens;
    };
    let mut uncounted = 0;
    for turn in row.turns.values().rev() {
        if turn.record.kind != history::TurnKind::Model {
            continue;
        }
        let usage = turn.record.usage;
        if usage.prompt_tokens > 0 {
            let counted = u64::from(usage.prompt_tokens) + u64::from(usage.completion_tokens);
            return new_tokens + uncounted + counted + MESSAGE_OVERHEAD_TOKENS;
        }
        let input: u64 = turn.record.input.iter().map(|m| m.content.len() as u64).sum();
        uncounted += input + turn.record.output.len() as u64;
        uncounted += MESSAGE_OVERHEAD_TOKENS * (turn.record.input.len() as u64 + 1);
    }
    new_tokens + uncounted
}
