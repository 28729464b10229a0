//! The listener for announcements of endpoints, and the sending of orders to them.

use std::net::SocketAddr;
use std::time::Duration;

use dotterelhoist_core::control::command::Run;
use dotterelhoist_core::event::Event;
use dotterelhoist_core::message::Announcement;
use dotterelhoist_core::placement::AddressedOrder;
use dotterelhoist_core::policy::ANNOUNCE_INTERVAL;
use dotterelhoist_core::request::{Reason, Refusal};
use dotterelhoist_wire::stream::{Allowance, Stream};
use futures_lite::FutureExt;
use http_types::{Method, Request, Response, StatusCode, Url};
use serde::{Deserialize, Serialize};
use smol::net::TcpStream;
use smol::Timer;

use crate::clock;
use crate::http::{self, Handler, Limits, Socket};
use crate::reactor::Handle;

/// Bytes that are read of the answer to an order; the connection is closed after that.
const MAX_ANSWER_BYTES: usize = 32 << 10;
/// Time in which an order must be sent and answered. Sending is given up after that.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Handles announcements of endpoints.
#[derive(Clone, Debug)]
pub(crate) struct Endpoints {
    pub reactor: Handle,
    /// Incarnation of this daemon, part of the stamps that it issues.
    pub incarnation: u64,
    /// Limits of the listener.
    pub limits: Limits,
}

/// Body of an announcement.
#[derive(Deserialize)]
struct AnnounceRequest {
    #[serde(flatten)]
    announcement: Announcement,
    /// Stamp from the last answer of this daemon that the endpoint has received, if any.
    #[serde(default)]
    stamp: Option<String>,
}

/// Answer to an announcement.
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct AnnounceReply {
    /// Incarnation and clock reading of this daemon, to be returned with the next announcement.
    stamp: String,
    /// Interval at which the endpoint should announce itself.
    interval_ms: u64,
}

/// Answer to a malformed or invalid announcement, with everything that is wrong with it.
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
        let parsed: AnnounceRequest = match serde_json::from_slice(&body) {
            Ok(parsed) => parsed,
            Err(error) => {
                let findings = Findings { findings: vec![error.to_string()] };
                return http::json(StatusCode::BadRequest, &findings);
            }
        };
        let findings = check_announcement(&parsed.announcement);
        if !findings.is_empty() {
            return http::json(StatusCode::BadRequest, &Findings { findings });
        }
        let stamp = parsed.stamp.and_then(|stamp| self.read_stamp(&stamp));
        let announcement = Box::new(parsed.announcement);
        self.reactor.send_event(Event::Announced { announcement, stamp });
        let reply = AnnounceReply {
            stamp: format!("{:x}.{}", self.incarnation, clock::now().as_millis()),
            interval_ms: ANNOUNCE_INTERVAL.as_millis() as u64,
        };
        http::json(StatusCode::Ok, &reply)
    }
}

impl Endpoints {
    /// Returns the clock reading in a stamp, in milliseconds; `None` if the stamp is malformed or
    /// from another incarnation, whose clock readings are not comparable.
    fn read_stamp(&self, stamp: &str) -> Option<u64> {
        let (incarnation, millis) = stamp.split_once('.')?;
        let is_current = u64::from_str_radix(incarnation, 16).ok()? == self.incarnation;
        is_current.then(|| millis.parse().ok()).flatten()
    }
}

/// Returns everything that is wrong with an announcement.
fn check_announcement(announcement: &Announcement) -> Vec<String> {
    let mut findings = Vec::new();
    if announcement.vm.is_empty() || announcement.vm.contains('/') {
        findings.push("vm: must not be empty or contain `/`".to_owned());
    }
    if announcement.zone.is_empty() {
        findings.push("zone: must not be empty".to_owned());
    }
    if announcement.address.parse::<SocketAddr>().is_err() {
        findings.push("address: must be an IP address with port".to_owned());
    }
    if announcement.sequence == 0 {
        findings.push(
            "sequence: must be at least 1 and increase with each announcement, also across restarts"
                .to_owned(),
        );
    }
    findings
}

/// Sends an order to an endpoint without reporting whether it arrived; the placement manager sends
/// it again if it had no effect.
pub(crate) async fn send_order(addressed: AddressedOrder) {
    let send = async {
        let address: SocketAddr = addressed.address.parse().ok()?;
        let url = Url::parse(&format!("http://{address}/v1/order")).ok()?;
        let stream = TcpStream::connect(address).await.ok()?;
        let mut request = Request::new(Method::Post, url);
        request.set_body(serde_json::to_string(&addressed.order).ok()?);
        let allowance = Allowance::open(MAX_ANSWER_BYTES);
        async_h1::connect(Stream::with_allowance(stream, allowance), request).await.ok()?;
        Some(())
    };
    let timeout = async {
        Timer::after(ORDER_TIMEOUT).await;
        None
    };
    send.or(timeout).await;
}
