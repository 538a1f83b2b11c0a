//! Text tables with aligned columns.

use std::fmt;

/// Table with a title and a row of column names.
#[derive(Clone, Debug)]
pub struct Table {
    title: String,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table that has only its header row.
    pub fn new(title: &str, columns: &[&str]) -> Table {
        let columns = columns.iter().map(|&column| column.to_owned()).collect();
        Table {
            title: title.to_owned(),
            rows: vec![columns],
        }
    }

    /// Appends a row.
    pub fn add_row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    fn column_width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.title)?;
        for row in &self.rows {
            for (column, cell) in row.iter().enumerate() {
                let width = self.column_width(column);
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

/// Exponent of the growth of the cost from the previous measurement to this one:
/// 0 for constant cost, 1 for linear cost; `-` without a previous measurement. A
/// measurement is a size and its cost.
pub fn slope(previous: Option<(f64, f64)>, size: f64, cost: f64) -> String {
    previous.map_or("-".to_owned(), |(previous_size, previous_cost)| {
        let exponent = (cost / previous_cost).ln() / (size / previous_size).ln();
        format!("{exponent:.2}")
    })
}
