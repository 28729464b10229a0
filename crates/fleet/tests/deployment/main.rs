//! Tests of deployments of control and entry daemons with many links.

use std::time::Duration;

mod crash_soak;
mod crashing;
mod cut_off;
mod documents;
mod limits;
mod network;
mod soak;

use self::network::Shape;

const SECOND: Duration = Duration::from_secs(1);

/// Three control daemons and seven entry daemons.
const SMALL: Shape = Shape {
    control_daemons: 3,
    entry_daemons: 7,
    control_bandwidth: 170e6 / 8.0,
    entry_bandwidth: 1e9 / 8.0,
};

/// Six control daemons with 170 Mbit/s and 81 entry daemons with 20 Mbit/s.
const LARGE: Shape = Shape {
    control_daemons: 6,
    entry_daemons: 81,
    control_bandwidth: 170e6 / 8.0,
    entry_bandwidth: 20e6 / 8.0,
};
