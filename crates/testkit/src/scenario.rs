//! A small deployment with a serving group in each zone, a plain service and a workspace, ready to
//! take requests.

use std::ffi::OsString;

use serde_json::json;

use crate::deployment::Deployment;
use crate::engine::{Config, Engine};
use crate::plain::Service;

/// Token of the workspace `captains`.
pub const TOKEN: &str = "captains-key";
/// SHA-256 of [`TOKEN`].
const TOKEN_SHA256: &str = "f473b29ce199d45c90d425cc71fceebba25eeabcf751cd05b48dd385f8defc82";
/// Service of the serving groups.
pub const MODEL_SERVICE: &str = "assist";
/// Plain service.
pub const PLAIN_SERVICE: &str = "desk";

/// What a scenario consists of.
#[derive(Debug)]
pub struct Scenario {
    /// The daemons.
    pub deployment: Deployment,
    /// Engines: members and spares.
    pub engines: Vec<Engine>,
    /// The plain service, in the last zone.
    pub plain_service: Service,
}

/// Size of a scenario.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Zones, at most three.
    pub zones: usize,
    /// Daemons with a disk in each zone.
    pub disk_daemons: usize,
    /// Daemons without a disk in each zone.
    pub diskless_daemons: usize,
    /// Members of a group.
    pub group_members: u32,
    /// VMs of engines in each zone.
    pub vms_per_zone: usize,
}

impl Scenario {
    /// Plans the daemons of a scenario.
    pub fn plan(program: &str, size: Size) -> Deployment {
        let zones = &["zone-a", "zone-b", "zone-c"][..size.zones];
        Deployment::plan(
            zones,
            size.disk_daemons,
            size.diskless_daemons,
            vec![OsString::from(program)],
        )
    }

    /// Starts a scenario and waits until it takes requests. `tune` changes each engine.
    pub async fn spawn<Tune>(mut deployment: Deployment, size: Size, tune: Tune) -> Scenario
    where
        Tune: Fn(&mut Config),
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
                tune(&mut config);
                engines.push(Engine::spawn(config).await);
            }
        }
        let zone = zones.last().expect("at least one zone");
        let mut config =
            Config::new("desk-vm", zone, "desk", &deployment.announcement_addresses(zone));
        config.labels.insert("pool".to_owned(), "desk".to_owned());
        let plain_service = Service::spawn(config).await;
        deployment.wait_until_ready().await;
        let scenario = Scenario { deployment, engines, plain_service };
        scenario.configure(size).await;
        let groups = size.vms_per_zone / size.group_members as usize;
        scenario.deployment.wait_for_routes(zones.len() * groups.min(1) + 1).await;
        scenario
    }

    async fn configure(&self, size: Size) {
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
        let first = &self.deployment.daemons[0].name;
        for (kind, name, body) in objects {
            let operation = format!("setup-{kind}-{name}");
            let reply = self.deployment.apply(first, &operation, kind, name, None, body).await;
            let reply = reply.expect("the administration API answers");
            assert_eq!(reply.status, 200, "{}", reply.body);
        }
    }

    /// Engine of a VM.
    pub fn engine(&self, vm: &str) -> &Engine {
        let mut named = self.engines.iter().filter(|engine| engine.vm() == vm);
        named.next().expect("an engine of that name")
    }

    /// Engine that takes the requests of a zone's group.
    pub fn rank_zero(&mut self, zone: &str) -> &mut Engine {
        let group = format!("{MODEL_SERVICE}/{zone}/0");
        let heads = self.engines.iter_mut().filter(|engine| engine.is_rank_zero());
        heads.into_iter().find(|e| e.membership().0 == group).expect("a head of that group")
    }
}
