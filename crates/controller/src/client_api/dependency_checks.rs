//! Checks of the dependencies that a submission names.
//!
//! All of them must have been accepted, and none may be a service, which is never done. A
//! dependency that is done need not be waited for; with one that is cancelled the submitted job
//! is cancelled from the start.

use crate::{Controller, RequestId};
use protocol::job::{JobSpec, JobStatus};
use std::collections::BTreeSet;
use tracing::info;

/// Dependencies that may be looked up at a time: as many as a request of 64 KiB can name.
const MAX_DEPENDENCY_LOOKUPS: usize = 8_000;
/// Dependencies that a log line names.
const MAX_LOGGED_DEPENDENCIES: usize = 16;

/// A submission whose dependencies are being looked up.
pub(super) struct DependencyCheck {
    /// Requests that submitted it.
    waiting: Vec<RequestId>,
    /// The job, without the dependencies that are done.
    spec: JobSpec,
    /// Its dependencies, for the log.
    logged_names: String,
    /// Dependencies whose lookup is not finished.
    unresolved: BTreeSet<String>,
    /// One of the dependencies is cancelled.
    cancelled: bool,
}

/// What the store says of a dependency.
pub(crate) enum DependencyLookup {
    /// It has been accepted.
    Known {
        /// Its status.
        status: JobStatus,
        /// Whether it is a service.
        service: bool,
    },
    /// It was never accepted.
    Missing,
    /// The store could not be read.
    Unavailable,
}

/// Why a submission is refused after a lookup of its dependencies.
#[derive(Debug, Clone, Copy, thiserror::Error)]
enum DependencyError {
    /// A dependency is a service.
    #[error("it awaits a service, which is never done")]
    Service,
    /// A dependency was never accepted.
    #[error("it awaits a job that was never accepted")]
    Missing,
    /// The store could not be read.
    #[error("awaited jobs cannot be looked up now")]
    Unavailable,
}

impl DependencyError {
    /// HTTP status code of the response.
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
            logged_names: logged.join(","),
            spec,
            unresolved,
            cancelled: false,
        }
    }

    /// Takes in the lookup of one dependency.
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
        // The operators announce dependencies to users only after every node has this version.
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

    /// Takes in the lookup of one dependency of submission `id`.
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
        info!(job = %id, awaits = %check.logged_names, "job has dependencies");
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
                // The repeated submission of a known job gets its status, whatever it names now.
                self.query_status(request_id, id, status_code, &message);
            } else {
                self.respond_error(request_id, status_code, &message);
            }
        }
    }
}
