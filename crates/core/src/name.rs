//! Reference-counted immutable names.

use std::sync::Arc;

/// A name of a VM, daemon, availability zone, workspace, service, serving group or label.
pub type Name = Arc<str>;
