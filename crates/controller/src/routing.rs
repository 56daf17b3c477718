//! Routes each input to the part of the controller that owns it.

use crate::calls::CallContext;
use crate::controller::Controller;
use crate::messages::{CallId, Input, Output, Request, RequestId, StoreReply, Time, WorkerReply};

impl Controller {
    /// Processes one input and returns the resulting outputs, to be carried out in order.
    ///
    /// `now` is the time on the monotonic clock and `wall_time_s` is the Unix time, both in
    /// seconds.
    pub fn handle(&mut self, now: Time, wall_time_s: f64, input: Input) -> Vec<Output> {
        self.now = self.now.max(now);
        self.wall_time_s = wall_time_s;
        self.route(input);
        self.tick();
        std::mem::take(&mut self.outputs)
    }

    fn route(&mut self, input: Input) {
        match input {
            Input::Tick => {}
            Input::Request(id, request) => self.on_request(id, request),
            Input::Store(id, reply) => self.on_store_input(id, reply),
            Input::Cloud(id, reply) => {
                if let Some(call) = self.calls.complete(id) {
                    self.on_cloud_reply(call.context, reply);
                }
            }
            Input::PeerView(view) => self.on_peer_view(view),
            Input::ForwardRequest(id, request) => self.on_forward_request(id, request),
            Input::ForwardReply(id, reply) => {
                if self.calls.complete(id).is_some() {
                    self.on_forward_reply(reply);
                }
            }
            Input::Worker(id, reply) => self.on_worker_input(id, reply),
        }
    }

    fn on_request(&mut self, id: RequestId, request: Request) {
        match request {
            Request::Submit(body) => self.on_submit(id, &body),
            Request::QueryStatus(job) => self.on_status_query(id, &job),
            Request::Cancel(job) => self.on_cancel(id, &job),
            Request::Heartbeat(body) => self.on_heartbeat(id, &body),
            Request::HealthCheck => self.on_health_check(id),
        }
    }

    fn on_worker_input(&mut self, id: CallId, reply: WorkerReply) {
        let context = self.calls.complete(id).map(|call| call.context);
        if let Some(CallContext::WorkerCall { token, machine, session }) = context {
            self.on_worker_reply(token, &machine, session, reply);
        }
    }

    /// Updates the store's health from the reply, then routes the reply.
    fn on_store_input(&mut self, id: CallId, reply: StoreReply) {
        let Some(call) = self.calls.complete(id) else { return };
        self.hedged_requests.record_reply(&reply);
        self.store_health.record_reply(self.now, call.sent_at, &reply);
        self.on_store_reply(call.context, reply);
    }

    /// Routes the reply to a store call, or to a hedged transaction, by the context of the call.
    pub(crate) fn on_store_reply(&mut self, context: CallContext, reply: StoreReply) {
        match context {
            CallContext::LeaderRead => self.on_leader_read(reply),
            CallContext::LeaderWatch => self.on_leader_watch(reply),
            CallContext::TypesRead => self.on_types_read(reply),
            CallContext::Grant => self.on_lease_grant_reply(reply),
            CallContext::Campaign { lease } => self.on_campaign_reply(lease, reply),
            CallContext::CampaignRead { lease } => self.on_campaign_read(lease, reply),
            CallContext::Renew { token, sent } => self.on_renewal_reply(token, sent, reply),
            CallContext::RecoveryPage { token, sent } => self.on_recovery_page(token, sent, reply),
            CallContext::JobWatch { token, sent } => self.on_job_watch(token, sent, reply),
            CallContext::Commit { token, serial } => self.on_commit_reply(token, serial, reply),
            CallContext::ArchiveMove { token } => self.on_archive_move_reply(token, reply),
            CallContext::FormatGateRead => self.on_format_gate_read(reply),
            CallContext::FormatRead { token } => self.on_format_read(token, reply),
            CallContext::FormatWrite { token, format } => self.on_format_write(token, format, reply),
            CallContext::DependencyRead { token, id, in_archive } => {
                self.on_dependency_read(token, &id, in_archive, reply);
            }
            CallContext::ImagesWrite { token } => self.on_images_write(token, reply),
            CallContext::ImagesRead { token, part } => self.on_images_read(token, part, reply),
            CallContext::ReadBackRecord { token, key } => self.on_read_back_record(token, &key, reply),
            client_call => self.on_client_call_reply(client_call, reply),
        }
    }

    /// Routes the reply to a call that was made for a client's request.
    fn on_client_call_reply(&mut self, context: CallContext, reply: StoreReply) {
        match context {
            CallContext::StatusCacheWatch => self.on_status_cache_watch(reply),
            CallContext::ExistenceCheck => self.on_existence_check(reply),
            CallContext::JobRead { id, location } => self.on_job_read(&id, location, reply),
            CallContext::CancellationMarkCompare { id, record, version } => {
                self.on_cancellation_mark_compared(&id, &record, version, reply);
            }
            CallContext::SpecChunks { token, record, version, pieces } => {
                self.on_spec_chunks(token, record, version, pieces, reply);
            }
            CallContext::CreateChunks { id } => self.on_chunks_stored(&id, reply),
            CallContext::Create { id } => self.on_job_created(&id, reply),
            CallContext::CancelRead { id, tries, location } => {
                self.on_cancel_read(&id, tries, location, reply);
            }
            CallContext::CancelWrite { id, tries } => self.on_cancel_write(&id, tries, reply),
            CallContext::Hedged { id } => self.on_hedged_reply(id, reply),
            CallContext::HedgedReadBack { id } => self.on_hedged_read_back(id, reply),
            // Nothing depends on the reply, or the call was not made to the store.
            _ => {}
        }
    }
}
