//! Reserves what a call may cost before it runs, from chunks that the journal granted.

use crate::errors;
use crate::history;
use crate::ids;
use crate::journal;
use crate::objects;
use crate::systems::call_lifecycle;
use crate::systems::journal as journaling;
use crate::tables::calls;
use crate::work;
use crate::world;

/// Tokens that a message adds besides its text.
const MESSAGE_TOKENS: u64 = 8;
/// Bytes of text for one token, where only the number of tokens already generated is estimated.
const BYTES_PER_TOKEN: usize = 4;

/// What a call needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Need {
    /// Cost units that it takes at least.
    least: work::Cost,
    /// Cost units for each token generated; 0 for services.
    token_price: work::Cost,
    /// Tokens that it asks for.
    max_tokens: u32,
}

/// Takes every call that may reserve.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    for key in std::mem::take(&mut world.tables.dirty.reserve) {
        reserve(world, tick, &key);
    }
}

fn reserve(world: &mut world::World, tick: &world::Tick, key: &ids::CallKey) {
    let Some(call) = world.tables.calls.rows.get(key) else {
        return;
    };
    if !matches!(call.state, calls::State::Ready | calls::State::Granting) {
        return;
    }
    let (root, bound) = (call.root.clone(), call.cost_bound);
    let Some((need, limit, chunk)) = need(world, key, call) else {
        let refusal = errors::Refusal::NoConfiguration;
        call_lifecycle::end_without_turn(world, tick, key, work::Outcome::NotRun(refusal));
        return;
    };
    let Some(account) = world.tables.programs.account(&root) else {
        return;
    };
    let used = account.spent.saturating_add(account.reserved);
    let left = limit.saturating_sub(used).min(bound.unwrap_or(work::Cost::MAX));
    if left < need.least + need.token_price {
        let needed = need.least + need.token_price;
        let refusal = errors::Refusal::BudgetSpent { program: root, left, needed };
        call_lifecycle::end_without_turn(world, tick, key, work::Outcome::NotRun(refusal));
        return;
    }
    let (tokens, budget_bound) = affordable(&need, left);
    let total = need.least + need.token_price * u64::from(tokens);
    if account.available() < total {
        let wanted = account.granted + chunk.max(total - account.available());
        account.waiting.insert(key.clone());
        ask_grant(world, &root, wanted.min(limit));
        call_lifecycle::set_state(world, tick, key, calls::State::Granting);
        return;
    }
    account.reserved += total;
    let runs_low = account.available() < chunk / 2 && account.granted < limit;
    let ahead = account.granted + chunk;
    if runs_low {
        ask_grant(world, &root, ahead.min(limit));
    }
    if let Some(call) = world.tables.calls.rows.get_mut(key) {
        call.reserved = total;
        call.max_tokens = tokens;
        call.budget_bound = budget_bound;
    }
    go_on(world, tick, key);
}

/// Tokens that `left` pays for, and whether that is fewer than asked.
fn affordable(need: &Need, left: work::Cost) -> (u32, bool) {
    if need.token_price == 0 {
        return (need.max_tokens, false);
    }
    let pays = (left - need.least) / need.token_price;
    let pays = u32::try_from(pays).unwrap_or(u32::MAX);
    (need.max_tokens.min(pays), pays < need.max_tokens)
}

fn ask_grant(world: &mut world::World, root: &ids::ProgramId, granted: work::Cost) {
    let Some(account) = world.tables.programs.account(root) else {
        return;
    };
    if account.granting.is_some() || granted <= account.granted {
        return;
    }
    account.granting = Some(granted);
    let record = journal::Record::Grant { root: root.clone(), granted };
    journaling::append(world, &root.home, record);
}

fn go_on(world: &mut world::World, tick: &world::Tick, key: &ids::CallKey) {
    let is_effect = world.tables.calls.rows.get(key).is_some_and(|c| c.effect_key.is_some());
    if is_effect {
        call_lifecycle::set_state(world, tick, key, calls::State::Intending);
        world.tables.dirty.intend.insert(key.clone());
    } else {
        call_lifecycle::set_state(world, tick, key, calls::State::Placing);
        world.tables.dirty.place.insert(key.clone());
    }
}

/// What the call needs, the program's limit and its chunk.
fn need(
    world: &world::World,
    key: &ids::CallKey,
    call: &calls::Call,
) -> Option<(Need, work::Cost, work::Cost)> {
    let objects = world.objects()?;
    let budget = objects.budgets.get(&objects.workspaces.get(&call.workspace)?.budget)?;
    let need = match &call.work {
        work::Work::Model { model, max_tokens, messages } => {
            let model = objects.models.get(model)?;
            model_need(world, key, call, model, *max_tokens, messages)
        }
        work::Work::Service { service, .. } => {
            let price = objects.services.get(service)?.price;
            Need { least: price, token_price: 0, max_tokens: 0 }
        }
        work::Work::EndProgram => Need { least: 0, token_price: 0, max_tokens: 0 },
    };
    Some((need, budget.limit, budget.chunk))
}

fn model_need(
    world: &world::World,
    key: &ids::CallKey,
    call: &calls::Call,
    model: &objects::Model,
    max_tokens: u32,
    messages: &[history::Message],
) -> Need {
    let asked = if max_tokens == 0 { model.default_max_tokens } else { max_tokens };
    let standing = call.prefix.len() / BYTES_PER_TOKEN;
    let standing = u32::try_from(standing).unwrap_or(u32::MAX);
    let prompt = max_prompt_tokens(world, key, messages) + call.prefix.len() as u64;
    Need {
        least: prompt * model.prompt_price,
        token_price: model.completion_price,
        max_tokens: asked.saturating_sub(standing).max(1),
    }
}

/// Most tokens that the prompt can have: what the endpoint counted for the last turn, and a token
/// for each byte of what is new.
pub fn max_prompt_tokens(
    world: &world::World,
    key: &ids::CallKey,
    messages: &[history::Message],
) -> u64 {
    let new: u64 = messages.iter().map(|m| m.content.len() as u64 + MESSAGE_TOKENS).sum();
    let Some(row) = world.tables.conversations.rows.get(&key.conversation) else {
        return new;
    };
    let mut before = 0;
    for past in row.turns.values().rev() {
        if past.record.kind != history::TurnKind::Model {
            continue;
        }
        let usage = past.record.usage;
        if usage.prompt_tokens > 0 {
            let counted = u64::from(usage.prompt_tokens) + u64::from(usage.completion_tokens);
            return new + before + counted + MESSAGE_TOKENS;
        }
        let input: u64 = past.record.input.iter().map(|m| m.content.len() as u64).sum();
        before += input + past.record.output.len() as u64;
        before += MESSAGE_TOKENS * (past.record.input.len() as u64 + 1);
    }
    new + before
}
