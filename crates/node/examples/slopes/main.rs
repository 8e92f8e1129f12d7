//! Measures the cost of the control plane by its size, fits slopes and plots them.
//!
//! `cargo run --release -p ashvane-node --example slopes` prints all tables. `-- processes 30,100,300,1000`,
//! `-- start 30,100,200,300`, `-- entries 1000,10000,130000` or `-- configuration 30,300,3000` prints one of
//! them for the given sizes. Plots are written to `docs/capacity`.

mod entries;
mod fit;
mod plot;
mod processes;
#[allow(dead_code)]
#[path = "../../tests/simulation/mod.rs"]
mod simulation;

/// A table that can be printed.
struct Table {
    name: &'static str,
    /// Sizes at which the table is measured unless others are given.
    sizes: &'static [usize],
    print: fn(&[usize]),
}

const TABLES: [Table; 4] = [
    Table { name: "processes", sizes: &[30, 100, 300, 1000], print: processes::print_steady_state },
    Table { name: "start", sizes: &[30, 100, 200, 300], print: processes::print_start },
    Table { name: "entries", sizes: &[1000, 3000, 10_000, 30_000, 130_000], print: entries::print_entries },
    Table { name: "configuration", sizes: &[30, 100, 300, 1000, 3000], print: entries::print_configuration },
];

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (table, sizes) = (arguments.next(), arguments.next());
    let sizes: Option<Vec<usize>> =
        sizes.map(|text| text.split(',').map(|size| size.parse().expect("a size is a number")).collect());
    for Table { name, sizes: default_sizes, print } in TABLES {
        if table.as_deref().is_none_or(|table| table == name) {
            println!("== {name}");
            print(sizes.as_deref().unwrap_or(default_sizes));
        }
    }
}
