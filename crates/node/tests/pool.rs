//! Connections to servers that accept but never read or respond.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use ashvane_node::call_error::CallError;
use ashvane_node::pool::{ConnectFuture, Connector, ForwardedRequest, Pool};
use axum::http::{HeaderMap, HeaderValue, Method, Uri};
use bytes::Bytes;
use tokio::io::{AsyncReadExt as _, DuplexStream, duplex};
use tokio::task::{LocalSet, yield_now};

/// Connector to a server that never reads. Holds the server's ends of the connections, so that they stay
/// open.
#[derive(Default)]
struct UnresponsiveServer(RefCell<Vec<DuplexStream>>);

impl Connector for UnresponsiveServer {
    fn connect(&self, _address: &str) -> ConnectFuture {
        let (client_end, server_end) = duplex(1024);
        self.0.borrow_mut().push(server_end);
        Box::pin(async { Ok(Box::new(client_end) as _) })
    }
}

/// Guards against connections that stay open, and request bodies that are still sent, after the call has
/// timed out.
#[tokio::test(start_paused = true)]
async fn a_call_that_times_out_closes_its_connection_even_if_the_server_does_not_read() {
    let test = async {
        let server = Rc::new(UnresponsiveServer::default());
        let pool = Pool::new(server.clone());
        pool.add_server("i-1", "127.0.0.1:1", 4);
        let request = ForwardedRequest {
            method: Method::POST,
            uri: Uri::from_static("/"),
            headers: HeaderMap::new(),
            body: Bytes::from(vec![0; 1 << 20]),
            attempt_id: HeaderValue::from_static("1"),
            at_most_once: true,
            sent_to: RefCell::default(),
        };
        let result = pool.send("i-1", &request, Duration::from_millis(200)).await;
        assert_eq!(result.expect_err("the server does not respond"), CallError::TimedOut);
        yield_now().await;
        assert_eq!(pool.open_count(), 0);
        let mut received = Vec::new();
        let mut server_end = server.0.borrow_mut().remove(0);
        let _ = server_end.read_to_end(&mut received).await;
        assert!(received.len() <= 1024, "{} bytes of the request were sent", received.len());
    };
    LocalSet::new().run_until(test).await;
}
