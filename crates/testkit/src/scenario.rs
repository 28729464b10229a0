//! A small deployment with a serving group in each zone, a plain service and a workspace, all
//! configured and ready for requests.

use std::ffi::OsString;

use serde_json::json;

use crate::deployment::Deployment;
use crate::engine::{Config, Engine};
use crate::plain::Service;

/// Bearer token of the workspace `captains`.
pub const TOKEN: &str = "captains-key";
/// SHA-256 of [`TOKEN`], as the workspace object holds it.
const TOKEN_SHA256: &str = "f473b29ce199d45c90d425cc71fceebba25eeabcf751cd05b48dd385f8defc82";
/// Name of the service for generation requests, and of the serving group object that it uses.
pub const MODEL_SERVICE: &str = "assist";
/// Name of the plain service for calls that are not idempotent.
pub const PLAIN_SERVICE: &str = "desk";

/// A running deployment with its stand-ins.
#[derive(Debug)]
pub struct Scenario {
    /// The daemons.
    pub deployment: Deployment,
    /// Engines of all zones, both members of groups and spares.
    pub engines: Vec<Engine>,
    /// The endpoint of the plain service, in the last zone.
    pub plain_service: Service,
}

/// Size of a scenario.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of zones, at most three.
    pub zones: usize,
    /// Daemons with a disk in each zone.
    pub disk_daemons: usize,
    /// Daemons without a disk in each zone.
    pub diskless_daemons: usize,
    /// Members of each serving group.
    pub group_members: u32,
    /// Engines in each zone, each on a VM of its own.
    pub vms_per_zone: usize,
}

impl Scenario {
    /// Plans the daemons of a scenario without starting them, so that the caller can redirect links
    /// before it passes the deployment to [`Scenario::spawn`].
    pub fn plan(program: &str, size: Size) -> Deployment {
        let zones = &["zone-a", "zone-b", "zone-c"][..size.zones];
        Deployment::plan(
            zones,
            size.disk_daemons,
            size.diskless_daemons,
            vec![OsString::from(program)],
        )
    }

    /// Starts a scenario and waits until a group in each zone and the plain service accept
    /// requests. `adjust` changes the properties of each engine before it starts.
    pub async fn spawn<Adjust>(mut deployment: Deployment, size: Size, adjust: Adjust) -> Scenario
    where
        Adjust: Fn(&mut Config),
    {
        deployment.start_all();
        let mut engines = Vec::new();
        let zones: Vec<String> = deployment.zones().to_vec();
        for zone in &zones {
            for number in 0..size.vms_per_zone {
                let vm = format!("{zone}-vm-{number}");
                let daemons = deployment.announcement_addresses(zone);
                let mut config = Config::new(&vm, zone, &format!("{zone}-rack"), &daemons);
                config.labels.insert("pool".to_owned(), "assist".to_owned());
                adjust(&mut config);
                engines.push(Engine::spawn(config).await);
            }
        }
        let zone = zones.last().expect("a scenario has at least one zone");
        let mut config =
            Config::new("desk-vm", zone, "desk", &deployment.announcement_addresses(zone));
        config.labels.insert("pool".to_owned(), "desk".to_owned());
        let plain_service = Service::spawn(config).await;
        deployment.wait_until_ready().await;
        let scenario = Scenario { deployment, engines, plain_service };
        scenario.apply_objects(size).await;
        let groups = size.vms_per_zone / size.group_members as usize;
        scenario.deployment.wait_for_routes(zones.len() * groups.min(1) + 1).await;
        scenario
    }

    /// Applies the configuration: the serving group, both services and the workspace.
    async fn apply_objects(&self, size: Size) {
        let objects = [
            (
                "serving-group",
                MODEL_SERVICE,
                json!({
                    "labels": { "app": "assist" },
                    "model": "assist-1",
                    "members": size.group_members,
                    "replicas": size.zones,
                    "selector": "pool=assist",
                }),
            ),
            ("service", MODEL_SERVICE, json!({ "groups": "app=assist" })),
            ("service", PLAIN_SERVICE, json!({ "endpoints": "pool=desk" })),
            ("workspace", "captains", json!({ "key-sha256": TOKEN_SHA256 })),
        ];
        let daemon = &self.deployment.daemons[0].name;
        for (kind, name, body) in objects {
            let operation = format!("setup-{kind}-{name}");
            let reply = self.deployment.apply(daemon, &operation, kind, name, None, body).await;
            let reply = reply.expect("the administration API answers");
            assert_eq!(reply.status, 200, "{}", reply.body);
        }
    }

    /// The engine on the VM with this name.
    pub fn engine(&self, vm: &str) -> &Engine {
        let mut named = self.engines.iter().filter(|engine| engine.vm() == vm);
        named.next().expect("the scenario has an engine on the named VM")
    }

    /// The engine with rank 0 in the first group of a zone, which receives the group's requests.
    pub fn rank_zero(&mut self, zone: &str) -> &mut Engine {
        let group = format!("{MODEL_SERVICE}/{zone}/0");
        let engines = self.engines.iter_mut().filter(|engine| engine.is_rank_zero());
        engines
            .into_iter()
            .find(|e| e.membership().0 == group)
            .expect("the first group of the zone has a member with rank 0")
    }
}
