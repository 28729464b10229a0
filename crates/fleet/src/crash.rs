//! Requests that crash the endpoints that run them: how they are found and refused.
//!
//! Callers send such requests again under new ids, and requests with one prompt segment may crash
//! endpoints whatever else they contain. So what is counted is a [`Feature`], which other requests
//! may share. An entry daemon reports which responses it has lost, and answers that survived
//! ([`losses`]). The control daemons alone judge what a loss is evidence of ([`attribution`]): whether an
//! endpoint has ended, and which feature of the requests that it took along is the cause. All
//! daemons hold the resulting [`bars`].
//!
//! Daemons of older builds count crashes themselves and know the content of requests only
//! ([`older`]).

use smallvec::SmallVec;

pub mod attribution;
pub mod bars;
pub mod losses;
pub mod older;

/// Hash of something that requests can have in common: their content, or a segment of their prompts
/// except the last one, which belongs to one request or session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Feature(pub u64);

/// Features of one request.
pub type Features = SmallVec<[Feature; 6]>;
