//! What the process beside an endpoint asks of it.

use flamingotrail_core::ids;
use flamingotrail_core::messages;
use flamingotrail_core::work;
use flamingotrail_wire::engine;

use crate::http;

/// Takes pieces of an answer's text as they come.
pub type TextSink = Box<dyn FnMut(&str)>;

/// An endpoint: a model engine or a runner of a plain service.
pub trait Endpoint {
    /// Runs a job. Pieces of text go to `sink`; the whole text stands in the answer as well.
    ///
    /// Dropping the future cancels the job at the endpoint.
    fn run<'a>(
        &'a self,
        dispatch: &'a messages::Dispatch,
        fence: Option<ids::FencingToken>,
        sink: TextSink,
    ) -> http::Local<'a, work::AttemptOutcome>;

    /// Lets go of cached context: whether the endpoint confirmed it.
    fn release(&self, hold: ids::HoldId, fence: Option<ids::FencingToken>)
        -> http::Local<'_, bool>;

    /// What the endpoint reports. None where it does not answer.
    fn report(&self) -> http::Local<'_, Option<engine::Report>>;
}
