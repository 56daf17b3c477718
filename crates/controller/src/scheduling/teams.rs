//! Team quotas: what each team may still add under its limit, and which jobs its guarantee covers.

use crate::model::job::Job;
use crate::scheduling::planner_input::{JobIds, PlanningContext};
use planner::Resources;
use protocol::job::JobSpec;
use settings::Team;

/// Tolerance when sums of cores or accelerators are compared with a quota.
const QUOTA_TOLERANCE: f64 = 1e-6;

/// What each team may still add under its limit.
pub(super) struct TeamQuotas<'a> {
    /// The teams as the settings have them, by number.
    settings: &'a [Team],
    /// What the planner gets, by number.
    pub teams: Vec<planner::TeamQuota>,
    /// Whether usage counts against the limits.
    enforced: bool,
}

impl<'a> TeamQuotas<'a> {
    /// The limits less what jobs with undecodable records take.
    pub fn new(context: &PlanningContext<'a>) -> Self {
        let settings: &[Team] = &context.controller.settings.params.teams;
        let limit = |quota: f64| (quota > 0.0).then_some(quota);
        let to_planner_team = |team: &Team| planner::TeamQuota {
            cores_left: limit(team.cores_max),
            accelerators_left: limit(team.accelerators_max),
        };
        let teams = settings.iter().map(to_planner_team).collect();
        let mut quotas = TeamQuotas { settings, teams, enforced: context.controller.checks.quota };
        for (team, usage) in context.leader.undecodable_usage(context.now) {
            quotas.subtract(quotas.index_of(team), &usage);
        }
        quotas
    }

    /// The number of a team.
    pub fn index_of(&self, name: &str) -> Option<usize> {
        team_index(self.settings, name)
    }

    /// Counts `usage` against the limits of a team.
    pub fn subtract(&mut self, team: Option<usize>, usage: &Resources) {
        let Some(team) = team.filter(|_| self.enforced) else { return };
        let team = &mut self.teams[team];
        if let Some(cores) = &mut team.cores_left {
            *cores -= usage.cores;
        }
        if let Some(accelerators) = &mut team.accelerators_left {
            *accelerators -= usage.accelerators;
        }
    }

    /// Whether the team may add a task of the job.
    pub fn allows_task(&self, team: usize, spec: &JobSpec) -> bool {
        let fits = |left: Option<f64>, need: f64| left.is_none_or(|left| need <= left + QUOTA_TOLERANCE);
        let team = &self.teams[team];
        fits(team.cores_left, spec.cores) && fits(team.accelerators_left, spec.accelerators)
    }
}

fn team_index(teams: &[Team], name: &str) -> Option<usize> {
    teams.iter().position(|team| team.name == name)
}

/// What a team's jobs need together.
#[derive(Debug, Default, Clone, Copy)]
struct TeamDemand {
    cores: f64,
    accelerators: f64,
}

impl TeamDemand {
    fn with(self, job: &Job) -> Self {
        let open_tasks = f64::from(job.spec.tasks - job.done_count);
        TeamDemand {
            cores: self.cores + job.spec.cores * open_tasks,
            accelerators: self.accelerators + job.spec.accelerators * open_tasks,
        }
    }

    /// Whether it is within the team's guarantee. A quota of 0 is none.
    fn is_guaranteed(&self, team: &Team) -> bool {
        (team.cores > 0.0 || team.accelerators > 0.0)
            && (team.cores == 0.0 || self.cores <= team.cores + QUOTA_TOLERANCE)
            && (team.accelerators == 0.0 || self.accelerators <= team.accelerators + QUOTA_TOLERANCE)
    }
}

/// Ids of the jobs that their teams' guarantees cover: a team's unfinished jobs, the oldest first.
/// `jobs`: in that order, without those that wait for others, which need nothing of it yet.
pub(super) fn guaranteed_jobs<'a>(
    context: &PlanningContext<'a>,
    jobs: &[(&'a String, &'a Job)],
) -> JobIds<'a> {
    let teams = &context.controller.settings.params.teams;
    let mut demands = vec![TeamDemand::default(); teams.len()];
    let mut guaranteed = JobIds::new();
    for (id, job) in jobs {
        let Some(team) = team_index(teams, &job.spec.team) else { continue };
        demands[team] = demands[team].with(job);
        if demands[team].is_guaranteed(&teams[team]) {
            guaranteed.insert(id);
        }
    }
    guaranteed
}
