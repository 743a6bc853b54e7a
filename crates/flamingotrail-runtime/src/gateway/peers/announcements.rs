//! Messages that gateways tell each other about endpoints: announcements, and crashes by requests.

use actix_http::StatusCode;
use bytes::Bytes;
use flamingotrail_gateway::ids;
use flamingotrail_gateway::input;
use flamingotrail_wire::gateway as wire;

use crate::gateway::peers;
use crate::gateway::peers::ok_or_log;

/// Path for announcements of endpoints.
pub const NOTICES_PATH: &str = "/v1/notices";
/// Path for crashes of endpoints by requests.
pub const CRASHES_PATH: &str = "/v1/crashes";
/// Path for requests that endpoints have survived.
pub const SURVIVALS_PATH: &str = "/v1/survivals";

impl peers::PeerLinks {
    pub(super) fn receive_notices(&self, body: &[u8]) -> StatusCode {
        match wire::decode_notices(body) {
            Ok(notices) => {
                self.inputs.send(input::Input::PeerNotices(notices));
                StatusCode::OK
            }
            Err(error) => {
                log::warn!("event=peer_notices_invalid error={:?}", error.to_string());
                StatusCode::BAD_REQUEST
            }
        }
    }

    pub(super) fn receive_crashes(&self, body: &[u8]) -> StatusCode {
        let Some(crashes) = ok_or_log(wire::decode_crashes(body)) else {
            return StatusCode::BAD_REQUEST;
        };
        self.inputs.send(input::Input::PeerCrashes(crashes));
        StatusCode::OK
    }

    pub(super) fn receive_survivals(&self, body: &[u8]) -> StatusCode {
        let Some(survivals) = ok_or_log(wire::decode_survivals(body)) else {
            return StatusCode::BAD_REQUEST;
        };
        self.inputs.send(input::Input::PeerSurvivals(survivals));
        StatusCode::OK
    }

    /// Responds to another gateway's request for crashes of endpoints by requests.
    pub fn respond_to_crashes(&self, ticket: u64, crashes: &[input::PeerCrash]) {
        self.respond(ticket, wire::encode_crashes(crashes));
    }

    /// Asks another gateway for crashes of endpoints by requests.
    pub fn ask_crashes(&self, peer: ids::InstanceName, address: String) {
        let peers = self.clone();
        actix_rt::spawn(async move {
            let response = peers
                .request_persistently(&peer, &address, "GET", CRASHES_PATH, Bytes::new())
                .await;
            if let Some(crashes) =
                response.and_then(|response| response.decode(wire::decode_crashes))
            {
                peers.inputs.send(input::Input::KnownCrashes(crashes));
            }
        });
    }

    /// Tells another gateway of requests that endpoints have survived.
    pub fn tell_survivals(
        &self,
        peer: ids::InstanceName,
        address: String,
        survivals: &[ids::Fingerprint],
    ) {
        let Some(body) = ok_or_log(wire::encode_survivals(survivals)) else { return };
        let peers = self.clone();
        actix_rt::spawn(async move {
            let path = SURVIVALS_PATH;
            // A gateway that is not reached tries such a request before it keeps it away.
            peers.request_persistently(&peer, &address, "POST", path, body.into()).await;
        });
    }

    /// Tells another gateway of crashes of endpoints by requests.
    pub fn tell_crashes(
        &self,
        peer: ids::InstanceName,
        address: String,
        crashes: &[input::PeerCrash],
    ) {
        let Some(body) = ok_or_log(wire::encode_crashes(crashes)) else { return };
        let peers = self.clone();
        actix_rt::spawn(async move {
            // A gateway that is not reached learns of the request by itself.
            peers.request_persistently(&peer, &address, "POST", CRASHES_PATH, body.into()).await;
        });
    }

    /// Responds to another gateway's request for announcements of endpoints.
    pub fn respond_to_notices(&self, ticket: u64, notices: &[input::PeerNotice]) {
        self.respond(ticket, wire::encode_notices(notices));
    }

    /// Asks another gateway for announcements of endpoints.
    pub fn ask_notices(&self, peer: ids::InstanceName, address: String) {
        let peers = self.clone();
        actix_rt::spawn(async move {
            let response = peers
                .request_persistently(&peer, &address, "GET", NOTICES_PATH, Bytes::new())
                .await;
            if let Some(notices) =
                response.and_then(|response| response.decode(wire::decode_notices))
            {
                peers.inputs.send(input::Input::PeerNotices(notices));
            }
        });
    }

    /// Tells another gateway of announcements of endpoints.
    pub fn tell_notices(
        &self,
        peer: ids::InstanceName,
        address: String,
        notices: &[input::PeerNotice],
    ) {
        let body = match wire::encode_notices(notices) {
            Ok(body) => body,
            Err(error) => {
                log::error!("event=notices_encoding_failed error={:?}", error.to_string());
                return;
            }
        };
        let peers = self.clone();
        actix_rt::spawn(async move {
            // Without a response, the other gateway learns from its own requests.
            peers.request_persistently(&peer, &address, "POST", NOTICES_PATH, body.into()).await;
        });
    }
}
