//! A minimal HTTP server for stand-ins.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use async_h1::server::{ConnectionStatus, Server};
use http_types::{Request, Response};
use smol::net::{TcpListener, TcpStream};

/// Header with which a request states its id; the response repeats it.
const REQUEST_HEADER: &str = "dotterelhoist-request";
/// Header that tells a [`Handler`] how many requests the connection has carried before.
pub(crate) const CARRIED_HEADER: &str = "x-carried";

/// Responds to the requests of a server.
pub(crate) trait Handler: Clone + Send + Sync + 'static {
    /// Responds to one request, which was received on the connection `stream`. An error closes the
    /// connection without a response, after anything that was written to `stream` directly.
    fn handle(
        &self,
        request: Request,
        stream: TcpStream,
    ) -> impl Future<Output = http_types::Result<Response>> + Send;
}

/// Listens on a free port of the loopback address.
pub(crate) async fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
    let address = listener.local_addr().expect("a bound listener has a local address");
    (listener, address)
}

/// Accepts and serves connections until the returned future is dropped, which closes all of them.
pub(crate) async fn serve<RequestHandler>(listener: TcpListener, handler: RequestHandler)
where
    RequestHandler: Handler,
{
    let executor = smol::Executor::new();
    let accept = async {
        while let Ok((stream, _)) = listener.accept().await {
            stream.set_nodelay(true).ok();
            executor.spawn(serve_connection(stream, handler.clone())).detach();
        }
    };
    executor.run(accept).await;
}

/// Serves the requests of one connection in turn until it is closed.
async fn serve_connection<RequestHandler>(stream: TcpStream, handler: RequestHandler)
where
    RequestHandler: Handler,
{
    let carried = Arc::new(AtomicU64::new(0));
    let answer = |mut request: Request| {
        let (handler, stream) = (handler.clone(), stream.clone());
        let number = carried.fetch_add(1, Ordering::Relaxed);
        request.insert_header(CARRIED_HEADER, number.to_string());
        let id = request.header(REQUEST_HEADER).map(|values| values.as_str().to_owned());
        async move {
            let mut response = handler.handle(request, stream).await?;
            if let Some(id) = id {
                response.insert_header(REQUEST_HEADER, id);
            }
            Ok(response)
        }
    };
    let mut server = Server::new(stream.clone(), answer);
    while let Ok(ConnectionStatus::KeepAlive) = server.accept_one().await {}
}

/// Waits until the peer closes the connection; waits forever if the peer sends more data instead.
pub(crate) async fn wait_closed(stream: &TcpStream) {
    let mut byte = [0];
    match stream.peek(&mut byte).await {
        Ok(0) | Err(_) => {}
        Ok(_) => std::future::pending().await,
    }
}
