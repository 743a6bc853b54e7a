//! Records what endpoints announce of themselves when their responses begin, since a stream may end
//! much later, and tells the other gateways.

use std::time;

use flamingotrail_core::time as core_time;

use crate::ids;
use crate::input;
use crate::output;
use crate::systems::leaving_checks;
use crate::tables::timers;
use crate::world;

/// Time that a message between gateways may take. What it says counts as older by this time, so that
/// it never overrides what is really newer.
const MAX_MESSAGE_DELAY: time::Duration = time::Duration::from_millis(500);
/// Minimum time between two messages to a gateway; announcements may change with each response.
const TELL_INTERVAL: time::Duration = time::Duration::from_millis(1_000);

/// A notice of an endpoint, and where it comes from.
struct News {
    endpoint: ids::EndpointId,
    notice: input::Notice,
    /// When the request was sent whose response contained the notice.
    sent_at: core_time::Timestamp,
    /// The source as `key=value` pairs for the log.
    source: String,
}

/// Applies the notices in the inbox, and tells the other gateways of what has changed.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    for (call, attempt, notice) in std::mem::take(&mut world.tables.inbox.notices) {
        apply_response(world, tick, call, attempt, notice);
    }
    for (endpoint, notice) in std::mem::take(&mut world.tables.inbox.endpoint_checks) {
        apply_check(world, tick, endpoint, notice);
    }
    for peer_notice in std::mem::take(&mut world.tables.inbox.peer_notices) {
        apply_peer_notice(world, tick, peer_notice);
    }
    for ticket in std::mem::take(&mut world.tables.inbox.notice_requests) {
        let notices = world.tables.notices.all(tick.now);
        world.emit(output::Output::RespondToNotices(ticket, notices));
    }
    if std::mem::take(&mut world.tables.dirty.untold_notices) {
        tell_peers(world, tick);
    }
    if std::mem::take(&mut world.tables.dirty.unasked_notices) {
        ask_peers(world);
    }
}

/// Applies the notice of a response to one of this gateway's requests.
fn apply_response(
    world: &mut world::World,
    tick: &world::Tick,
    id: ids::CallId,
    attempt: u32,
    notice: input::Notice,
) {
    let calls = &mut world.tables.calls.rows;
    let Some(call) = calls.get_mut(&id).filter(|call| call.attempts == attempt) else { return };
    let Some(running) = call.running.as_mut() else { return };
    running.began_at = Some(tick.now);
    let running = running.clone();
    let request = call.arrival.id.clone();
    let sent_ms_ago = tick.now.since(running.sent_at).as_millis();
    let source = format!("request={request} sent_ms_ago={sent_ms_ago}");
    let sent_at = running.sent_at;
    let news = News { endpoint: running.endpoint, notice, sent_at, source };
    if apply_news(world, tick, &news) {
        tell_later(world, news);
    }
}

/// Applies the notice of a health check.
fn apply_check(
    world: &mut world::World,
    tick: &world::Tick,
    endpoint: ids::EndpointId,
    notice: Option<input::Notice>,
) {
    let Some(sent_at) = world.tables.notices.checked_at(&endpoint) else { return };
    let Some(notice) = notice else { return };
    let news = News { endpoint, notice, sent_at, source: "request=check".to_owned() };
    if apply_news(world, tick, &news) {
        tell_later(world, news);
    }
}

/// Marks an announcement that the other gateways have to be told of.
fn tell_later(world: &mut world::World, news: News) {
    world.tables.notices.untold.insert(news.endpoint, (news.notice, news.sent_at));
    world.tables.dirty.untold_notices = true;
}

/// Applies a notice that another gateway has told.
fn apply_peer_notice(world: &mut world::World, tick: &world::Tick, told: input::PeerNotice) {
    let input::PeerNotice { endpoint, notice, age } = told;
    let sent_at = tick.now.before(age + MAX_MESSAGE_DELAY);
    let source = format!("request=peer sent_ms_ago={}", age.as_millis());
    apply_news(world, tick, &News { endpoint, notice, sent_at, source });
}

/// Applies a notice. Returns whether it has changed anything.
fn apply_news(world: &mut world::World, tick: &world::Tick, news: &News) -> bool {
    let has_limit_changed = apply_limit(world, tick, news);
    let News { endpoint, notice, sent_at, source } = news;
    let notices = &mut world.tables.notices;
    let has_leaving_changed = notices.update_leaving(endpoint, *notice, *sent_at, tick.now);
    if has_leaving_changed {
        leaving_checks::schedule(world, tick);
        let detail = format_args!("endpoint={endpoint} leaving={} {source}", notice.is_leaving);
        world.emit_event("endpoint_leaving", detail);
    }
    has_limit_changed || has_leaving_changed
}

/// Applies what a notice says of the endpoint's limit. Returns whether that has changed.
fn apply_limit(world: &mut world::World, tick: &world::Tick, news: &News) -> bool {
    let News { endpoint, notice, sent_at, source } = news;
    let phase = phase(world, endpoint);
    let notices = &mut world.tables.notices;
    let before = notices.limit(endpoint).map(|limit| limit.max_requests_per_s);
    if !notices.update_limit(endpoint, *notice, *sent_at, phase, tick.now) {
        return false;
    }
    let share = limit_text(notices.share_per_s(endpoint));
    let (named, before) = (limit_text(notice.max_requests_per_s), limit_text(before));
    let detail = format_args!(
        "endpoint={endpoint} per_s={named} before={before} share_per_s={share} {source}"
    );
    world.emit_event("endpoint_limit", detail);
    true
}

/// Asks the nearest other gateways for the announcements that they know.
fn ask_peers(world: &mut world::World) {
    let peers = world.tables.peers.asked_at_start(&world.identity);
    let asks = peers.map(|(name, peer)| output::Output::AskNotices {
        peer: name.clone(),
        address: peer.address.clone(),
    });
    world.outputs.extend(asks);
    world.tables.notices.has_asked = true;
}

/// Tells all other gateways of the announcements that they have not been told of.
fn tell_peers(world: &mut world::World, tick: &world::Tick) {
    let tables = &mut world.tables;
    if let Some(next_at) = tables.notices.told_at.map(|told_at| told_at.after(TELL_INTERVAL)) {
        if next_at > tick.now {
            tables.timers.set(timers::Timer::TellNotices, next_at);
            return;
        }
    }
    let untold = std::mem::take(&mut tables.notices.untold);
    if untold.is_empty() {
        return;
    }
    tables.notices.told_at = Some(tick.now);
    let told: Vec<input::PeerNotice> = untold
        .into_iter()
        .map(|(endpoint, (notice, sent_at))| input::PeerNotice {
            endpoint,
            notice,
            age: tick.now.since(sent_at),
        })
        .collect();
    let messages = tables.peers.rows.iter().map(|(name, peer)| output::Output::TellNotices {
        peer: name.clone(),
        address: peer.address.clone(),
        notices: told.clone(),
    });
    world.outputs.extend(messages);
}

/// Returns the part of the interval between two requests to `endpoint` after which this gateway sends
/// its first one. Gateways learn of a limit at about the same time, and each takes its own place, so
/// that their requests are evenly distributed.
fn phase(world: &world::World, endpoint: &ids::EndpointId) -> f64 {
    let peers = &world.tables.peers;
    let place = peers.place(&world.identity.instance, endpoint.as_str());
    (place + 1) as f64 / (peers.rows.len() + 1) as f64
}

fn limit_text(per_s: Option<f64>) -> String {
    per_s.map_or_else(|| "none".to_owned(), |limit| format!("{limit:.3}"))
}
