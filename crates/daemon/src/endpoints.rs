//! Announcements of endpoints, and orders to them.

use std::net::SocketAddr;
use std::time::Duration;

use dotterelhoist_core::control::command::Run;
use dotterelhoist_core::event::Event;
use dotterelhoist_core::message::Announcement;
use dotterelhoist_core::placement::AddressedOrder;
use dotterelhoist_core::policy::ANNOUNCE_INTERVAL;
use dotterelhoist_core::request::{Reason, Refusal};
use futures_lite::FutureExt;
use http_types::{Method, Request, Response, StatusCode, Url};
use serde::{Deserialize, Serialize};
use smol::net::TcpStream;
use smol::Timer;

use crate::clock;
use crate::http::{self, Handler, Limits, Socket};
use crate::reactor::Desk;

/// Time for an order to be taken.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Answers announcements.
#[derive(Clone, Debug)]
pub(crate) struct Endpoints {
    pub desk: Desk,
    pub incarnation: u64,
    pub limits: Limits,
}

/// An announcement with the stamp of the answer before it.
#[derive(Deserialize)]
struct Announced {
    #[serde(flatten)]
    announcement: Announcement,
    #[serde(default)]
    stamp: Option<String>,
}

/// Answer to an announcement.
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct Taken {
    stamp: String,
    interval_ms: u64,
}

/// Answer to an announcement that is not well formed.
#[derive(Serialize)]
struct Findings {
    findings: Vec<String>,
}

impl Handler for Endpoints {
    async fn handle(&self, mut request: Request, socket: Socket) -> Response {
        if request.method() != Method::Post || request.url().path() != "/v1/announce" {
            let reason = Reason::UnknownPath;
            return http::problem("", &Refusal { reason, run: Run::NotRun, retry_after: None });
        }
        let body = match http::read_body(&mut request, &socket, self.limits).await {
            Ok(body) => body,
            Err(reason) => {
                let refusal = Refusal { reason, run: Run::NotRun, retry_after: None };
                return http::problem("", &refusal);
            }
        };
        let announced: Announced = match serde_json::from_slice(&body) {
            Ok(announced) => announced,
            Err(error) => {
                let findings = Findings { findings: vec![error.to_string()] };
                return http::json(StatusCode::BadRequest, &findings);
            }
        };
        let findings = check(&announced.announcement);
        if !findings.is_empty() {
            return http::json(StatusCode::BadRequest, &Findings { findings });
        }
        let stamp = announced.stamp.and_then(|stamp| self.read_stamp(&stamp));
        let announcement = Box::new(announced.announcement);
        self.desk.event(Event::Announced { announcement, stamp });
        let taken = Taken {
            stamp: format!("{:x}.{}", self.incarnation, clock::now().as_millis()),
            interval_ms: ANNOUNCE_INTERVAL.as_millis() as u64,
        };
        http::json(StatusCode::Ok, &taken)
    }
}

impl Endpoints {
    /// Reads a stamp of this incarnation; those of others say nothing about this clock.
    fn read_stamp(&self, stamp: &str) -> Option<u64> {
        let (incarnation, millis) = stamp.split_once('.')?;
        let own = u64::from_str_radix(incarnation, 16).ok()? == self.incarnation;
        own.then(|| millis.parse().ok()).flatten()
    }
}

fn check(announcement: &Announcement) -> Vec<String> {
    let mut findings = Vec::new();
    if announcement.vm.is_empty() || announcement.vm.contains('/') {
        findings.push("vm: must be a name without `/`".to_owned());
    }
    if announcement.zone.is_empty() {
        findings.push("zone: must not be empty".to_owned());
    }
    if announcement.address.parse::<SocketAddr>().is_err() {
        findings.push("address: must be an IP address with port".to_owned());
    }
    if announcement.sequence == 0 {
        findings.push("sequence: must grow with each announcement, also over restarts".to_owned());
    }
    findings
}

/// Gives an order; one that fails is given again by whoever decided on it.
pub(crate) async fn give_order(addressed: AddressedOrder) {
    let give = async {
        let address: SocketAddr = addressed.address.parse().ok()?;
        let url = Url::parse(&format!("http://{address}/v1/order")).ok()?;
        let stream = TcpStream::connect(address).await.ok()?;
        let mut request = Request::new(Method::Post, url);
        request.set_body(serde_json::to_string(&addressed.order).ok()?);
        async_h1::connect(stream, request).await.ok()?;
        Some(())
    };
    let late = async {
        Timer::after(ORDER_TIMEOUT).await;
        None
    };
    give.or(late).await;
}
