//! Least squares fits of measured values.

use nalgebra::{DMatrix, DVector};
use serde::{Deserialize, Serialize};

/// Smaller singular values count as zero.
const EPSILON: f64 = 1e-12;

/// A fitted value: the sum over all columns of slope times column.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Fit {
    /// One slope for each column.
    pub slopes: Vec<f64>,
    /// The standard error of each slope.
    pub errors: Vec<f64>,
}

impl Fit {
    /// Fits `values` over `rows`, with one row of columns for each value. Costs don't decrease as a fleet
    /// grows: columns with a negative slope are left out one by one, the most negative first, and get a slope
    /// of 0. `None` if there are fewer values than columns, or if a slope is not finite.
    pub fn of(rows: &[Vec<f64>], values: &[f64]) -> Option<Fit> {
        let columns = rows.first()?.len();
        let mut kept: Vec<usize> = (0..columns).collect();
        loop {
            let kept_rows: Vec<Vec<f64>> =
                rows.iter().map(|row| kept.iter().map(|column| row[*column]).collect()).collect();
            let fit = Fit::unbounded(&kept_rows, values)?;
            let scaled_slope = |place: &usize| {
                let largest = kept_rows.iter().map(|row| row[*place].abs()).fold(0.0, f64::max);
                fit.slopes[*place] * largest
            };
            let least = (0..kept.len()).min_by(|a, b| f64::total_cmp(&scaled_slope(a), &scaled_slope(b)))?;
            if fit.slopes[least] >= 0.0 || kept.len() == 1 {
                let mut complete = Fit { slopes: vec![0.0; columns], errors: vec![0.0; columns] };
                for (place, column) in kept.iter().enumerate() {
                    (complete.slopes[*column], complete.errors[*column]) =
                        (fit.slopes[place], fit.errors[place]);
                }
                return Some(complete);
            }
            kept.remove(least);
        }
    }

    /// Fits without a bound on the slopes.
    fn unbounded(rows: &[Vec<f64>], values: &[f64]) -> Option<Fit> {
        let columns = rows.first()?.len();
        if rows.len() < columns || rows.len() != values.len() {
            return None;
        }
        // Columns differ by many orders of magnitude: each is scaled by its largest entry.
        let scale: Vec<f64> =
            (0..columns).map(|c| rows.iter().map(|row| row[c].abs()).fold(1e-300, f64::max)).collect();
        let matrix = DMatrix::from_fn(rows.len(), columns, |r, c| rows[r][c] / scale[c]);
        let vector = DVector::from_column_slice(values);
        let solved = matrix.clone().svd(true, true).solve(&vector, EPSILON).ok()?;
        let residual = &matrix * &solved - &vector;
        let degrees_of_freedom = rows.len().saturating_sub(columns).max(1) as f64;
        let variance = residual.norm_squared() / degrees_of_freedom;
        let inverse = (matrix.transpose() * &matrix).pseudo_inverse(EPSILON).ok()?;
        let errors = (0..columns).map(|c| (variance * inverse[(c, c)]).max(0.0).sqrt() / scale[c]).collect();
        let slopes: Vec<f64> = (0..columns).map(|c| solved[c] / scale[c]).collect();
        slopes.iter().all(|slope| slope.is_finite()).then_some(Fit { slopes, errors })
    }

    /// The value at these columns.
    pub fn at(&self, columns: &[f64]) -> f64 {
        self.slopes.iter().zip(columns).map(|(slope, column)| slope * column).sum()
    }
}
