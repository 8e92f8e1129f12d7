//! Connections to servers, where the server does nothing at all.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use ashvane_node::call_error::CallError;
use ashvane_node::pool::{ConnectFuture, Connector, ForwardedRequest, Pool};
use axum::http::{HeaderMap, HeaderValue, Method, Uri};
use bytes::Bytes;
use tokio::io::{AsyncReadExt as _, DuplexStream, duplex};
use tokio::task::{LocalSet, yield_now};

/// A server that stands still: its far ends are kept, and nothing is read there.
#[derive(Default)]
struct StandsStill(RefCell<Vec<DuplexStream>>);

impl Connector for StandsStill {
    fn connect(&self, _address: &str) -> ConnectFuture {
        let (near, far) = duplex(1024);
        self.0.borrow_mut().push(far);
        Box::pin(async { Ok(Box::new(near) as _) })
    }
}

/// Guards against connections that stay open, and requests that are sent on, after their calls were given up.
#[tokio::test(start_paused = true)]
async fn a_call_that_is_given_up_ends_its_connection_also_where_the_server_does_not_read() {
    let test = async {
        let server = Rc::new(StandsStill::default());
        let pool = Pool::new(server.clone());
        pool.add_server("i-1", "127.0.0.1:1", 4);
        let asked = ForwardedRequest {
            method: Method::POST,
            uri: Uri::from_static("/"),
            headers: HeaderMap::new(),
            body: Bytes::from(vec![0; 1 << 20]),
            attempt_id: HeaderValue::from_static("1"),
            at_most_once: true,
            sent_to: RefCell::default(),
        };
        let sent = pool.send("i-1", &asked, Duration::from_millis(200)).await;
        assert_eq!(sent.expect_err("it does not answer"), CallError::TimedOut);
        yield_now().await;
        assert_eq!(pool.open_count(), 0);
        let mut read = Vec::new();
        let mut far = server.0.borrow_mut().remove(0);
        let _ = far.read_to_end(&mut read).await;
        assert!(read.len() <= 1024, "{} bytes of it were sent", read.len());
    };
    LocalSet::new().run_until(test).await;
}
