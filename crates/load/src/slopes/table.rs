//! Aligned text tables.

use std::fmt;

/// Table with a title and a row of column names.
#[derive(Clone, Debug)]
pub struct Table {
    title: String,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Table without rows.
    pub fn new(title: &str, columns: &[&str]) -> Table {
        let columns = columns.iter().map(|&column| column.to_owned()).collect();
        Table {
            title: title.to_owned(),
            rows: vec![columns],
        }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.title)?;
        for row in &self.rows {
            for (column, cell) in row.iter().enumerate() {
                let width = self.width(column);
                match column {
                    0 => write!(f, "  {cell:<width$}")?,
                    _ => write!(f, "  {cell:>width$}")?,
                }
            }
            writeln!(f)?;
        }
        Ok(())
    }
}

/// Growth exponent between two measurements: 0 for constant, 1 for linear cost.
pub fn slope(before: Option<(f64, f64)>, size: f64, cost: f64) -> String {
    before.map_or("-".to_owned(), |(old_size, old_cost)| {
        let exponent = (cost / old_cost).ln() / (size / old_size).ln();
        format!("{exponent:.2}")
    })
}
