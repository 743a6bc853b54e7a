//! Applies configurations; an older version never replaces a newer one.

use crate::world;

/// Applies the configurations in the inbox.
pub fn run(world: &mut world::World, _tick: &world::Tick) {
    for configuration in std::mem::take(&mut world.tables.inbox.configurations) {
        let version = configuration.version;
        let (routes, services) = (configuration.routes.len(), configuration.services.len());
        let before = world.tables.routes.version();
        let tables = &mut world.tables;
        if tables.routes.replace(configuration) {
            let current = &tables.routes;
            tables.dirty.workspaces = true;
            tables.profiles.retain(|service| current.service(service).is_some());
            world.emit_event(
                "configuration_in_force",
                format_args!(
                    "version={version} before={} routes={routes} services={services}",
                    before.map_or_else(|| "none".to_owned(), |version| version.to_string())
                ),
            );
        }
    }
}
