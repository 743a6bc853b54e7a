//! What an entry decides on a request by itself: whether it can be run at all, and the ids of its
//! program.

use crate::digest;
use crate::errors;
use crate::history;
use crate::ids;
use crate::input;
use crate::messages;
use crate::work;
use crate::world;

/// Whether the workspace may ask for the work, and the request has what the work needs.
pub fn validate_work(
    world: &world::World,
    workspace: &ids::WorkspaceName,
    caller: &input::CallerRequest,
) -> Result<(), errors::Refusal> {
    let objects = world.objects().ok_or(errors::Refusal::NoConfiguration)?;
    match &caller.work {
        work::Work::Model { model, messages, .. } => {
            let open = objects.workspaces.get(workspace).is_some_and(|w| w.models.contains(model));
            if !open || !objects.models.contains_key(model) {
                return Err(errors::Refusal::UnknownModel(model.clone()));
            }
            if messages.is_empty() {
                let detail = "at least one message is needed".to_owned();
                return Err(errors::Refusal::BadField { field: "messages".into(), detail });
            }
        }
        work::Work::Service { service, .. } => {
            let known = objects.services.get(service);
            let known = known.ok_or_else(|| errors::Refusal::UnknownService(service.clone()))?;
            if !known.repeatable && caller.idempotency_key.is_none() && caller.turn.is_none() {
                return Err(errors::Refusal::BadField {
                    field: "x-flamingotrail-idempotency-key".into(),
                    detail: "a call that may not be repeated needs a key or a turn".into(),
                });
            }
        }
        work::Work::EndProgram => {
            if caller.program.is_none() {
                let detail = "name the program to end".to_owned();
                return Err(errors::Refusal::BadField { field: "program".into(), detail });
            }
        }
    }
    Ok(())
}

/// The program of a call: the caller's, one in the parent's home, or a new one.
pub fn assign_program(
    world: &mut world::World,
    workspace: &ids::WorkspaceName,
    caller: &input::CallerRequest,
) -> Result<(ids::ProgramId, messages::Origin), errors::Refusal> {
    if let Some(program) = &caller.program {
        return Ok((program.clone(), messages::Origin::Existing));
    }
    if let history::HistorySource::Continuation(continuation) = &caller.history {
        return Ok((continuation.program.clone(), messages::Origin::Existing));
    }
    if let Some(conversation) = &caller.conversation {
        return Err(errors::Refusal::BadField {
            field: "x-flamingotrail-program".into(),
            detail: format!("name the program of {conversation}"),
        });
    }
    let key = world.rng.draw();
    if let Some(idempotency_key) = &caller.idempotency_key {
        return Ok(named_by_key(world, workspace, caller, idempotency_key));
    }
    let home = match &caller.parent {
        Some(parent) => parent.home.clone(),
        None => {
            let region = world.identity.region.clone();
            let count = partition_count(world, &region);
            let index = u16::try_from(world.rng.below(u64::from(count))).unwrap_or(0);
            ids::Partition::new(&region, index)
        }
    };
    Ok((ids::ProgramId::new(&home, key), messages::Origin::Fresh))
}

/// A first call with an idempotency key gets the same ids whichever entry takes it, so that a
/// repeat meets the recorded outcome.
fn named_by_key(
    world: &world::World,
    workspace: &ids::WorkspaceName,
    caller: &input::CallerRequest,
    idempotency_key: &str,
) -> (ids::ProgramId, messages::Origin) {
    let digest = digest::Hasher::new("idempotency")
        .with_bytes(workspace.as_str().as_bytes())
        .with_bytes(idempotency_key.as_bytes())
        .finish();
    let mut numbers = digest.0.chunks_exact(8).map(|chunk| {
        let mut bytes = [0; 8];
        bytes.copy_from_slice(chunk);
        u64::from_le_bytes(bytes)
    });
    let mut number = || numbers.next().unwrap_or(0);
    let home = match &caller.parent {
        Some(parent) => parent.home.clone(),
        None => {
            let regions: Vec<&ids::RegionName> =
                world.objects().map(|objects| objects.regions.keys().collect()).unwrap_or_default();
            let chosen = number() % (regions.len().max(1) as u64);
            let chosen = usize::try_from(chosen).unwrap_or(0);
            let region = regions.get(chosen).copied().unwrap_or(&world.identity.region);
            let count = u64::from(partition_count(world, region));
            ids::Partition::new(region, u16::try_from(number() % count).unwrap_or(0))
        }
    };
    (ids::ProgramId::new(&home, number()), messages::Origin::Started)
}

fn partition_count(world: &world::World, region: &ids::RegionName) -> u16 {
    let region = world.objects().and_then(|objects| objects.regions.get(region));
    region.map_or(1, |region| region.partitions.max(1))
}
