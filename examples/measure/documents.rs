//! Bytes and processor time of one change of the configuration document on the users' platform, by
//! the number of its routes.

use dotterelhoist_fleet::control::Reader;
use dotterelhoist_fleet::patch::{Original, Patch};
use dotterelhoist_platform::Platform;

use crate::slopes::micros_per_item;

/// Prints the measurements.
pub fn measure() {
    println!(
        "{:>7} {:>10} {:>10} {:>10} {:>10} {:>9} {:>9} {:>9} {:>9}",
        "routes",
        "bytes",
        "complete",
        "1 changed",
        "a third",
        "read us",
        "pack us",
        "differ us",
        "apply us"
    );
    for routes in [100, 1400, 4200, 14_000] {
        measure_size(routes);
    }
}

/// Prints one row: the document, the patches that describe it (complete, with one route changed,
/// with a third of the routes added), and the time to read the document, to make the complete patch
/// and that of one change, and to apply the latter.
fn measure_size(routes: usize) {
    let base = document(1, routes, None);
    let changed = document(2, routes, Some(routes / 2));
    let smaller = document(1, routes * 2 / 3, None);
    let empty = Original::default();
    let patch = |base: &Original, document: &Original| {
        Patch::between(base, document).expect("the document can be compressed")
    };
    let difference = patch(&base, &changed);
    println!(
        "{routes:7} {:10} {:10} {:10} {:10} {:9.0} {:9.0} {:9.0} {:9.0}",
        changed.body.len(),
        patch(&empty, &changed).difference.len(),
        difference.difference.len(),
        patch(&smaller, &base).difference.len(),
        micros_per_item(1, || {
            Platform.read(&changed.body).expect("the document is valid");
        }),
        micros_per_item(1, || {
            patch(&empty, &changed);
        }),
        micros_per_item(1, || {
            patch(&base, &changed);
        }),
        micros_per_item(1, || {
            difference.apply(&base).expect("the patch can be applied");
        }),
    );
}

/// A document whose routes have random names; that of the route `changed` differs.
fn document(version: u64, routes: usize, changed: Option<usize>) -> Original {
    let mut state = 0x9e37_79b9_7f4a_7c15u64;
    let mut random = || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state >> 24
    };
    let routes = (0..routes).map(|index| {
        let timeout_ms = if changed == Some(index) { 2500 } else { 1500 };
        let (name, prefix) = (random(), random());
        serde_json::json!({
            "name": format!("r-{name:x}"),
            "host": "families.example",
            "path_prefix": format!("/{prefix:x}/"),
            "route_type": "idempotent",
            "timeout_ms": timeout_ms,
            "target_latency_ms": 150,
            "priority": 1,
            "service": "desk",
            "attempts": 2,
            "public": false,
            "sticky": false,
            "resumable": false,
        })
    });
    let document = serde_json::json!({
        "version": version,
        "routes": routes.collect::<Vec<_>>(),
        "services": [{ "name": "desk", "health_path": "/health", "max_connections": 48 }],
    });
    Original { version, body: document.to_string().into() }
}
