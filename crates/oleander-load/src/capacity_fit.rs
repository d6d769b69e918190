//! Straight-line fits of measured figures.

/// One measured figure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// Size of the fleet, or another quantity that the figure may grow with.
    pub x: f64,
    /// The figure.
    pub y: f64,
}

/// The line of least squares through some points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Value at zero.
    pub base: f64,
    /// Growth for each unit of x.
    pub slope: f64,
    /// Greatest distance of a point from the line.
    pub residual: f64,
}

impl Fit {
    /// Fits a line through at least two points with different x.
    pub fn of(points: &[Point]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.x).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.y).sum::<f64>() / count;
        let products = points.iter().map(|p| (p.x - mean_x) * (p.y - mean_y));
        let squares = points.iter().map(|p| (p.x - mean_x).powi(2));
        let slope = products.sum::<f64>() / squares.sum::<f64>();
        let base = mean_y - slope * mean_x;
        let distances = points.iter().map(|p| (p.y - base - slope * p.x).abs());
        Self {
            base,
            slope,
            residual: distances.fold(0.0, f64::max),
        }
    }

    /// Returns the value of the line.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }

    /// Prints the line, its residual and its value at the design size.
    pub fn print(&self, name: &str, variable: &str, x: f64) {
        let value = self.at(x);
        println!(
            "fit {name}: {:.4} + {:.6} * {variable}, residual {:.4}, at {variable}={x:.1}: {value:.3}",
            self.base, self.slope, self.residual
        );
    }
}
