//! Checks of the dependencies that a submission names.
//!
//! All of them must have been accepted, and none may be a service, because a service is never done.
//! Dependencies that are already done are removed from the job. If a dependency is already
//! cancelled, the submitted job is stored as cancelled.

use crate::{Controller, RequestId};
use protocol::job::{JobSpec, JobStatus};
use std::collections::BTreeSet;
use tracing::info;

/// Maximum number of dependency lookups in progress: as many as one request of 64 KiB can name.
const MAX_DEPENDENCY_LOOKUPS: usize = 8_000;
/// Maximum number of dependencies named in a log line.
const MAX_LOGGED_DEPENDENCIES: usize = 16;

/// A submission whose dependencies are being looked up.
pub(super) struct DependencyCheck {
    /// Requests that submitted it.
    waiting: Vec<RequestId>,
    /// The job, without the dependencies that are done.
    spec: JobSpec,
    /// Ids of the dependencies, for the log.
    logged_dependencies: String,
    /// Ids of the dependencies whose lookup is not finished.
    unresolved: BTreeSet<String>,
    /// Whether a dependency is cancelled.
    cancelled: bool,
}

/// Result of the lookup of a dependency.
pub(crate) enum DependencyLookup {
    /// The job was accepted.
    Known {
        /// Status of the job.
        status: JobStatus,
        /// Whether the job is a service.
        service: bool,
    },
    /// No such job was accepted.
    Missing,
    /// The store could not be read.
    Unavailable,
}

/// Reason for refusing a submission because of its dependencies.
#[derive(Debug, Clone, Copy, thiserror::Error)]
enum DependencyError {
    /// A dependency is a service.
    #[error("it awaits a service, which is never done")]
    Service,
    /// A dependency does not exist.
    #[error("it awaits a job that was never accepted")]
    Missing,
    /// The store could not be read.
    #[error("awaited jobs cannot be looked up now")]
    Unavailable,
}

impl DependencyError {
    /// Returns the HTTP status code of the response.
    fn status_code(self) -> u16 {
        match self {
            DependencyError::Service | DependencyError::Missing => 422,
            DependencyError::Unavailable => 503,
        }
    }
}

impl DependencyCheck {
    fn new(request_id: RequestId, spec: JobSpec) -> Self {
        let unresolved: BTreeSet<String> = spec.dependencies.iter().cloned().collect();
        let logged: Vec<&str> = unresolved.iter().take(MAX_LOGGED_DEPENDENCIES).map(String::as_str).collect();
        DependencyCheck {
            waiting: vec![request_id],
            logged_dependencies: logged.join(","),
            spec,
            unresolved,
            cancelled: false,
        }
    }

    /// Applies the result of the lookup of one dependency.
    fn resolve(&mut self, dependency: &str, lookup: DependencyLookup) -> Result<(), DependencyError> {
        let status = match lookup {
            DependencyLookup::Known { service: true, .. } => return Err(DependencyError::Service),
            DependencyLookup::Known { status, .. } => status,
            DependencyLookup::Missing => return Err(DependencyError::Missing),
            DependencyLookup::Unavailable => return Err(DependencyError::Unavailable),
        };
        self.cancelled |= status == JobStatus::Cancelled;
        if status == JobStatus::Done {
            self.spec.dependencies.retain(|id| id != dependency);
        }
        Ok(())
    }
}

impl Controller {
    /// Looks up the dependencies of a submission, then creates the job or refuses it.
    pub(super) fn check_dependencies(&mut self, request_id: RequestId, spec: JobSpec) {
        let id = spec.id.clone();
        // Operators announce dependencies to users only after every node runs this version, so such a
        // submission confirms the format.
        if self.formats.confirm() {
            info!("job with dependencies submitted: every node runs this version");
        }
        if spec.dependencies.contains(&id) {
            return self.query_status(request_id, &id, 422, "a job cannot await itself");
        }
        let checks = &mut self.client_requests.dependency_checks;
        if let Some(check) = checks.get_mut(&id) {
            return check.waiting.push(request_id);
        }
        let open_lookups: usize = checks.values().map(|check| check.unresolved.len()).sum();
        if open_lookups + spec.dependencies.len() > MAX_DEPENDENCY_LOOKUPS {
            return self.respond_error(request_id, 503, "busy");
        }
        let check = DependencyCheck::new(request_id, spec);
        let dependencies: Vec<String> = check.unresolved.iter().cloned().collect();
        checks.insert(id.clone(), check);
        for dependency in dependencies {
            self.look_up_dependency(&id, &dependency);
        }
    }

    /// Handles the result of the lookup of one dependency of submission `id`.
    pub(crate) fn on_dependency_checked(&mut self, id: &str, dependency: &str, lookup: DependencyLookup) {
        let Some(check) = self.client_requests.dependency_checks.get_mut(id) else { return };
        if !check.unresolved.remove(dependency) {
            return;
        }
        let outcome = check.resolve(dependency, lookup);
        if outcome.is_ok() && !check.unresolved.is_empty() {
            return;
        }
        let Some(check) = self.client_requests.dependency_checks.remove(id) else { return };
        match outcome {
            Ok(()) => self.create_checked_job(id, check),
            Err(error) => self.refuse_checked_job(id, check, error),
        }
    }

    fn create_checked_job(&mut self, id: &str, check: DependencyCheck) {
        info!(job = %id, awaits = %check.logged_dependencies, "job has dependencies");
        let status = if check.cancelled { JobStatus::Cancelled } else { JobStatus::Pending };
        for request_id in check.waiting {
            self.create_job(request_id, check.spec.clone(), status);
        }
    }

    fn refuse_checked_job(&mut self, id: &str, check: DependencyCheck, error: DependencyError) {
        let status_code = error.status_code();
        let message = error.to_string();
        for request_id in check.waiting {
            if status_code == 422 {
                // A repeated submission of a known job is answered with the job's status, even if it
                // names other dependencies now.
                self.query_status(request_id, id, status_code, &message);
            } else {
                self.respond_error(request_id, status_code, &message);
            }
        }
    }
}
