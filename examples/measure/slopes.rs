//! Cost of each kind of control work.
pub fn measure() {}
