//! Request checks that an entry instance makes without the owner of the partition, and the
//! assignment of requests to programs.

use crate::digest;
use crate::errors;
use crate::history;
use crate::ids;
use crate::input;
use crate::messages;
use crate::work;
use crate::world;

/// Checks that the workspace may use the model or service and that the request has every field that
/// the work needs.
pub fn validate_work(
    world: &world::World,
    workspace: &ids::WorkspaceName,
    request: &input::CallerRequest,
) -> Result<(), errors::Refusal> {
    let config = world.config().ok_or(errors::Refusal::NoConfiguration)?;
    match &request.work {
        work::Work::Model { model, messages, .. } => {
            let is_allowed =
                config.workspaces.get(workspace).is_some_and(|w| w.models.contains(model));
            if !is_allowed || !config.models.contains_key(model) {
                return Err(errors::Refusal::UnknownModel(model.clone()));
            }
            if messages.is_empty() {
                let detail = "at least one message is needed".to_owned();
                return Err(errors::Refusal::BadField { field: "messages".into(), detail });
            }
        }
        work::Work::Service { service, .. } => {
            let service_config = config.services.get(service);
            let service_config =
                service_config.ok_or_else(|| errors::Refusal::UnknownService(service.clone()))?;
            if !service_config.repeatable
                && request.idempotency_key.is_none()
                && request.turn.is_none()
            {
                return Err(errors::Refusal::BadField {
                    field: "x-flamingotrail-idempotency-key".into(),
                    detail: "a call that is not repeatable needs an idempotency key or a turn"
                        .into(),
                });
            }
        }
        work::Work::EndProgram => {
            if request.program.is_none() {
                let detail = "ending a program requires its id".to_owned();
                return Err(errors::Refusal::BadField { field: "program".into(), detail });
            }
        }
    }
    Ok(())
}

/// Determines the program of a call: the one that the request or its continuation names, or a new
/// one in its parent's partition or, without a parent, in a random partition of this region.
pub fn assign_program(
    world: &mut world::World,
    workspace: &ids::WorkspaceName,
    request: &input::CallerRequest,
) -> Result<(ids::ProgramId, messages::ProgramOrigin), errors::Refusal> {
    if let Some(program) = &request.program {
        return Ok((program.clone(), messages::ProgramOrigin::Existing));
    }
    if let history::HistorySource::Continuation(continuation) = &request.history {
        return Ok((continuation.program.clone(), messages::ProgramOrigin::Existing));
    }
    if let Some(conversation) = &request.conversation {
        return Err(errors::Refusal::BadField {
            field: "x-flamingotrail-program".into(),
            detail: format!("the id of the program of {conversation} is required"),
        });
    }
    let key = world.rng.next_u64();
    if let Some(idempotency_key) = &request.idempotency_key {
        return Ok(derive_program_from_key(world, workspace, request, idempotency_key));
    }
    let home = match &request.parent {
        Some(parent) => parent.home.clone(),
        None => {
            let region = world.identity.region.clone();
            let count = partition_count(world, &region);
            let index = u16::try_from(world.rng.next_below(u64::from(count))).unwrap_or(0);
            ids::Partition::new(&region, index)
        }
    };
    Ok((ids::ProgramId::new(&home, key), messages::ProgramOrigin::Fresh))
}

/// Derives the program id from the idempotency key, so that every entry instance assigns the same
/// id and a retry reaches the recorded outcome.
fn derive_program_from_key(
    world: &world::World,
    workspace: &ids::WorkspaceName,
    request: &input::CallerRequest,
    idempotency_key: &str,
) -> (ids::ProgramId, messages::ProgramOrigin) {
    let digest = digest::Hasher::new("idempotency")
        .with_bytes(workspace.as_str().as_bytes())
        .with_bytes(idempotency_key.as_bytes())
        .finish();
    let mut values = digest.0.chunks_exact(8).map(|chunk| {
        let mut bytes = [0; 8];
        bytes.copy_from_slice(chunk);
        u64::from_le_bytes(bytes)
    });
    let mut next_value = || values.next().unwrap_or(0);
    let home = match &request.parent {
        Some(parent) => parent.home.clone(),
        None => {
            let regions: Vec<&ids::RegionName> =
                world.config().map(|config| config.regions.keys().collect()).unwrap_or_default();
            let chosen = next_value() % (regions.len().max(1) as u64);
            let chosen = usize::try_from(chosen).unwrap_or(0);
            let region = regions.get(chosen).copied().unwrap_or(&world.identity.region);
            let count = u64::from(partition_count(world, region));
            ids::Partition::new(region, u16::try_from(next_value() % count).unwrap_or(0))
        }
    };
    (ids::ProgramId::new(&home, next_value()), messages::ProgramOrigin::Started)
}

fn partition_count(world: &world::World, region: &ids::RegionName) -> u16 {
    let region = world.config().and_then(|config| config.regions.get(region));
    region.map_or(1, |region| region.partitions.max(1))
}
