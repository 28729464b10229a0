//! A bare HTTP server for stand-ins.

use std::future::Future;
use std::net::SocketAddr;

use async_h1::server::{ConnectionStatus, Server};
use http_types::{Request, Response};
use smol::net::{TcpListener, TcpStream};

/// Something that answers requests; an error closes the connection without an answer.
pub(crate) trait Handler: Clone + Send + Sync + 'static {
    /// Answers one request.
    fn handle(
        &self,
        request: Request,
        stream: TcpStream,
    ) -> impl Future<Output = http_types::Result<Response>> + Send;
}

/// Binds a free port on the loopback address.
pub(crate) async fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free loopback port");
    let address = listener.local_addr().expect("a bound address");
    (listener, address)
}

/// Serves until the task is dropped, which closes all connections.
pub(crate) async fn serve<Answering>(listener: TcpListener, handler: Answering)
where
    Answering: Handler,
{
    let executor = smol::Executor::new();
    let accept = async {
        while let Ok((stream, _)) = listener.accept().await {
            stream.set_nodelay(true).ok();
            executor.spawn(serve_one(stream, handler.clone())).detach();
        }
    };
    executor.run(accept).await;
}

async fn serve_one<Answering>(stream: TcpStream, handler: Answering)
where
    Answering: Handler,
{
    let answer = |request| {
        let (handler, stream) = (handler.clone(), stream.clone());
        async move { handler.handle(request, stream).await }
    };
    let mut server = Server::new(stream.clone(), answer);
    while let Ok(ConnectionStatus::KeepAlive) = server.accept_one().await {}
}

/// Resolves once the other side has closed the connection.
pub(crate) async fn wait_closed(stream: &TcpStream) {
    let mut byte = [0];
    match stream.peek(&mut byte).await {
        Ok(0) | Err(_) => {}
        Ok(_) => std::future::pending().await,
    }
}
