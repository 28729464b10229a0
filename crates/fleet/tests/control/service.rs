//! The service of the simulation, and the documents that define it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use dotterelhoist_fleet::control::Reader;
use dotterelhoist_fleet::document::{
    Document, Draft, Engine as EngineModel, Finding, Model, Service,
};

/// Time to load a model whose weights are on the VM.
pub const WARM_LOAD: Duration = Duration::from_millis(1500);
/// Time to load a model from the weight store.
pub const COLD_LOAD: Duration = Duration::from_millis(12_000);
pub const LARGE: &str = "large";
pub const SMALL: &str = "small";

/// Size of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Fabric domains.
    pub domains: usize,
    /// Endpoints in each domain.
    pub endpoints: usize,
    /// Members of a group of the larger model.
    pub large: usize,
    /// Members of a group of the smaller model.
    pub small: usize,
}

impl Default for Shape {
    fn default() -> Shape {
        Shape { domains: 1, endpoints: 8, large: 4, small: 2 }
    }
}

/// Reads documents whose body is only a version number; any other text is malformed.
#[derive(Clone, Debug)]
pub struct VersionReader {
    pub shape: Shape,
    /// Number of documents that were read.
    pub reads: Rc<Cell<usize>>,
}

impl Reader for VersionReader {
    fn read(&self, bytes: &[u8]) -> Result<Document, Vec<Finding>> {
        self.reads.set(self.reads.get() + 1);
        let text = String::from_utf8_lossy(bytes);
        let Ok(version) = text.parse() else {
            let place = "version".to_owned();
            return Err(vec![Finding::Malformed { place, detail: text.into_owned() }]);
        };
        Document::build(Draft { version, services: vec![service(self.shape)], ..Draft::default() })
    }
}

fn service(shape: Shape) -> Service {
    let model = |name: &str, size, share, time_factor| Model {
        name: name.into(),
        size,
        share,
        time_factor,
        cold_load: COLD_LOAD,
        warm_load: WARM_LOAD,
    };
    let engine = EngineModel {
        slots: 26,
        models: vec![model(LARGE, shape.large, 0.67, 1.0), model(SMALL, shape.small, 0.33, 0.6)],
        step_ms: 6.0,
        per_sequence_ms: 0.24,
        prompt_tokens_per_s: 46_000.0,
        loads_per_s: 4.0,
        loads_at_once: 6,
        typical_prompt_tokens: 1000.0,
        typical_output_tokens: 100.0,
    };
    Service { name: "llm".into(), max_connections: 100, engine: Some(engine) }
}
