//! Interface between an instance and the endpoint that it serves.

use flamingotrail_core::ids;
use flamingotrail_core::messages;
use flamingotrail_core::work;
use flamingotrail_wire::engine;

use crate::http;

/// Callback that receives chunks of response text as they arrive.
pub type TextSink = Box<dyn FnMut(&str)>;

/// An endpoint: a model engine or a service runner.
pub trait Endpoint {
    /// Runs the job of an attempt. Text is passed to `sink` as it arrives; the response in the
    /// returned outcome contains the full text.
    ///
    /// Dropping the future cancels the job at the endpoint.
    fn run<'a>(
        &'a self,
        dispatch: &'a messages::Dispatch,
        fencing_token: Option<ids::FencingToken>,
        sink: TextSink,
    ) -> http::LocalFuture<'a, work::AttemptOutcome>;

    /// Releases a hold on cached context. Returns whether the endpoint confirmed the release.
    fn release(
        &self,
        hold: ids::HoldId,
        fencing_token: Option<ids::FencingToken>,
    ) -> http::LocalFuture<'_, bool>;

    /// Fetches the endpoint's load report, or `None` if it can't be fetched.
    fn report(&self) -> http::LocalFuture<'_, Option<engine::Report>>;
}
