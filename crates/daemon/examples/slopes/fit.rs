//! Least-squares fits of lines to measured points.

use std::fmt;

/// A quantity measured at several sizes.
pub struct Slope {
    /// What was measured, with its unit.
    pub quantity: &'static str,
    /// Unit of the size.
    pub per: &'static str,
    /// Pairs of size and measured value.
    pub points: Vec<(f64, f64)>,
}

/// A line through points.
pub struct Line {
    /// Growth per unit of size.
    pub slope: f64,
    /// Value at size 0.
    pub intercept: f64,
    /// Coefficient of determination: share of the variance that the line explains.
    pub r2: f64,
}

impl Slope {
    /// Creates a slope from pairs of size and measured value.
    pub fn new(quantity: &'static str, per: &'static str, points: Vec<(f64, f64)>) -> Self {
        Self {
            quantity,
            per,
            points,
        }
    }

    /// Fits a line by least squares.
    pub fn line(&self) -> Line {
        let count = self.points.len() as f64;
        let mean = |pick: fn(&(f64, f64)) -> f64| self.points.iter().map(pick).sum::<f64>() / count;
        let (x, y) = (mean(|p| p.0), mean(|p| p.1));
        let sum = |pick: &dyn Fn(&(f64, f64)) -> f64| self.points.iter().map(pick).sum::<f64>();
        let xy = sum(&|p| (p.0 - x) * (p.1 - y));
        let xx = sum(&|p| (p.0 - x).powi(2));
        let yy = sum(&|p| (p.1 - y).powi(2));
        let slope = xy / xx;
        Line {
            slope,
            intercept: y - slope * x,
            r2: if yy == 0.0 { 1.0 } else { xy * xy / (xx * yy) },
        }
    }

    /// Returns the slope as JSON.
    pub fn to_json(&self) -> serde_json::Value {
        let Line {
            slope,
            intercept,
            r2,
        } = self.line();
        serde_json::json!({
            "quantity": self.quantity, "per": self.per, "slope": slope,
            "intercept": intercept, "r2": r2, "points": self.points,
        })
    }
}

impl fmt::Display for Slope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Line {
            slope,
            intercept,
            r2,
        } = self.line();
        write!(
            f,
            "{} | {} | {slope:.6} | {intercept:.1} | {r2:.3} |",
            self.quantity, self.per
        )?;
        let mut points = self.points.iter();
        points.try_for_each(|(x, y)| write!(f, " {x}: {y:.1}"))
    }
}
