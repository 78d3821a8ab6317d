//! A straight line through measured points, by least squares.

/// Fewest points that a line is fitted through.
const POINTS_MIN: usize = 2;

celerytide_types::data! {
    /// `value = at_zero + slope * size`.
    #[derive(Copy)]
    pub struct Line {
        /// Growth of the value with one more of the size.
        pub slope: f64,
        /// The value at size zero.
        pub at_zero: f64,
        /// Part of the variance that the line explains, 0 to 1; 1 where the values don't vary.
        pub explained: f64,
    }

    /// One measured point.
    #[derive(Copy)]
    pub struct Point {
        /// The size.
        pub size: f64,
        /// The value.
        pub value: f64,
    }
}

impl Line {
    /// The line through the points; `None` with fewer than two different sizes.
    pub fn through(points: &[Point]) -> Option<Self> {
        if points.len() < POINTS_MIN {
            return None;
        }
        let count = points.len() as f64;
        let size = points.iter().map(|p| p.size).sum::<f64>() / count;
        let value = points.iter().map(|p| p.value).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|p| (p.size - size).powi(2)).sum();
        if spread <= 0.0 {
            return None;
        }
        let both: f64 = points.iter().map(|p| (p.size - size) * (p.value - value)).sum();
        let slope = both / spread;
        let at_zero = value - slope * size;
        let total: f64 = points.iter().map(|p| (p.value - value).powi(2)).sum();
        let rest: f64 = points
            .iter()
            .map(|p| (p.value - at_zero - slope * p.size).powi(2))
            .sum();
        let explained = if total > 0.0 { 1.0 - rest / total } else { 1.0 };
        Some(Self {
            slope,
            at_zero,
            explained,
        })
    }

    /// The value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.at_zero + self.slope * size
    }
}
