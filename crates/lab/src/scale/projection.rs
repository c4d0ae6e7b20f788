//! What fitted metrics come to at the operators' size, and how predictions compare with what was measured later.

use super::fit::Fit;
use super::fleet_size::{FleetSize, OPERATORS_SIZE};
use super::metrics::{Metric, SESSION_METRICS};
use super::role_costs::Costs;
use serde::{Deserialize, Serialize};

/// How far a prediction may be off.
const TOLERANCE: f64 = 0.25;

/// A metric at the operators' size, computed from its slopes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Projection {
    /// The role.
    pub role: String,
    /// What is measured.
    pub name: String,
    /// Its unit.
    pub unit: String,
    /// What it depends on, as reports name it.
    pub columns: Vec<String>,
    /// Slopes and their standard errors.
    pub fit: Fit,
    /// It grows with the square of the fleet.
    pub square: bool,
    /// Its value at the operators' size.
    pub value: f64,
    /// What the operators allow.
    pub budget: Option<f64>,
}

impl Projection {
    /// Projects a metric with these slopes.
    pub fn new(metric: &Metric, fit: Fit, quota_groups: f64) -> Projection {
        let value = metric.at(&fit, &OPERATORS_SIZE, quota_groups);
        let mut columns = metric.columns.iter().zip(&fit.slopes);
        let square = columns.any(|(column, slope)| column.is_quadratic() && *slope > 0.0);
        Projection {
            role: metric.role.into(),
            name: metric.name.into(),
            unit: metric.unit.into(),
            columns: metric.columns.iter().map(|column| column.label().into()).collect(),
            fit,
            square,
            value,
            budget: metric.budget,
        }
    }

    /// How many times its budget it is.
    pub fn ratio(&self) -> Option<f64> {
        self.budget.map(|budget| self.value / budget)
    }
}

/// Projects all metrics for which enough was measured.
pub fn project(metrics: &[Metric], measured: &[(FleetSize, Costs)], quota_groups: f64) -> Vec<Projection> {
    let project_one = |metric: &Metric| {
        let fit = metric.fit(measured, quota_groups)?;
        Some(Projection::new(metric, fit, quota_groups))
    };
    metrics.iter().filter_map(project_one).collect()
}

/// The metric that is furthest over its budget, of what a fleet of the operators' size can switch on.
pub fn furthest_over_budget(projections: &[Projection]) -> Option<&Projection> {
    let switched_on = projections.iter().filter(|one| one.role != SESSION_METRICS[0].role);
    let over = switched_on.filter(|one| one.ratio().is_some_and(|ratio| ratio > 1.0));
    over.max_by(|a, b| f64::total_cmp(&a.ratio().unwrap_or(0.0), &b.ratio().unwrap_or(0.0)))
}

/// A size that was predicted before it was measured.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Prediction {
    /// The role and what is measured.
    pub figure: String,
    /// The size.
    pub size: FleetSize,
    /// The value computed from the smaller sizes.
    pub predicted: f64,
    /// The value measured after that.
    pub measured: f64,
    /// Within a quarter, or the difference is under the metric's noise floor.
    pub holds: bool,
}

impl Prediction {
    /// Compares what was predicted of a size with what was measured there.
    pub fn compare(metric: &Metric, predicted: f64, size: FleetSize, costs: &Costs) -> Prediction {
        let measured = (metric.value)(costs);
        let difference = (predicted - measured).abs();
        let holds = difference <= TOLERANCE * measured.abs() || difference <= metric.noise_floor;
        Prediction { figure: metric.full_name(), size, predicted, measured, holds }
    }
}
