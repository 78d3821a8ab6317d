//! Linear regression by least squares.

/// Minimum number of points for a fit.
const MIN_POINTS: usize = 2;

celerytide_types::data! {
    /// Fitted line: `value = at_zero + slope * size`.
    #[derive(Copy)]
    pub struct Line {
        /// Increase of the value per unit of size.
        pub slope: f64,
        /// Value at size zero.
        pub at_zero: f64,
        /// Fraction of the variance explained by the line, from 0 to 1; 1 if the values don't vary.
        pub explained: f64,
    }

    /// Measured value at one size.
    #[derive(Copy)]
    pub struct Point {
        /// Size.
        pub size: f64,
        /// Measured value.
        pub value: f64,
    }
}

impl Line {
    /// Fits a line to the points; `None` with fewer than two different sizes.
    pub fn fit(points: &[Point]) -> Option<Self> {
        if points.len() < MIN_POINTS {
            return None;
        }
        let count = points.len() as f64;
        let mean_size = points.iter().map(|p| p.size).sum::<f64>() / count;
        let mean_value = points.iter().map(|p| p.value).sum::<f64>() / count;
        let sum_sq_size: f64 = points.iter().map(|p| (p.size - mean_size).powi(2)).sum();
        if sum_sq_size <= 0.0 {
            return None;
        }
        let sum_products: f64 = points
            .iter()
            .map(|p| (p.size - mean_size) * (p.value - mean_value))
            .sum();
        let slope = sum_products / sum_sq_size;
        let at_zero = mean_value - slope * mean_size;
        let sum_sq_value: f64 = points.iter().map(|p| (p.value - mean_value).powi(2)).sum();
        let sum_sq_residual: f64 = points
            .iter()
            .map(|p| (p.value - at_zero - slope * p.size).powi(2))
            .sum();
        let explained = if sum_sq_value > 0.0 {
            1.0 - sum_sq_residual / sum_sq_value
        } else {
            1.0
        };
        Some(Self {
            slope,
            at_zero,
            explained,
        })
    }

    /// Value of the line at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.at_zero + self.slope * size
    }
}
