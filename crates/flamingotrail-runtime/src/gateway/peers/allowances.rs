//! Messages about the allowances of workspaces: requests to their owners, and the question what a
//! gateway holds.

use std::io;

use actix_http::Method;
use bytes::Bytes;
use flamingotrail_adapter::connection;
use flamingotrail_adapter::idle;
use flamingotrail_gateway::ids;
use flamingotrail_gateway::input;
use flamingotrail_gateway::leases;
use flamingotrail_wire::allowances as wire;

use crate::gateway::peers;
use crate::gateway::peers::ok_or_log;

/// Path of the messages.
pub const PATH: &str = "/v1/allowances";
/// Query parameter with the name of the gateway that asks.
const OWNER: &str = "owner";
/// Query parameter with the kind of the question.
const QUESTION: &str = "for";
/// Kinds of questions by their names on the wire.
const QUESTIONS: [(&str, leases::Question); 3] = [
    ("listed", leases::Question::Listed),
    ("unlisted", leases::Question::Unlisted),
    ("check", leases::Question::Check),
];

/// Decodes another gateway's request or question; `None` if it is invalid.
pub fn decode_question(
    ticket: u64,
    request: &actix_http::Request,
    body: &[u8],
) -> Option<input::Input> {
    if request.method() == Method::POST {
        let request = Box::new(ok_or_log(wire::decode_request(body))?);
        return Some(input::Input::AllowancesRequested { ticket, request });
    }
    let query = request.uri().query()?;
    let owner = ids::InstanceName::new(parameter(query, OWNER)?);
    // A gateway that names no kind has become an owner.
    let name = parameter(query, QUESTION).unwrap_or("listed");
    let (_, question) = QUESTIONS.into_iter().find(|(known, _)| *known == name)?;
    Some(input::Input::HoldingsRequested { ticket, owner, question })
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Whether an error says that no process listens at the address.
fn is_refused(error: &connection::ConnectionError) -> bool {
    let connection::ConnectionError::Connect { error, .. } = error else { return false };
    error.kind() == io::ErrorKind::ConnectionRefused
}

impl peers::PeerLinks {
    /// Asks the owner of workspaces for leases and units.
    pub fn ask_allowances(
        &self,
        peer: ids::InstanceName,
        address: String,
        request: &leases::Request,
    ) {
        let number = request.number;
        let body = ok_or_log(wire::encode_request(request));
        let peers = self.clone();
        actix_rt::spawn(async move {
            let answer = match body {
                Some(body) => {
                    let response = peers.request(&peer, &address, "POST", PATH, body.into()).await;
                    response.and_then(|response| response.decode(wire::decode_answer))
                }
                None => None,
            };
            peers.inputs.send(input::Input::AllowancesAnswered { peer, number, answer });
        });
    }

    /// Responds to another gateway's request for leases and units.
    pub fn respond_to_allowances(&self, ticket: u64, answer: &leases::Answer) {
        self.respond(ticket, wire::encode_answer(answer));
    }

    /// Asks another gateway what it holds.
    pub fn ask_holdings(
        &self,
        peer: ids::InstanceName,
        address: String,
        owner: &ids::InstanceName,
        question: leases::Question,
    ) {
        let name = QUESTIONS.iter().find(|(_, known)| *known == question);
        let name = name.map_or("listed", |(name, _)| *name);
        let path = format!("{PATH}?{OWNER}={owner}&{QUESTION}={name}");
        let peers = self.clone();
        actix_rt::spawn(async move {
            let reuse = idle::Reuse::Idle;
            let response = peers.send_request(&peer, &address, "GET", &path, Bytes::new(), reuse);
            let report = match response.await {
                Ok(Some(response)) => response
                    .decode(wire::decode_holdings)
                    .map_or(leases::Report::Unknown, leases::Report::Holdings),
                Err(error) if is_refused(&error) => leases::Report::Ended,
                _ => leases::Report::Unknown,
            };
            peers.inputs.send(input::Input::HoldingsReported { peer, report });
        });
    }

    /// Responds to another gateway's question what this one holds.
    pub fn respond_to_holdings(&self, ticket: u64, holdings: &leases::Holdings) {
        self.respond(ticket, wire::encode_holdings(holdings));
    }
}
