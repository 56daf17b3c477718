//! Responses to HTTP requests.

use crate::controller::Controller;
use crate::messages::{HttpResponse, Output, RequestId};
use protocol::job::ErrorResponse;

/// HTTP status code of a response to a request that may succeed if it is repeated.
const SERVICE_UNAVAILABLE: u16 = 503;
/// Seconds after which such a request may be repeated. Clients wait at least one second in any case.
const RETRY_AFTER_S: u32 = 1;

impl Controller {
    /// Answers request `id` with an encoded body.
    pub(crate) fn respond(&mut self, id: RequestId, status: u16, body: Vec<u8>) {
        self.outputs.push(Output::Response(id, HttpResponse { status, body, retry_after_s: None }));
    }

    /// Answers request `id` with an error text.
    pub(crate) fn respond_error(&mut self, id: RequestId, status: u16, error: &str) {
        let body = protocol::encode(&ErrorResponse { error: error.to_string() });
        let retry_after_s = (status == SERVICE_UNAVAILABLE).then_some(RETRY_AFTER_S);
        self.outputs.push(Output::Response(id, HttpResponse { status, body, retry_after_s }));
    }
}
